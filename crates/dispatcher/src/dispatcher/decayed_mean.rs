//! Mean in which older observations have less weight.

/// Number of observations after which an older one has lost two thirds of its weight.
pub(super) const HISTORY_OBSERVATIONS: f64 = 20.0;
/// Number of observations that a prior counts for, so that one unusual job does not determine an estimate.
pub(super) const PRIOR_OBSERVATIONS: f64 = 2.0;

/// Decayed sum and decayed number of observations.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayedMean {
    sum: f64,
    observations: f64,
}

impl DecayedMean {
    /// Adds an observation; all earlier ones lose 1/`history` of their weight.
    pub(super) fn add(&mut self, value: f64, history: f64) {
        let retained = 1.0 - 1.0 / history;
        self.sum = self.sum * retained + value;
        self.observations = self.observations * retained + 1.0;
    }

    /// Returns the mean, with `prior` counted as [`PRIOR_OBSERVATIONS`] more observations.
    pub(super) fn mean(&self, prior: f64) -> f64 {
        (self.sum + prior * PRIOR_OBSERVATIONS) / (self.observations + PRIOR_OBSERVATIONS)
    }

    /// Combines the observations of several means.
    pub(super) fn combined(means: &[DecayedMean]) -> DecayedMean {
        let mut combined = DecayedMean::default();
        for mean in means {
            combined.sum += mean.sum;
            combined.observations += mean.observations;
        }
        combined
    }
}
