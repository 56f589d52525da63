//! Decayed statistics of the arriving requests: rate, sizes, and how long clients wait.

use crate::interface::Micros;

/// The number of requests over which rate and mean size are averaged.
const HISTORY_REQUESTS: f64 = 50.0;
/// The quantile of job sizes that bounds the lanes: one outlier must not empty the top lanes.
const SIZE_QUANTILE: f64 = 0.9;
/// How far the quantile moves with one arrival, in mean sizes.
const SIZE_QUANTILE_STEP: f64 = 0.2;
/// Longer gaps between two arrivals count as this.
const MAX_GAP: Micros = 1_000_000;

/// Statistics of what has arrived at this dispatcher. Sizes are running times on a standard core, in
/// microseconds.
#[derive(Default)]
pub(super) struct ArrivalStatistics {
    /// Number of arrivals, up to [`HISTORY_REQUESTS`].
    sample_count: f64,
    last_arrival: Micros,
    mean_gap: f64,
    mean_size: f64,
    size_quantile: f64,
    /// By class: the longest time that a client has been willing to wait for one answer.
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

    /// Records how long a client waits for a request of this class, and returns the longest such time so
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

    /// Returns the mean size of a job.
    pub(super) fn mean_size(&self) -> f64 {
        self.mean_size
    }

    /// Returns the paper's S_max: the size that bounds the lanes.
    pub(super) fn size_quantile(&self) -> f64 {
        self.size_quantile
    }
}
