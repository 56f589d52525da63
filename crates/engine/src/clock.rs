//! The clock of the dispatcher's events: Unix time in microseconds at the start, and monotonic from there.
//!
//! Discovery dates the starts of workers in Unix time, so events are dated in it; but a wall clock that is
//! set while the node runs must move no deadline.

use sorrelhaven_dispatcher::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Converts a span in microseconds to a [`Duration`]; a negative one counts as zero.
pub fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}

/// Converts between the dispatcher's time and the [`Instant`]s of timers and sockets.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_at_start: Micros,
}

impl Clock {
    /// A clock that starts now, at the wall clock's time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start: unix.as_micros() as Micros }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.unix_at_start + self.start.elapsed().as_micros() as Micros
    }

    /// Converts an instant to this clock's time; one before the start counts as the start.
    pub fn micros(&self, instant: Instant) -> Micros {
        self.unix_at_start + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Converts a time of this clock to an instant; one before the start counts as the start.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + to_duration(time.saturating_sub(self.unix_at_start))
    }
}
