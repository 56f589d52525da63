//! Counts the open downstream connections, and notifies those without a request in progress to close.

use event_listener::Event;
use sorrelhaven_wire::{PeerCloseDetector, timeout_at};
use std::cell::Cell;
use std::future::pending;
use std::time::{Duration, Instant};

/// How long to wait for an evicted connection to close or to linger before the next one is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(10);

/// The count of a front end's downstream connections, and the events that close some of them.
#[derive(Default)]
pub struct DownstreamConnections {
    open: Cell<usize>,
    /// Each notification closes one connection that lingers after its last response: the one that has lingered for
    /// the longest time.
    pub evict_lingering: Event,
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
    /// Notified at each connection that has closed, or lingers and can be evicted.
    released: Event,
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
        self.released.notify(1);
    }

    /// Waits until a connection that lingers after its last response is to be closed. If its client is still sending,
    /// a close could lose the response: another connection is then evicted instead, and this never completes.
    pub async fn evicted_while_lingering(&self, client: &PeerCloseDetector) {
        let evicted = self.evict_lingering.listen();
        self.released.notify(1);
        evicted.await;
        if client.has_unread_input() {
            self.evict(1);
            pending::<()>().await;
        }
    }

    /// Closes one connection without a complete request. Waits until any connection has closed or lingers, but no
    /// longer than [`EVICTION_TIMEOUT`]. Those that linger are closed first, then unused connections, then those with
    /// a first request that is incomplete: clients that send nothing, or stop half way, must not displace those that
    /// send jobs.
    pub async fn evict_one(&self) {
        let released = self.released.listen();
        self.evict(1);
        timeout_at(Instant::now() + EVICTION_TIMEOUT, released).await;
    }

    /// Closes connections without a complete request: as many as are open in excess of `max_open`.
    pub fn evict_excess(&self, max_open: usize) {
        self.evict(self.open_count().saturating_sub(max_open));
    }

    /// Notifies up to `count` connections without a complete request to close.
    fn evict(&self, count: usize) {
        let mut remaining = count;
        let events = [&self.evict_lingering, &self.evict_unused, &self.evict_incomplete, &self.evict_idle];
        for event in events {
            remaining -= event.notify_additional(remaining);
        }
    }
}
