//! Accepts connections on the admin listener.

use crate::caller::serve_connection;
use crate::eviction::next_eviction_at;
use crate::service::AdminService;
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use sorrelhaven_engine::Tasks;
use sorrelhaven_wire::{SocketCall, SocketFailure, classify, shortage_pause};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;
use tracing::warn;

/// Opens the admin listener on `address`.
///
/// # Errors
/// The address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts and serves connections. Never returns. Must run as an urgent task: the reply to a command is due
/// within 1 s, and executing one takes so little time that requests are not delayed.
pub async fn serve(service: Rc<AdminService>, tasks: Rc<Tasks>, listener: Async<TcpListener>) {
    let mut connections = AdminConnections::default();
    loop {
        let stream = match listener.get_ref().accept() {
            Ok((stream, _)) => stream,
            Err(error) => {
                wait_for_accept_retry(&error, &listener).await;
                continue;
            }
        };
        connections.make_room().await;
        let service = service.clone();
        let task = tasks.spawn_urgent_cancellable(async move { serve_connection(&service, stream).await });
        connections.open.push_back(AdminConnection { accepted_at: Instant::now(), task });
        // Lets a client whose command has arrived get its reply before the next connection is accepted.
        yield_now().await;
    }
}

/// An open connection and the task that serves it. Dropping the task closes the connection.
struct AdminConnection {
    accepted_at: Instant,
    task: Task<()>,
}

/// The open connections, the oldest first.
#[derive(Default)]
struct AdminConnections {
    open: VecDeque<AdminConnection>,
}

impl AdminConnections {
    /// Waits until there is room for one more connection. If no connection has ended by the time that
    /// [`next_eviction_at`] returns, closes the oldest one.
    async fn make_room(&mut self) {
        self.remove_finished();
        while let Some(evict_at) = self.next_eviction_at() {
            Timer::at(evict_at).await;
            self.remove_finished();
            if self.next_eviction_at().is_some() {
                self.open.pop_front();
            }
        }
    }

    fn remove_finished(&mut self) {
        self.open.retain(|connection| !connection.task.is_finished());
    }

    fn next_eviction_at(&self) -> Option<Instant> {
        next_eviction_at(self.open.iter().map(|connection| connection.accepted_at))
    }
}

/// Waits until `accept` may be called again after a call failed with `error`.
async fn wait_for_accept_retry(error: &io::Error, listener: &Async<TcpListener>) {
    match classify(SocketCall::Accept, error) {
        SocketFailure::NotReady => {
            let _ = listener.readable().await;
        }
        SocketFailure::Interrupted | SocketFailure::Connection => yield_now().await,
        SocketFailure::DescriptorLimit | SocketFailure::Shortage => {
            warn!(%error, "accept on the admin listener failed, retrying");
            shortage_pause().await;
        }
    }
}
