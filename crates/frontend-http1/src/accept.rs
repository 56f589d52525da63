//! The accept loop. Evicts (closes) connections without a request in progress when file descriptors run out.

use crate::close_reason::CloseReason;
use crate::connection::serve_connection;
use crate::frontend::Frontend;
use async_io::Async;
use futures_lite::future::{or, yield_now};
use sorrelhaven_engine::DescriptorPermit;
use sorrelhaven_wire::{Connection, SocketCall, SocketFailure, classify, shortage_pause, timeout_at};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// The longest time that a process spends at shutdown on accepting the connections in its own accept queue.
const QUEUE_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Which processes accept from the listener's accept queue. Decides whether this process empties the queue
/// when it stops accepting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptQueue {
    /// Only this process. It empties the queue, because the kernel resets connections that are still in the
    /// queue when the listener is closed.
    Own,
    /// Another process as well, which accepts the connections that are still in the queue.
    Shared,
}

/// Accepts downstream connections until `stop` completes. Then empties the accept queue if it is this
/// process's [own](AcceptQueue::Own), for at most 500 ms.
pub async fn accept(
    frontend: Rc<Frontend>,
    listener: Async<TcpListener>,
    queue: AcceptQueue,
    stop: impl Future<Output = ()>,
) {
    or(accept_forever(&frontend, &listener), stop).await;
    if queue == AcceptQueue::Own {
        let drained = drain_queue(&frontend, &listener);
        if timeout_at(Instant::now() + QUEUE_DRAIN_TIMEOUT, drained).await.is_none() {
            warn!("shutdown left connections in the accept queue");
        }
    }
}

async fn accept_forever(frontend: &Rc<Frontend>, listener: &Async<TcpListener>) {
    loop {
        let permit = acquire_descriptor(frontend).await;
        if accept_one(frontend, listener, permit).await.is_break() {
            let _ = listener.readable().await;
        }
        // Without this, a flood of new connections would starve the open ones.
        yield_now().await;
    }
}

async fn drain_queue(frontend: &Rc<Frontend>, listener: &Async<TcpListener>) {
    loop {
        let permit = acquire_descriptor(frontend).await;
        if accept_one(frontend, listener, permit).await.is_break() {
            return;
        }
    }
}

/// Accepts one connection; after a failed call, waits until it may be retried. Returns `Break` if the accept
/// queue is empty.
async fn accept_one(
    frontend: &Rc<Frontend>,
    listener: &Async<TcpListener>,
    permit: DescriptorPermit,
) -> ControlFlow<()> {
    match listener.get_ref().accept() {
        Ok((stream, _)) => {
            frontend.accept_failing.set(false);
            spawn_connection(frontend, stream, permit);
            ControlFlow::Continue(())
        }
        Err(error) => {
            drop(permit);
            handle_accept_error(frontend, &error).await
        }
    }
}

/// Waits until a failed `accept` may be retried. Returns `Break` if it failed because the queue is empty.
async fn handle_accept_error(frontend: &Frontend, error: &io::Error) -> ControlFlow<()> {
    let failure = classify(SocketCall::Accept, error);
    if failure == SocketFailure::NotReady {
        return ControlFlow::Break(());
    }
    frontend.counters.accepts_failed.increment();
    // Logs only the first of consecutive failures.
    if !frontend.accept_failing.replace(true) {
        warn!(%error, "accept failed, retrying");
    }
    match failure {
        // The error concerns a single connection, not the listener: the next call can follow at once.
        SocketFailure::NotReady | SocketFailure::Interrupted | SocketFailure::Connection => {}
        // The machine lacks a resource, so closing connections of this process would not help.
        SocketFailure::Shortage => shortage_pause().await,
        SocketFailure::DescriptorLimit => frontend.connections.evict_one().await,
    }
    ControlFlow::Continue(())
}

/// Acquires the descriptor for one more downstream connection. Evicts connections until one is available.
async fn acquire_descriptor(frontend: &Frontend) -> DescriptorPermit {
    loop {
        match try_acquire_descriptor(frontend) {
            Some(permit) => return permit,
            None => frontend.connections.evict_one().await,
        }
    }
}

fn try_acquire_descriptor(frontend: &Frontend) -> Option<DescriptorPermit> {
    if frontend.connections.open_count() >= frontend.max_connections() {
        return None;
    }
    frontend.connection_pool().acquire_descriptor()
}

/// Spawns the task that serves an accepted connection and releases its descriptor permit at the end.
fn spawn_connection(frontend: &Rc<Frontend>, stream: TcpStream, permit: DescriptorPermit) {
    frontend.counters.downstream_connections.increment();
    frontend.connections.record_opened();
    let number = frontend.counters.downstream_connections.get();
    let shared = frontend.clone();
    frontend.engine.tasks.spawn(async move {
        let reason = serve_accepted(&shared, stream).await;
        debug!(connection = number, ?reason, "downstream connection closed");
        shared.counters.connection_closed(reason);
        drop(permit);
        shared.connections.record_closed();
    });
}

/// Serves an accepted connection, closes it, and returns why.
async fn serve_accepted(frontend: &Frontend, stream: TcpStream) -> CloseReason {
    let buffers = &frontend.engine.memory_limits.downstream;
    match Connection::accepted(stream, buffers).await {
        Ok(mut connection) => serve_connection(frontend, &mut connection).await,
        Err(error) => {
            frontend.counters.accepts_failed.increment();
            warn!(%error, "accepted connection could not be registered with the event loop");
            CloseReason::NotRegistered
        }
    }
}
