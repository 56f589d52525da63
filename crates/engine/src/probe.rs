//! A probe: one question to an executor whether it lives.

use crate::attempt_end::AttemptEnd;
use crate::dispatcher_loop::DispatcherLoop;
use crate::upstreams::Upstreams;
use sorrelhaven_dispatcher::{Event, WorkerId};
use sorrelhaven_wire::{Head, StartLine, timeout_at};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A probe that has not answered by then tells as much as one that fails.
const WAIT: Duration = Duration::from_millis(500);

/// Probes an executor and tells the module what came of it.
pub async fn run(desk: Rc<DispatcherLoop>, ways: Rc<Upstreams>, worker: WorkerId) {
    ways.counters.probes.add();
    let ending =
        timeout_at(Instant::now() + WAIT, probe(&ways, worker)).await.unwrap_or(AttemptEnd::ResponseTimeout);
    desk.dispatch(Event::ProbeEnded { worker, outcome: ending.outcome(), load_report: Vec::new() });
}

async fn probe(ways: &Upstreams, worker: WorkerId) -> AttemptEnd {
    let (address, mut server_link) = match ways.connection(worker).await {
        Ok(found) => found,
        Err(ending) => return ending,
    };
    let link = &mut server_link.connection;
    let request = format!("GET /health/live HTTP/1.1\r\nHost: {address}\r\n\r\n");
    if link.write(request.as_bytes()).await.is_err() {
        return AttemptEnd::ResetBeforeSent;
    }
    let head = match link.read_head(Head::parse_response).await {
        Ok(head) => head,
        Err(fault) => return AttemptEnd::unreadable(fault),
    };
    let body = match head.body() {
        Ok(body) => link.read_body(body).await,
        Err(fault) => Err(fault),
    };
    match (body, &head.start) {
        (Err(fault), _) => AttemptEnd::unreadable(fault),
        (Ok(_), StartLine::Response { status: 200 }) => {
            if head.keeps_alive() {
                ways.pool.check_in(worker, server_link);
            }
            AttemptEnd::Completed(String::new())
        }
        (Ok(_), _) => AttemptEnd::Failed,
    }
}
