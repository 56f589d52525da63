//! Points in time and durations, in microseconds.

use std::time::Duration;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// Converts a duration. One that exceeds the range is capped at a quarter of it, so that sums don't overflow.
pub(crate) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX / 4)
}
