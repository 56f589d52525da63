//! Counts the open downstream connections, and notifies those without a request in progress to close.

use event_listener::Event;
use sorrelhaven_wire::timeout_at;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// How long to wait for an evicted connection to close before the next one is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(10);

/// The count of a front end's downstream connections, and the events that close some of them.
#[derive(Default)]
pub struct DownstreamConnections {
    open: Cell<usize>,
    /// Each notification closes one unused connection, on which no job has been submitted yet: the one that
    /// has been idle for the longest time.
    pub evict_unused: Event,
    /// Each notification closes one connection on which no job has been submitted and whose first request is
    /// incomplete: the one that has been read for the longest time.
    pub evict_incomplete: Event,
    /// Each notification closes one connection on which a job has been submitted: the one that has been idle
    /// for the longest time.
    pub evict_idle: Event,
    /// Closes all idle connections, because the node drains or shuts down.
    pub close_idle: Event,
    /// Notified at each connection that has closed.
    closed: Event,
}

impl DownstreamConnections {
    /// The number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Records that a connection was accepted.
    pub fn record_opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// Records that a connection has closed, which ends the wait of [`DownstreamConnections::evict_one`].
    pub fn record_closed(&self) {
        self.open.set(self.open.get() - 1);
        self.closed.notify(1);
    }

    /// Closes one connection without a complete request. Waits until any connection has closed, but no
    /// longer than [`EVICTION_TIMEOUT`]. Unused connections are closed first, then those with a first request that
    /// is incomplete: clients that send nothing, or stop half way, must not displace those that send jobs.
    pub async fn evict_one(&self) {
        let closed = self.closed.listen();
        self.evict(1);
        timeout_at(Instant::now() + EVICTION_TIMEOUT, closed).await;
    }

    /// Closes connections without a complete request: as many as are open in excess of `max_open`.
    pub fn evict_excess(&self, max_open: usize) {
        self.evict(self.open_count().saturating_sub(max_open));
    }

    /// Notifies up to `count` connections without a complete request to close.
    fn evict(&self, count: usize) {
        let mut remaining = count;
        for event in [&self.evict_unused, &self.evict_incomplete, &self.evict_idle] {
            remaining -= event.notify_additional(remaining);
        }
    }
}
