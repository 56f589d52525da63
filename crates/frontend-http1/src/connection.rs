//! One downstream connection, from its accept to its end.

use crate::exchange::{Exchange, serve_request};
use crate::frontend::{Frontend, REQUEST_READ_TIMEOUT};
use crate::response::Response;
use event_listener::Event;
use futures_lite::future::{or, yield_now};
use sorrelhaven_wire::{Connection, MAX_BODY_BYTES, timeout_at};
use std::time::{Duration, Instant};
use tracing::debug;

/// The time in which a client must have received its response.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection that has carried a job may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How long a connection's input is drained before it is closed, so that the client receives the response and
/// not a reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The most that is drained from such a connection.
const MAX_LINGER_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Serves requests on a downstream connection, one after the other, until either side ends it. Until the
/// connection has carried a job, [`REQUEST_READ_TIMEOUT`] counts from its accept, and it is the first to be
/// evicted.
pub async fn serve_connection(frontend: &Frontend, connection: &mut Connection) {
    let accepted_at = Instant::now();
    let mut has_carried_job = false;
    loop {
        let unused_deadline = (!has_carried_job).then_some(accepted_at + REQUEST_READ_TIMEOUT);
        if !wait_for_request(frontend, connection, unused_deadline).await {
            return;
        }
        let read_started_at = if has_carried_job { Instant::now() } else { accepted_at };
        let Some(exchange) = serve_request(frontend, connection, read_started_at).await else { return };
        has_carried_job |= exchange.carried_job;
        if send_response(frontend, connection, exchange).await.is_err() {
            return;
        }
        // A client that sends without pause must not starve the others.
        yield_now().await;
    }
}

/// The connection cannot carry another request.
struct ConnectionEnded;

async fn send_response(
    frontend: &Frontend,
    connection: &mut Connection,
    exchange: Exchange,
) -> Result<(), ConnectionEnded> {
    let Exchange { mut response, reusable, .. } = exchange;
    record_rejection(frontend, &response);
    response.close |= !reusable || connection.has_discarded_input() || frontend.is_draining();
    let bytes = response.to_bytes();
    let write_deadline = Instant::now() + RESPONSE_WRITE_TIMEOUT;
    if timeout_at(write_deadline, connection.write(&bytes)).await != Some(Ok(())) {
        return Err(ConnectionEnded);
    }
    if response.close {
        let linger_deadline = Instant::now() + LINGER_TIMEOUT;
        _ = timeout_at(linger_deadline, connection.drain_input(MAX_LINGER_BYTES)).await;
        return Err(ConnectionEnded);
    }
    Ok(())
}

fn record_rejection(frontend: &Frontend, response: &Response) {
    if response.status / 100 == 4 {
        frontend.counters.malformed_requests.increment();
        let body = String::from_utf8_lossy(&response.body);
        debug!(response.status, %body, "request rejected by the protocol");
    }
}

/// What ends the wait for a request.
enum Wake {
    /// The first bytes of a request have arrived.
    Input,
    /// The client has closed the connection.
    PeerClosed,
    /// The connection is evicted for lack of descriptors.
    Evicted,
    /// The node closes idle connections.
    CloseIdle,
    /// The connection has been idle for too long.
    TimedOut,
}

/// Waits for the first byte of a request; false where the connection is to be closed instead.
/// `unused_deadline` is the end of the wait on a connection that has not carried a job yet. A connection with
/// unread input is never closed: input that arrived since the last read is looked for once more.
async fn wait_for_request(
    frontend: &Frontend,
    connection: &mut Connection,
    unused_deadline: Option<Instant>,
) -> bool {
    if connection.buffered_len() > 0 {
        return true;
    }
    let connections = &frontend.connections;
    let eviction =
        if unused_deadline.is_some() { &connections.evict_unused } else { &connections.evict_idle };
    match next_wake(frontend, connection, eviction, unused_deadline).await {
        Wake::Input => true,
        Wake::PeerClosed => false,
        Wake::Evicted if connection.has_input() => {
            // Another connection is evicted in its place.
            eviction.notify_additional(1);
            true
        }
        Wake::Evicted => {
            frontend.counters.evicted_connections.increment();
            false
        }
        Wake::CloseIdle | Wake::TimedOut => connection.has_input(),
    }
}

async fn next_wake(
    frontend: &Frontend,
    connection: &mut Connection,
    eviction: &Event,
    unused_deadline: Option<Instant>,
) -> Wake {
    let close_idle = frontend.connections.close_idle.listen();
    let close = async {
        if !frontend.lifecycle.read(|lifecycle| lifecycle.closes_idle_immediately(Instant::now())) {
            close_idle.await;
        }
        Wake::CloseIdle
    };
    let evicted = async {
        eviction.listen().await;
        Wake::Evicted
    };
    let input = async { if connection.fill().await.is_ok() { Wake::Input } else { Wake::PeerClosed } };
    let idle_deadline = unused_deadline.unwrap_or_else(|| Instant::now() + IDLE_TIMEOUT);
    timeout_at(idle_deadline, or(input, or(evicted, close))).await.unwrap_or(Wake::TimedOut)
}
