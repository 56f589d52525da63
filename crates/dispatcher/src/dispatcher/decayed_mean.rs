//! A mean in which older observations weigh less.

/// Observations after which an older one has lost two thirds of its weight: estimates must follow the load.
pub(super) const HISTORY_OBSERVATIONS: f64 = 20.0;
/// How many observations a prior counts for, so that one odd job does not decide an estimate.
pub(super) const PRIOR_OBSERVATIONS: f64 = 2.0;

/// A decayed sum of observations and their decayed number.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayedMean {
    sum: f64,
    observations: f64,
}

impl DecayedMean {
    /// Adds one observation; all before it lose 1/`history` of their weight.
    pub(super) fn add(&mut self, value: f64, history: f64) {
        let retained = 1.0 - 1.0 / history;
        self.sum = self.sum * retained + value;
        self.observations = self.observations * retained + 1.0;
    }

    /// The mean, where `prior` stands for [`PRIOR_OBSERVATIONS`] more observations.
    pub(super) fn mean(&self, prior: f64) -> f64 {
        (self.sum + prior * PRIOR_OBSERVATIONS) / (self.observations + PRIOR_OBSERVATIONS)
    }

    /// The observations of several means taken together.
    pub(super) fn combined(means: &[DecayedMean]) -> DecayedMean {
        let mut combined = DecayedMean::default();
        for mean in means {
            combined.sum += mean.sum;
            combined.observations += mean.observations;
        }
        combined
    }
}
