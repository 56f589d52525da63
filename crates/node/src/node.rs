//! A running node: the engine and its front end, from start-up to the end of the shutdown.

use crate::cli::LogFormat;
use crate::client_listener::ClientListener;
use crate::counter_report::counter_report;
use crate::reload::Reloader;
use crate::signals::{Signal, Signals};
use async_io::Timer;
use sorrelhaven_engine::{Engine, ProcessMemory};
use sorrelhaven_frontend_http1::{AcceptQueue, Frontend, accept};
use sorrelhaven_lifecycle::{Lifecycle, LifecycleHandle, Phase};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// Interval at which a node that shuts down checks whether connections or requests remain.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The engine and its front end.
pub struct Node {
    /// Dispatches the requests to the workers.
    pub engine: Rc<Engine>,
    /// Reads the clients' requests and writes the answers.
    pub frontend: Rc<Frontend>,
    /// Whether the node is starting, serving, drained or stopping; admin commands change it too.
    pub lifecycle: Rc<LifecycleHandle>,
    /// The log's format, in which the counters are printed too.
    pub format: LogFormat,
}

/// The memory of this process, in bytes.
fn memory_metrics() -> [(&'static str, u64); 2] {
    let memory = ProcessMemory::read();
    [("resident_bytes", memory.resident_bytes), ("peak_resident_bytes", memory.peak_resident_bytes)]
}

impl Node {
    /// Prints all counters to standard error, on one line.
    pub fn print_counters(&self) {
        let counters = self.engine.counters.metrics().into_iter();
        let counters = counters.chain(self.frontend.counters.metrics()).chain(self.engine.bodies.metrics());
        let counters = counters.chain(self.engine.memory_limits.metrics()).chain(memory_metrics());
        eprintln!("{}", counter_report(self.format, counters));
    }

    /// Handles signals until the process exits. A reload during a shutdown still takes effect, so that the
    /// node follows a changed discovery address.
    pub async fn handle_signals(&self, mut signals: Signals, mut reloader: Reloader) {
        loop {
            match signals.next().await {
                Signal::Report => self.print_counters(),
                Signal::Reload => reloader.reload(),
                Signal::Stop => {
                    info!("shutdown requested");
                    self.lifecycle.begin_shutdown(Instant::now());
                }
            }
        }
    }

    /// Serves clients until, after a shutdown request, every client connection is closed, every admitted
    /// request is concluded, and its attempts have ended.
    pub async fn serve(&self, listener: ClientListener) {
        let ClientListener { socket, queue } = listener;
        accept(self.frontend.clone(), socket, queue, self.wait_until_accepting_stops(queue)).await;
        while self.has_connections_or_requests() {
            Timer::after(SHUTDOWN_POLL_INTERVAL).await;
        }
    }

    fn has_connections_or_requests(&self) -> bool {
        self.frontend.open_connection_count() > 0 || self.engine.dispatcher_loop.registered_requests() > 0
    }

    /// Waits until the node has to stop accepting connections. Clients still connect for a while after the
    /// shutdown request, so a node that accepts alone goes on until idle connections are closed. With a
    /// shared queue it stops at once: the other process accepts these clients, and has more time to answer.
    async fn wait_until_accepting_stops(&self, queue: AcceptQueue) {
        let deadline = |lifecycle: &Lifecycle| match (lifecycle.phase(), queue) {
            (Phase::Stopping { .. }, AcceptQueue::Own) => lifecycle.idle_close_at(),
            (Phase::Stopping { since }, AcceptQueue::Shared) => Some(since),
            (Phase::Starting { .. } | Phase::Serving | Phase::Drained { .. }, _) => None,
        };
        self.frontend.lifecycle_deadline_passed(deadline).await;
        info!(?queue, "stopped accepting connections");
    }
}
