//! A measured wait that loses weight over time.

use crate::interface::Micros;

/// The weight of a measured wait halves in this time, in microseconds.
const WAIT_HALF_LIFE: f64 = 2_000_000.0;

/// How long jobs of one class have waited for their start; the measurement loses weight over time.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayedWait {
    /// In microseconds.
    wait: f64,
    measured_at: Micros,
}

impl DecayedWait {
    /// Returns the present weight of the measurement, from 1 down to 0.
    fn weight(&self, now: Micros) -> f64 {
        (-((now - self.measured_at) as f64) / WAIT_HALF_LIFE).exp2()
    }

    /// Returns the present wait, which fades from the measured one to the expected one.
    pub(super) fn estimate_at(&self, now: Micros, expected: f64) -> f64 {
        expected + (self.wait - expected) * self.weight(now)
    }

    /// Records a wait, in microseconds, and averages it with the earlier ones.
    pub(super) fn record(&mut self, now: Micros, waited: f64) {
        let weight = self.weight(now);
        self.wait = (self.wait * weight + waited) / (1.0 + weight);
        self.measured_at = now;
    }

    /// Replaces the measurement.
    pub(super) fn set(&mut self, now: Micros, wait: f64) {
        *self = DecayedWait { wait, measured_at: now };
    }
}
