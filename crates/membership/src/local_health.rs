//! How far this member may trust its own suspicions: not much after it was paused, as in the Lifeguard
//! extension of SWIM.

use crate::time::Micros;

/// The highest penalty: after a pause suspects get this many additional suspicion timeouts to refute.
const MAX_PENALTY: u32 = 4;

/// The penalty of this member for its own pauses, which decreases by one each probe period.
pub(crate) struct LocalHealth {
    penalty: u32,
    decrease_at: Micros,
}

impl LocalHealth {
    pub(crate) fn new(now: Micros) -> LocalHealth {
        LocalHealth { penalty: 0, decrease_at: now }
    }

    /// Records that this member was paused until now.
    pub(crate) fn record_pause(&mut self, now: Micros, probe_period: Micros) {
        self.penalty = MAX_PENALTY;
        self.decrease_at = now + probe_period;
    }

    /// Decreases the penalty as time passes.
    pub(crate) fn recover(&mut self, now: Micros, probe_period: Micros) {
        while self.penalty > 0 && now >= self.decrease_at {
            self.penalty -= 1;
            self.decrease_at += probe_period;
        }
    }

    /// The factor by which the suspicion timeout is longer now.
    pub(crate) fn suspicion_factor(&self) -> Micros {
        Micros::from(1 + self.penalty)
    }
}
