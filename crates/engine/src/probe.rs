//! A probe: requests the health of a worker, as instructed by the dispatcher.

use crate::attempt_end::AttemptEnd;
use crate::dispatcher_loop::DispatcherLoop;
use crate::upstreams::Upstreams;
use sorrelhaven_dispatcher::{Event, WorkerId};
use sorrelhaven_wire::{Head, StartLine, timeout_at};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A probe without a complete response after this time has timed out.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes a worker and reports the outcome to the dispatcher.
pub async fn run(dispatcher_loop: Rc<DispatcherLoop>, upstreams: Rc<Upstreams>, worker: WorkerId) {
    upstreams.counters.probes.increment();
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let end = match timeout_at(deadline, probe(&upstreams, worker)).await {
        Some(Ok(())) => AttemptEnd::Completed(String::new()),
        Some(Err(end)) => end,
        None => AttemptEnd::ResponseTimeout,
    };
    dispatcher_loop.dispatch(Event::ProbeEnded { worker, outcome: end.outcome(), load_report: Vec::new() });
}

/// Sends a health request on a pooled or new connection; succeeds if the response has status 200. The connection is not
/// used again, since the response names no request: a second copy would be taken for the answer to the next one.
async fn probe(upstreams: &Upstreams, worker: WorkerId) -> Result<(), AttemptEnd> {
    let mut upstream = upstreams.connection(worker).await?;
    let request = format!("GET /health/live HTTP/1.1\r\nHost: {}\r\n\r\n", upstream.address);
    let connection = &mut upstream.connection;
    connection.write(request.as_bytes()).await.map_err(|_| AttemptEnd::ResetBeforeSent)?;
    let head = connection.read_head(Head::parse_response).await.map_err(AttemptEnd::unreadable)?;
    let body = head.body_decoder().map_err(AttemptEnd::unreadable)?;
    connection.discard_body(body).await.map_err(AttemptEnd::unreadable)?;
    match head.start_line {
        StartLine::Response { status: 200 } => Ok(()),
        _ => Err(AttemptEnd::Failed),
    }
}
