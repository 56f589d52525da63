//! The state that all downstream connections share.

use crate::counters::Counters;
use crate::downstream::DownstreamConnections;
use futures_lite::future::or;
use sorrelhaven_config::{Config, RequestClass};
use sorrelhaven_engine::{ConnectionPool, Engine, to_duration};
use sorrelhaven_lifecycle::{Lifecycle, LifecycleHandle};
use sorrelhaven_wire::timeout_at;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time in which a request must be received, from its first byte, or from the accept for a connection's
/// first request. A long body has, in addition, the time that its length takes at the slowest permitted rate.
/// Guards against connections that send nothing or an incomplete request: they must be closed within 3 s.
pub(crate) const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The HTTP/1.1 front end of one node.
pub struct Frontend {
    /// Executes the jobs.
    pub(crate) engine: Rc<Engine>,
    /// The request classes, as the settings list them.
    pub(crate) classes: Vec<RequestClass>,
    /// The tenants; empty where requests name none.
    pub(crate) tenants: Vec<String>,
    /// The counters.
    pub counters: Counters,
    /// The open downstream connections.
    pub(crate) connections: DownstreamConnections,
    /// Whether the last `accept` call failed.
    pub(crate) accept_failing: Cell<bool>,
    /// The node's lifecycle.
    pub(crate) lifecycle: Rc<LifecycleHandle>,
    /// The longest time that a client of any class waits for its answer.
    longest_client_timeout: Duration,
}

impl Frontend {
    /// A front end that passes its jobs to `engine` and reports the readiness of `lifecycle`.
    pub fn new(engine: Rc<Engine>, config: &Config, lifecycle: Rc<LifecycleHandle>) -> Rc<Frontend> {
        let longest_deadline = config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        Rc::new(Frontend {
            engine,
            classes: config.classes.clone(),
            tenants: config.tenants.clone(),
            counters: Counters::default(),
            connections: DownstreamConnections::default(),
            accept_failing: Cell::new(false),
            lifecycle,
            longest_client_timeout: to_duration(longest_deadline),
        })
    }

    /// Waits until the point in time that `deadline` computes from the lifecycle has passed. It is computed
    /// again at each change of the lifecycle; `None` waits for the next change.
    pub async fn lifecycle_deadline_passed(&self, deadline: impl Fn(&Lifecycle) -> Option<Instant>) {
        loop {
            let changed = self.lifecycle.changed();
            let Some(at) = self.lifecycle.read(&deadline) else {
                changed.await;
                continue;
            };
            if timeout_at(at, changed).await.is_none() {
                return;
            }
        }
    }

    /// Closes idle connections whenever the lifecycle requires it. Never returns.
    pub async fn close_idle_connections(&self) {
        loop {
            self.lifecycle_deadline_passed(Lifecycle::idle_close_at).await;
            let changed = self.lifecycle.changed();
            self.connections.close_idle.notify(usize::MAX);
            changed.await;
        }
    }

    /// Runs `work`, which reads a request whose first byte could arrive at `read_started_at`. `None` where
    /// that takes longer than [`REQUEST_READ_TIMEOUT`] or than the lifecycle allows.
    pub(crate) async fn within_read_timeout<T>(
        &self,
        read_started_at: Instant,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        or(timeout_at(read_started_at + REQUEST_READ_TIMEOUT, work), async {
            self.drain_deadline_passed(read_started_at).await;
            None
        })
        .await
    }

    /// Waits until a draining node can no longer wait for a request whose first byte could arrive at
    /// `read_started_at`. The deadline does not apply to a request that starts after it.
    pub(crate) async fn drain_deadline_passed(&self, read_started_at: Instant) {
        self.lifecycle_deadline_passed(|lifecycle| {
            let deadline = lifecycle.request_read_deadline(self.longest_client_timeout);
            deadline.filter(|deadline| *deadline > read_started_at)
        })
        .await;
    }

    /// When a request that was completely received at `received_at` must be answered whatever its client
    /// allows; `None` without such a deadline.
    pub(crate) fn answer_deadline(&self, received_at: Instant) -> Option<Instant> {
        self.lifecycle.read(|lifecycle| lifecycle.answer_deadline(received_at, self.longest_client_timeout))
    }

    /// Closes as many connections without a request in progress as are open beyond the descriptor limit.
    pub fn evict_excess_connections(&self) {
        self.connections.evict_excess(self.max_connections());
    }

    /// How many downstream connections are open.
    pub fn open_connection_count(&self) -> usize {
        self.connections.open()
    }

    /// How many downstream connections the descriptor limit permits.
    pub(crate) fn max_connections(&self) -> usize {
        self.connection_pool().descriptors.max_downstream_connections()
    }

    /// Whether each response closes its connection.
    pub(crate) fn is_draining(&self) -> bool {
        self.lifecycle.read(Lifecycle::is_draining)
    }

    /// The pool of upstream connections, which shares the descriptor limit.
    pub(crate) fn connection_pool(&self) -> &ConnectionPool {
        &self.engine.upstreams.pool
    }
}
