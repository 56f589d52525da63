//! Statistics of the arriving requests: rate, job sizes and client timeouts.

use crate::interface::Micros;

/// Number of requests over which rate and mean size are averaged.
const HISTORY_REQUESTS: f64 = 50.0;
/// Quantile of the job sizes at which the size intervals end (S_max). With the largest size instead, one
/// outlier would leave the intervals of the fastest workers empty.
const SIZE_QUANTILE: f64 = 0.9;
/// Step of the estimated quantile with one arrival, as a multiple of the mean size. A larger job raises the
/// estimate by [`SIZE_QUANTILE`] times the step, another one lowers it by the remaining fraction of the step.
const SIZE_QUANTILE_STEP: f64 = 0.2;
/// Upper bound of the time between two arrivals, in microseconds; a longer one is reduced to it.
const MAX_GAP: Micros = 1_000_000;

/// Statistics of the requests that have arrived at this dispatcher. Sizes are running times on a standard
/// core, in microseconds.
#[derive(Default)]
pub(super) struct ArrivalStatistics {
    /// Number of arrivals, up to [`HISTORY_REQUESTS`].
    sample_count: f64,
    last_arrival: Micros,
    mean_gap: f64,
    mean_size: f64,
    size_quantile: f64,
    /// By class: longest time between the arrival of a request and its deadline.
    longest_client_timeout: Vec<Micros>,
}

impl ArrivalStatistics {
    /// Creates statistics without arrivals for this number of classes.
    pub(super) fn new(classes: usize) -> Self {
        ArrivalStatistics { longest_client_timeout: vec![0; classes], ..ArrivalStatistics::default() }
    }

    /// Records the arrival of a request of this size.
    pub(super) fn record(&mut self, now: Micros, size: f64) {
        let gap = (now - self.last_arrival).clamp(1, MAX_GAP) as f64;
        self.last_arrival = now;
        self.sample_count = (self.sample_count + 1.0).min(HISTORY_REQUESTS);
        self.mean_gap += (gap - self.mean_gap) / self.sample_count;
        self.mean_size += (size - self.mean_size) / self.sample_count;
        let direction = if size > self.size_quantile { SIZE_QUANTILE } else { SIZE_QUANTILE - 1.0 };
        let step = self.mean_size * direction;
        self.size_quantile = (self.size_quantile + step * SIZE_QUANTILE_STEP).max(self.mean_size);
    }

    /// Records how long the client of a request of this class waits, and returns the longest such time so
    /// far.
    pub(super) fn record_client_timeout(&mut self, class: usize, client_timeout: Micros) -> Micros {
        let longest = &mut self.longest_client_timeout[class];
        *longest = (*longest).max(client_timeout);
        *longest
    }

    /// Returns the mean time between two arrivals, in microseconds; 0 before the first.
    pub(super) fn mean_gap(&self) -> f64 {
        self.mean_gap
    }

    /// Returns the mean job size.
    pub(super) fn mean_size(&self) -> f64 {
        self.mean_size
    }

    /// Returns the paper's S_max, at which the size intervals end: the estimated [`SIZE_QUANTILE`] of the job
    /// sizes, but at least their mean.
    pub(super) fn size_quantile(&self) -> f64 {
        self.size_quantile
    }
}
