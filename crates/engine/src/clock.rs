//! The module's clock: Unix time in microseconds as it was at the start, and steady from there.
//!
//! The host group dates births in Unix time, so the module must count in it; but a clock that is set while
//! the node runs must move no deadline.

use sorrelhaven_dispatcher::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A length of time as the sockets' timers take it; one below 0 is none.
pub fn length(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}

/// One clock for deadlines on sockets and for the module.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// A point in time of the sockets' timers on this clock.
    pub fn micros(&self, at: Instant) -> Micros {
        self.unix + at.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The same point in time for the sockets' timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + length(at.saturating_sub(self.unix))
    }
}
