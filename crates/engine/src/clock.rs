//! The clock of dispatcher events: Unix time in microseconds when the node starts, monotonic from then on.
//!
//! Discovery reports the start times of workers in Unix time, so events use it too. Setting the wall clock
//! while the node runs must not shift any deadline, so the wall clock is read only once.

use sorrelhaven_dispatcher::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Converts a number of microseconds to a [`Duration`]; a negative number becomes zero.
pub fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}

/// Converts between dispatcher time (microseconds) and the [`Instant`]s of timers and sockets.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_at_start: Micros,
}

impl Clock {
    /// Creates a clock that starts now, at the wall clock's time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start: unix.as_micros() as Micros }
    }

    /// The current time in microseconds.
    pub fn now(&self) -> Micros {
        self.unix_at_start + self.start.elapsed().as_micros() as Micros
    }

    /// Converts an instant to this clock's time; one before the clock's start becomes the start.
    pub fn micros(&self, instant: Instant) -> Micros {
        self.unix_at_start + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Converts a time of this clock to an instant; one before the clock's start becomes the start.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + to_duration(time.saturating_sub(self.unix_at_start))
    }
}
