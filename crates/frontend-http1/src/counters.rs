//! Counters of the front end.

use sorrelhaven_engine::Counter;

/// What the front end counts, beside the engine's counters.
#[derive(Default)]
pub struct Counters {
    /// Downstream connections accepted.
    pub downstream_connections: Counter,
    /// Requests rejected by the front end because they violate the protocol.
    pub malformed_requests: Counter,
    /// Connections without a request in progress that were closed for lack of file descriptors.
    pub evicted_connections: Counter,
    /// Failed `accept` calls, and accepted connections that could not be registered with the event loop.
    pub accepts_failed: Counter,
}

impl Counters {
    /// All counters with their metric names, in display order.
    pub fn metrics(&self) -> [(&'static str, u64); 4] {
        [
            ("downstream_connections", self.downstream_connections.get()),
            ("malformed_requests", self.malformed_requests.get()),
            ("evicted_connections", self.evicted_connections.get()),
            ("accepts_failed", self.accepts_failed.get()),
        ]
    }
}
