//! Serves one downstream connection, from its accept to its close.

use crate::close_reason::CloseReason;
use crate::exchange::{Exchange, serve_request};
use crate::frontend::{Frontend, REQUEST_READ_TIMEOUT};
use crate::response::{REJECTED_STATUS, REQUEST_TIMEOUT_STATUS, Response};
use event_listener::Event;
use futures_lite::future::{or, yield_now};
use sorrelhaven_wire::{Connection, MAX_BODY_BYTES, timeout_at};
use std::time::{Duration, Instant};
use tracing::debug;

/// The time within which a response must have been written to the client's connection.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection on which a job has been submitted may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How long the input of a connection is drained after the last response. Closing a socket that has unread
/// input resets the connection, and the client may then lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The most input that is drained after the last response.
const MAX_LINGER_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Serves requests on a downstream connection, one after the other, until the client or the node closes it.
/// Until a job has been submitted on the connection, [`REQUEST_READ_TIMEOUT`] counts from its accept, and the
/// connection is evicted before those that have submitted a job. Returns why the connection is to be closed.
pub async fn serve_connection(frontend: &Frontend, connection: &mut Connection) -> CloseReason {
    let accepted_at = Instant::now();
    let mut has_submitted_job = false;
    loop {
        let unused_deadline = (!has_submitted_job).then_some(accepted_at + REQUEST_READ_TIMEOUT);
        if let Err(reason) = wait_for_request(frontend, connection, unused_deadline).await {
            return reason;
        }
        let read_started_at = if has_submitted_job { Instant::now() } else { accepted_at };
        let served = serve_request(frontend, connection, read_started_at, has_submitted_job).await;
        let exchange = match served {
            Ok(exchange) => exchange,
            Err(reason) => return reason,
        };
        has_submitted_job |= exchange.submitted_job;
        if let Err(reason) = send_response(frontend, connection, exchange).await {
            return reason;
        }
        connection.release_memory();
        // Without this, a client that sends requests without a pause would starve the other clients.
        yield_now().await;
    }
}

/// Sends the response. If no other request can be read from the connection, closes its sending side and returns
/// the reason as the error.
async fn send_response(
    frontend: &Frontend,
    connection: &mut Connection,
    exchange: Exchange,
) -> Result<(), CloseReason> {
    let Exchange { mut response, reusable, .. } = exchange;
    record_client_error(frontend, &response);
    let close_reason = close_reason(frontend, connection, &response, reusable);
    response.close = close_reason.is_some();
    let bytes = response.to_bytes();
    let write_deadline = Instant::now() + RESPONSE_WRITE_TIMEOUT;
    if timeout_at(write_deadline, connection.write(&bytes)).await != Some(Ok(())) {
        return Err(CloseReason::WriteFailed);
    }
    let Some(reason) = close_reason else { return Ok(()) };
    linger(frontend, connection).await;
    Err(reason)
}

/// Drains the input of a connection after the last response, until the client closes it or the connection's descriptor
/// is needed for another connection.
async fn linger(frontend: &Frontend, connection: &mut Connection) {
    let client = connection.peer_close_detector();
    let drained = async {
        let linger_deadline = Instant::now() + LINGER_TIMEOUT;
        _ = timeout_at(linger_deadline, connection.drain_input(MAX_LINGER_BYTES)).await;
    };
    or(drained, frontend.connections.evicted_while_lingering(&client)).await;
}

/// Why the connection is to be closed after `response`; `None` if it stays open. `reusable`: the request was read
/// to its end, and the client keeps the connection open.
fn close_reason(
    frontend: &Frontend,
    connection: &Connection,
    response: &Response,
    reusable: bool,
) -> Option<CloseReason> {
    if response.close {
        return Some(match response.status {
            REQUEST_TIMEOUT_STATUS => CloseReason::RequestTimeout,
            REJECTED_STATUS => CloseReason::EvictedIncomplete,
            _ => CloseReason::InvalidRequest,
        });
    }
    if connection.has_discarded_input() {
        return Some(CloseReason::InputDiscarded);
    }
    if !reusable {
        return Some(CloseReason::NotReusable);
    }
    frontend.is_draining().then_some(CloseReason::Draining)
}

fn record_client_error(frontend: &Frontend, response: &Response) {
    if response.status / 100 == 4 {
        frontend.counters.malformed_requests.increment();
        let body = String::from_utf8_lossy(&response.body);
        debug!(response.status, %body, "responding with a 4xx status");
    }
}

/// The event that ends the wait for the next request on a connection.
enum IdleEvent {
    /// Input has arrived, the beginning of a request.
    Input,
    /// The client has closed the connection.
    PeerClosed,
    /// The connection is to be closed to release its file descriptor.
    Evicted,
    /// The node closes all idle connections, in a drain or a shutdown.
    CloseIdle,
    /// The connection has been idle for [`IDLE_TIMEOUT`], or has reached its `unused_deadline`.
    TimedOut,
}

/// Waits for the first byte of a request. The error is why the connection is to be closed instead.
/// `unused_deadline` ends the wait on a connection on which no job has been submitted yet; `None` on all
/// others. The node does not close a connection with unread input, so the socket is read once more before a
/// close.
async fn wait_for_request(
    frontend: &Frontend,
    connection: &mut Connection,
    unused_deadline: Option<Instant>,
) -> Result<(), CloseReason> {
    if connection.buffered_len() > 0 {
        return Ok(());
    }
    let connections = &frontend.connections;
    let eviction =
        if unused_deadline.is_some() { &connections.evict_unused } else { &connections.evict_idle };
    let reason = match next_idle_event(frontend, connection, eviction, unused_deadline).await {
        IdleEvent::Input => return Ok(()),
        IdleEvent::PeerClosed => return Err(CloseReason::ClientClosedIdle),
        IdleEvent::Evicted => CloseReason::Evicted,
        IdleEvent::CloseIdle => CloseReason::Draining,
        IdleEvent::TimedOut => CloseReason::IdleTimeout,
    };
    if !connection.has_input() {
        return Err(reason);
    }
    if reason == CloseReason::Evicted {
        // The notification is passed on, so that another connection is evicted instead of this one.
        eviction.notify_additional(1);
    }
    Ok(())
}

async fn next_idle_event(
    frontend: &Frontend,
    connection: &mut Connection,
    eviction: &Event,
    unused_deadline: Option<Instant>,
) -> IdleEvent {
    let close_idle = frontend.connections.close_idle.listen();
    let close = async {
        if !frontend.lifecycle.read(|lifecycle| lifecycle.closes_idle_immediately(Instant::now())) {
            close_idle.await;
        }
        IdleEvent::CloseIdle
    };
    let evicted = async {
        eviction.listen().await;
        IdleEvent::Evicted
    };
    let input =
        async { if connection.fill().await.is_ok() { IdleEvent::Input } else { IdleEvent::PeerClosed } };
    let idle_deadline = unused_deadline.unwrap_or_else(|| Instant::now() + IDLE_TIMEOUT);
    timeout_at(idle_deadline, or(input, or(evicted, close))).await.unwrap_or(IdleEvent::TimedOut)
}
