//! The accept loop, which evicts connections without a request in progress when file descriptors run out.

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
use tracing::warn;

/// The longest time that a node which shuts down spends on accepting what waits in its own accept queue.
const QUEUE_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Who accepts from the listener's queue, which decides what happens to it when this process stops accepting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptQueue {
    /// Only this process: connections that wait in the queue would be reset, so they are accepted.
    Own,
    /// Another process as well, which accepts the connections that wait.
    Shared,
}

/// Accepts downstream connections until `stop` completes and then, from an [own](AcceptQueue::Own) queue,
/// those that still wait in it.
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
        // A flood of new connections must not starve those that are open.
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

/// Accepts one connection, or waits until a failed call may be retried. `Break` where the queue is empty.
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

/// Waits until a failed `accept` may be retried. `Break` where the queue is empty.
async fn handle_accept_error(frontend: &Frontend, error: &io::Error) -> ControlFlow<()> {
    let failure = classify(SocketCall::Accept, error);
    if failure == SocketFailure::NotReady {
        return ControlFlow::Break(());
    }
    frontend.counters.accepts_failed.increment();
    // Consecutive failures are logged once.
    if !frontend.accept_failing.replace(true) {
        warn!(%error, "accept failed, retrying");
    }
    match failure {
        // The failure concerns the one connection, not the listener.
        SocketFailure::NotReady | SocketFailure::Interrupted | SocketFailure::Connection => {}
        // The machine's shortage, not this process's: closing connections would not help.
        SocketFailure::Shortage => shortage_pause().await,
        SocketFailure::DescriptorLimit => frontend.connections.evict_one().await,
    }
    ControlFlow::Continue(())
}

/// A descriptor for one more downstream connection. Evicts connections until one is available.
async fn acquire_descriptor(frontend: &Frontend) -> DescriptorPermit {
    loop {
        match try_acquire_descriptor(frontend) {
            Some(permit) => return permit,
            None => frontend.connections.evict_one().await,
        }
    }
}

fn try_acquire_descriptor(frontend: &Frontend) -> Option<DescriptorPermit> {
    if frontend.connections.open() >= frontend.max_connections() {
        return None;
    }
    frontend.connection_pool().acquire_descriptor()
}

/// Starts the task that serves an accepted connection.
fn spawn_connection(frontend: &Rc<Frontend>, stream: TcpStream, permit: DescriptorPermit) {
    frontend.counters.downstream_connections.increment();
    frontend.connections.record_opened();
    let shared = frontend.clone();
    frontend.engine.tasks.spawn(async move {
        match Connection::accepted(stream).await {
            Ok(mut connection) => serve_connection(&shared, &mut connection).await,
            Err(error) => {
                shared.counters.accepts_failed.increment();
                warn!(%error, "accepted connection could not be registered");
            }
        }
        drop(permit);
        shared.connections.record_closed();
    });
}
