//! Which caller gives way when another comes.

use std::time::{Duration, Instant};

/// Callers that are held at once, each with a descriptor of its own.
pub const PLACES: usize = 16;
/// So long a caller is left alone, for its line to come. Hundreds that come at once and say nothing then hold up the
/// next one for less than a second: 16 of them go every 50 ms.
const LEFT_ALONE: Duration = Duration::from_millis(50);

/// When the oldest caller gives its place to one that waits: at once where that is past; `None` while places are free.
/// `came` says when each caller that is held came, the oldest first.
pub fn gives_way(came: impl ExactSizeIterator<Item = Instant>) -> Option<Instant> {
    let full = came.len() >= PLACES;
    came.into_iter().next().filter(|_| full).map(|oldest| oldest + LEFT_ALONE)
}
