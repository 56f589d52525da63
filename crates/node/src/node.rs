//! A running node: the engine with its front end, until the shutdown is complete.

use crate::cli::LogFormat;
use crate::client_listener::ClientListener;
use crate::counter_report::counter_report;
use crate::reload::Reloader;
use crate::signals::{Signal, Signals};
use async_io::Timer;
use sorrelhaven_engine::Engine;
use sorrelhaven_frontend_http1::{AcceptQueue, Frontend, accept};
use sorrelhaven_lifecycle::{Lifecycle, LifecycleHandle, Phase};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// How often a node that shuts down checks whether all requests have been answered.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The engine with its front end.
pub struct Node {
    /// Executes the jobs.
    pub engine: Rc<Engine>,
    /// Accepts the jobs.
    pub frontend: Rc<Frontend>,
    /// The node's lifecycle.
    pub lifecycle: Rc<LifecycleHandle>,
    /// The format of the counters' line.
    pub format: LogFormat,
}

impl Node {
    /// Prints all counters to standard error, on one line.
    pub fn print_counters(&self) {
        let counters = self.engine.counters.metrics().into_iter();
        let counters = counters.chain(self.frontend.counters.metrics()).chain(self.engine.bodies.metrics());
        eprintln!("{}", counter_report(self.format, counters));
    }

    /// Handles signals until the program ends: a node that shuts down still follows a change of discovery's
    /// address.
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

    /// Serves clients until a shutdown is requested and every accepted request has been answered.
    pub async fn serve(&self, listener: ClientListener) {
        let ClientListener { socket, queue } = listener;
        accept(self.frontend.clone(), socket, queue, self.accepting_ends(queue)).await;
        while self.has_open_work() {
            Timer::after(SHUTDOWN_POLL_INTERVAL).await;
        }
    }

    fn has_open_work(&self) -> bool {
        self.frontend.open_connection_count() > 0 || self.engine.dispatcher_loop.registered_requests() > 0
    }

    /// Waits until no more connections are to be accepted. Clients still arrive for a while after the
    /// shutdown was requested; where another process shares the queue it accepts them, and has more time to
    /// answer.
    async fn accepting_ends(&self, queue: AcceptQueue) {
        let deadline = |lifecycle: &Lifecycle| match (lifecycle.phase(), queue) {
            (Phase::Stopping { .. }, AcceptQueue::Own) => lifecycle.idle_close_at(),
            (Phase::Stopping { since }, AcceptQueue::Shared) => Some(since),
            (Phase::Starting { .. } | Phase::Serving | Phase::Drained { .. }, _) => None,
        };
        self.frontend.lifecycle_deadline_passed(deadline).await;
        info!(?queue, "stopped accepting connections");
    }
}
