//! Computes when a connection is closed to make room for a new one.

use std::time::{Duration, Instant};

/// The most admin connections that are open at a time. Each uses one file descriptor.
pub const MAX_CONNECTIONS: usize = 16;
/// The time for which a connection stays open at least, so that its client can send a command. Guards against
/// clients that send nothing: even if hundreds of them connect at once, [`MAX_CONNECTIONS`] of their
/// connections are evicted in this time, so the next client waits for less than a second.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(50);

/// When the oldest connection is to be closed to make room for a new one, which may be in the past; `None`
/// while fewer than [`MAX_CONNECTIONS`] are open. `accepted_at` is when each open connection was accepted,
/// the oldest first.
pub fn next_eviction_at(mut accepted_at: impl ExactSizeIterator<Item = Instant>) -> Option<Instant> {
    if accepted_at.len() < MAX_CONNECTIONS {
        return None;
    }
    accepted_at.next().map(|oldest| oldest + MIN_CONNECTION_TIME)
}
