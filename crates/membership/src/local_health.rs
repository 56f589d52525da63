//! Local health, as in the Lifeguard extension of SWIM: after a pause of its own process a member's
//! suspicions are unreliable, so it gives suspects more time to refute them.

use crate::time::Micros;

/// The score right after a pause: suspects get this many additional suspicion timeouts to refute.
const MAX_SCORE: u32 = 4;

/// This member's local health score: 0 if healthy, raised by a pause of its process, and decreased by one
/// each probe period.
pub(crate) struct LocalHealth {
    score: u32,
    next_decrease_at: Micros,
}

impl LocalHealth {
    pub(crate) fn new(now: Micros) -> LocalHealth {
        LocalHealth { score: 0, next_decrease_at: now }
    }

    /// Records that this member's process was paused until `now`.
    pub(crate) fn record_pause(&mut self, now: Micros, probe_period: Micros) {
        self.score = MAX_SCORE;
        self.next_decrease_at = now + probe_period;
    }

    /// Decreases the score by one for each probe period that has passed.
    pub(crate) fn recover(&mut self, now: Micros, probe_period: Micros) {
        while self.score > 0 && now >= self.next_decrease_at {
            self.score -= 1;
            self.next_decrease_at += probe_period;
        }
    }

    /// The factor by which to multiply the timeout of a suspicion that starts now; 1 if healthy.
    pub(crate) fn suspicion_timeout_multiplier(&self) -> Micros {
        Micros::from(1 + self.score)
    }
}
