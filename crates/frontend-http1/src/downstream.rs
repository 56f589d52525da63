//! The number of open downstream connections, and the notifications that close those without a request in
//! progress.

use event_listener::Event;
use sorrelhaven_wire::timeout_at;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The longest wait for an evicted connection to close before another one is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(10);

/// The state that all downstream connections of a front end share.
#[derive(Default)]
pub struct DownstreamConnections {
    open: Cell<usize>,
    /// Each notification closes the oldest connection that has not carried a job yet.
    pub evict_unused: Event,
    /// Each notification closes one connection that has carried a job, the one that has been idle the
    /// longest.
    pub evict_idle: Event,
    /// Closes all connections that are idle: the node drains or shuts down.
    pub close_idle: Event,
    closed: Event,
}

impl DownstreamConnections {
    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Records that a connection was accepted.
    pub fn record_opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// Records that a connection has ended.
    pub fn record_closed(&self) {
        self.open.set(self.open.get() - 1);
        self.closed.notify(1);
    }

    /// Closes one connection without a request in progress and waits until one has closed, for at most
    /// [`EVICTION_TIMEOUT`]. Connections that have never carried a job are closed first: clients that send
    /// nothing must not displace those that do.
    pub async fn evict_one(&self) {
        let closed = self.closed.listen();
        if self.evict_unused.notify_additional(1) == 0 {
            self.evict_idle.notify_additional(1);
        }
        timeout_at(Instant::now() + EVICTION_TIMEOUT, closed).await;
    }

    /// Closes as many connections without a request in progress as are open beyond `max_open`.
    pub fn evict_excess(&self, max_open: usize) {
        let excess = self.open().saturating_sub(max_open);
        let unused = self.evict_unused.notify_additional(excess);
        self.evict_idle.notify_additional(excess - unused);
    }
}
