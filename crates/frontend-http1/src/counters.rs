//! The counters of the front end.

use sorrelhaven_engine::Counter;

/// The events that the front end counts itself; what becomes of jobs is in the engine's counters.
#[derive(Default)]
pub struct Counters {
    /// Downstream connections accepted.
    pub downstream_connections: Counter,
    /// Requests to which the front end responded with a 4xx status.
    pub malformed_requests: Counter,
    /// Connections without a request in progress that were closed to release their file descriptors.
    pub evicted_connections: Counter,
    /// Failed `accept` calls, and accepted connections that could not be registered with the event loop.
    pub accepts_failed: Counter,
}

impl Counters {
    /// The metric name and value of each counter, in the order in which they are shown.
    pub fn metrics(&self) -> [(&'static str, u64); 4] {
        [
            ("downstream_connections", self.downstream_connections.get()),
            ("malformed_requests", self.malformed_requests.get()),
            ("evicted_connections", self.evicted_connections.get()),
            ("accepts_failed", self.accepts_failed.get()),
        ]
    }
}
