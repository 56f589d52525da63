//! The front end as a whole: its settings, its counters and the deadlines for reading requests.

use crate::counters::Counters;
use crate::downstream::DownstreamConnections;
use crate::incomplete_eviction::IncompleteEviction;
use futures_lite::future::or;
use sorrelhaven_config::{Config, RequestClass};
use sorrelhaven_engine::{ConnectionPool, Engine, to_duration};
use sorrelhaven_lifecycle::{Lifecycle, LifecycleHandle};
use sorrelhaven_wire::timeout_at;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time within which a request must be received. Counts from the request's first byte or, until a job has
/// been submitted on the connection, from the accept. A job's body extends it by the time that the received
/// bytes take at the configured minimum upload rate. Guards against connections that send nothing or an
/// incomplete request: they must be closed within 3 s.
pub(crate) const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Why reading a request has stopped before its end, although the client has not closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadInterrupt {
    /// The request was not received in time.
    TimedOut,
    /// The connection's descriptor is needed for another connection.
    Evicted,
}

/// The HTTP/1.1 front end of one node.
pub struct Frontend {
    /// The engine that executes the jobs.
    pub(crate) engine: Rc<Engine>,
    /// The request classes, in the order of the settings.
    pub(crate) classes: Vec<RequestClass>,
    /// The names of the tenants, in the order of the settings; empty if requests name no tenant.
    pub(crate) tenants: Vec<String>,
    /// Counts connections and invalid requests.
    pub counters: Counters,
    /// Counts the open downstream connections, and notifies those without a request in progress to close.
    pub(crate) connections: DownstreamConnections,
    /// Whether the last `accept` call failed, so that consecutive failures are logged once.
    pub(crate) accept_failing: Cell<bool>,
    /// The phase of the node (starting, serving, drained, stopping), with notification of changes.
    pub(crate) lifecycle: Rc<LifecycleHandle>,
    /// The longest time that a client of any request class waits for its answer, according to the settings.
    longest_client_timeout: Duration,
}

impl Frontend {
    /// Creates a front end that submits jobs to `engine` and takes its readiness from `lifecycle`.
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

    /// Waits until the deadline that `deadline` derives from the lifecycle has passed. The deadline is
    /// derived again at each change of the lifecycle; `None` means that there is none until the next change.
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

    /// Closes idle connections once the deadline for that passes in a drain or a shutdown. Never returns.
    pub async fn close_idle_connections(&self) {
        loop {
            self.lifecycle_deadline_passed(Lifecycle::idle_close_at).await;
            let changed = self.lifecycle.changed();
            self.connections.close_idle.notify(usize::MAX);
            changed.await;
        }
    }

    /// Runs `work`, which reads a request, for at most [`REQUEST_READ_TIMEOUT`] from `read_started_at` on.
    ///
    /// # Errors
    /// [`ReadInterrupt::TimedOut`] also when the read deadline of a drain or shutdown passes.
    pub(crate) async fn within_read_timeout<T>(
        &self,
        read_started_at: Instant,
        eviction: &mut IncompleteEviction<'_>,
        work: impl Future<Output = T>,
    ) -> Result<T, ReadInterrupt> {
        let in_time = async {
            let read = timeout_at(read_started_at + REQUEST_READ_TIMEOUT, work).await;
            read.ok_or(ReadInterrupt::TimedOut)
        };
        let drained = async {
            self.drain_deadline_passed(read_started_at).await;
            Err(ReadInterrupt::TimedOut)
        };
        let evicted = async {
            eviction.evicted().await;
            Err(ReadInterrupt::Evicted)
        };
        or(in_time, or(drained, evicted)).await
    }

    /// Waits until the read deadline of a drain or shutdown passes for a request whose reading started at
    /// `read_started_at`. The deadline does not apply to a request that starts after it.
    pub(crate) async fn drain_deadline_passed(&self, read_started_at: Instant) {
        self.lifecycle_deadline_passed(|lifecycle| {
            let deadline = lifecycle.request_read_deadline(self.longest_client_timeout);
            deadline.filter(|deadline| *deadline > read_started_at)
        })
        .await;
    }

    /// When a node that shuts down must have answered a request that was completely received at
    /// `received_at`, even if the client's own timeout is later; `None` if there is no such deadline.
    pub(crate) fn answer_deadline(&self, received_at: Instant) -> Option<Instant> {
        self.lifecycle.read(|lifecycle| lifecycle.answer_deadline(received_at, self.longest_client_timeout))
    }

    /// Closes connections without a request in progress: as many as are open in excess of the limit that the
    /// file descriptors set.
    pub fn evict_excess_connections(&self) {
        self.connections.evict_excess(self.max_connections());
    }

    /// The number of open downstream connections.
    pub fn open_connection_count(&self) -> usize {
        self.connections.open_count()
    }

    /// The most downstream connections that the limit of file descriptors permits.
    pub(crate) fn max_connections(&self) -> usize {
        self.connection_pool().descriptors.max_downstream_connections()
    }

    /// Whether the node drains or shuts down, so that each response closes its connection.
    pub(crate) fn is_draining(&self) -> bool {
        self.lifecycle.read(Lifecycle::is_draining)
    }

    /// The pool of upstream connections, whose file descriptors count against the same limit as those of the
    /// downstream connections.
    pub(crate) fn connection_pool(&self) -> &ConnectionPool {
        &self.engine.upstreams.pool
    }
}
