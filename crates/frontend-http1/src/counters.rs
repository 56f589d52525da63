//! The counters of the front end.

use crate::close_reason::CloseReason;
use sorrelhaven_engine::Counter;

/// The events that the front end counts itself; what becomes of jobs is in the engine's counters.
#[derive(Default)]
pub struct Counters {
    /// Downstream connections accepted.
    pub downstream_connections: Counter,
    /// Requests to which the front end responded with a 4xx status.
    pub malformed_requests: Counter,
    /// Failed `accept` calls, and accepted connections that could not be registered with the event loop.
    pub accepts_failed: Counter,
    /// Connections closed, by reason; indexed by the discriminant.
    closed: [Counter; CloseReason::ALL.len()],
}

impl Counters {
    /// Counts a connection that was closed.
    pub fn connection_closed(&self, reason: CloseReason) {
        self.closed[reason as usize].increment();
    }

    /// The metric name and value of each counter, in the order in which they are shown.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        let mut metrics = vec![
            ("downstream_connections", self.downstream_connections.get()),
            ("malformed_requests", self.malformed_requests.get()),
            ("accepts_failed", self.accepts_failed.get()),
        ];
        let closed = CloseReason::ALL.iter().map(|&reason| (reason.metric_name(), self.closed(reason)));
        metrics.extend(closed);
        metrics
    }

    /// The number of connections that were closed for this reason.
    pub fn closed(&self, reason: CloseReason) -> u64 {
        self.closed[reason as usize].get()
    }
}
