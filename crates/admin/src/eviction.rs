//! Decides when a caller is disconnected to make room for the next one.

use std::time::{Duration, Instant};

/// Callers that are connected at a time, each with a descriptor of its own.
pub const MAX_CONNECTIONS: usize = 16;
/// The time that each caller has at least, to send its command. Guards against callers that send nothing:
/// where hundreds arrive at once, [`MAX_CONNECTIONS`] of them are evicted in this time, so the next one waits for
/// less than a second.
const MIN_CALLER_TIME: Duration = Duration::from_millis(50);

/// When the oldest caller is disconnected to make room for one that waits, which may be in the past; `None`
/// while there is room. `accepted_at` holds when each connected caller was accepted, the oldest first.
pub fn next_eviction_at(mut accepted_at: impl ExactSizeIterator<Item = Instant>) -> Option<Instant> {
    if accepted_at.len() < MAX_CONNECTIONS {
        return None;
    }
    accepted_at.next().map(|oldest| oldest + MIN_CALLER_TIME)
}
