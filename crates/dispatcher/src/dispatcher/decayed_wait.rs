//! Measured wait that decays over time.

use crate::interface::Micros;

/// Time in which the weight of a measured wait halves, in microseconds.
const WAIT_HALF_LIFE: f64 = 2_000_000.0;

/// Decayed average of the time that jobs of one class have waited for their start.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayedWait {
    /// In microseconds.
    wait: f64,
    measured_at: Micros,
}

impl DecayedWait {
    /// Returns the weight of the average at `now`, which decays from 1 to 0.
    fn weight(&self, now: Micros) -> f64 {
        (-((now - self.measured_at) as f64) / WAIT_HALF_LIFE).exp2()
    }

    /// Returns the estimated wait at `now`, which moves from the average to `expected` as the average loses
    /// weight.
    pub(super) fn estimate_at(&self, now: Micros, expected: f64) -> f64 {
        expected + (self.wait - expected) * self.weight(now)
    }

    /// Adds a measured wait, in microseconds, to the average.
    pub(super) fn record(&mut self, now: Micros, waited: f64) {
        let weight = self.weight(now);
        self.wait = (self.wait * weight + waited) / (1.0 + weight);
        self.measured_at = now;
    }

    /// Replaces the average by a single wait, in microseconds.
    pub(super) fn set(&mut self, now: Micros, wait: f64) {
        *self = DecayedWait { wait, measured_at: now };
    }
}
