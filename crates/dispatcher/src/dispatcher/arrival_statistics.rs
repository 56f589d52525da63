//! Decayed statistics of the arriving requests: rate, sizes, and how long clients wait.

use crate::interface::Micros;

/// The number of requests over which rate and mean size are averaged.
const HISTORY_REQUESTS: f64 = 50.0;
/// The quantile of job sizes that bounds the lanes: one outlier must not empty the top lanes.
const LANE_SIZE_QUANTILE: f64 = 0.9;
/// How far the quantile moves with one arrival, in mean sizes.
const LANE_SIZE_STEP: f64 = 0.2;
/// Longer gaps between two arrivals count as this.
const MAX_GAP: Micros = 1_000_000;

/// Statistics of what has arrived at this dispatcher. Sizes are running times on a standard core, in
/// microseconds.
#[derive(Default)]
pub(super) struct ArrivalStatistics {
    /// Number of arrivals, up to [`HISTORY_REQUESTS`].
    counted: f64,
    last_arrival: Micros,
    mean_gap: f64,
    mean_size: f64,
    largest_lane_size: f64,
    /// By class: the longest time that a client has been willing to wait for one answer.
    longest_patience: Vec<Micros>,
}

impl ArrivalStatistics {
    /// Creates statistics without arrivals for this number of classes.
    pub(super) fn new(classes: usize) -> Self {
        ArrivalStatistics { longest_patience: vec![0; classes], ..ArrivalStatistics::default() }
    }

    /// Records the arrival of a request of this size.
    pub(super) fn record(&mut self, now: Micros, size: f64) {
        let gap = (now - self.last_arrival).clamp(1, MAX_GAP) as f64;
        self.last_arrival = now;
        self.counted = (self.counted + 1.0).min(HISTORY_REQUESTS);
        self.mean_gap += (gap - self.mean_gap) / self.counted;
        self.mean_size += (size - self.mean_size) / self.counted;
        let direction =
            if size > self.largest_lane_size { LANE_SIZE_QUANTILE } else { LANE_SIZE_QUANTILE - 1.0 };
        let step = self.mean_size * direction;
        self.largest_lane_size = (self.largest_lane_size + step * LANE_SIZE_STEP).max(self.mean_size);
    }

    /// Records how long a client waits for a request of this class, and returns the longest such time so
    /// far.
    pub(super) fn record_patience(&mut self, class: usize, patience: Micros) -> Micros {
        let longest = &mut self.longest_patience[class];
        *longest = (*longest).max(patience);
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
    pub(super) fn largest_lane_size(&self) -> f64 {
        self.largest_lane_size
    }
}
