//! Accepts callers on the admin listener.

use crate::caller::serve_caller;
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

/// Listens for callers on `address`.
///
/// # Errors
/// The address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Serves callers. Never returns. Must run as an urgent task: each command takes only a moment, and its reply
/// is due within 1 s.
pub async fn serve(service: Rc<AdminService>, tasks: Rc<Tasks>, listener: Async<TcpListener>) {
    let mut callers = Callers::default();
    loop {
        let stream = match listener.get_ref().accept() {
            Ok((stream, _)) => stream,
            Err(error) => {
                wait_for_accept_retry(&error, &listener).await;
                continue;
            }
        };
        callers.make_room().await;
        let service = service.clone();
        let task = tasks.spawn_urgent_cancellable(async move { serve_caller(&service, stream).await });
        callers.connected.push_back(Caller { accepted_at: Instant::now(), task });
        // A caller whose command has arrived is answered before the next one is accepted.
        yield_now().await;
    }
}

/// A connected caller. Dropping its task disconnects it.
struct Caller {
    accepted_at: Instant,
    task: Task<()>,
}

/// The connected callers, the oldest first.
#[derive(Default)]
struct Callers {
    connected: VecDeque<Caller>,
}

impl Callers {
    /// Waits until there is room for one more caller, and disconnects the oldest where none ends by itself.
    async fn make_room(&mut self) {
        self.remove_finished();
        while let Some(evict_at) = self.next_eviction_at() {
            Timer::at(evict_at).await;
            self.remove_finished();
            if self.next_eviction_at().is_some() {
                self.connected.pop_front();
            }
        }
    }

    fn remove_finished(&mut self) {
        self.connected.retain(|caller| !caller.task.is_finished());
    }

    fn next_eviction_at(&self) -> Option<Instant> {
        next_eviction_at(self.connected.iter().map(|caller| caller.accepted_at))
    }
}

/// Waits until `accept` may be called again after it failed with `error`.
async fn wait_for_accept_retry(error: &io::Error, listener: &Async<TcpListener>) {
    match classify(SocketCall::Accept, error) {
        SocketFailure::NotReady => {
            let _ = listener.readable().await;
        }
        SocketFailure::Interrupted | SocketFailure::Connection => yield_now().await,
        SocketFailure::DescriptorLimit | SocketFailure::Shortage => {
            warn!(%error, "admin accept failed");
            shortage_pause().await;
        }
    }
}
