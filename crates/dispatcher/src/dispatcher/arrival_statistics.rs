//! Decayed statistics of the requests that arrive: their rate and their sizes.

use crate::interface::Micros;

/// The request rate and the mean size follow over about this many requests.
const HISTORY_REQUESTS: f64 = 50.0;
/// The share of jobs that are smaller than the largest lane's size: one outlier must not empty the top lanes.
const LANE_SIZE_QUANTILE: f64 = 0.9;
/// How far the largest lane's size moves with one arrival, in mean sizes.
const LANE_SIZE_STEP: f64 = 0.2;
/// The longest time between two arrivals that is counted.
const MAX_GAP: Micros = 1_000_000;

/// What has arrived at this dispatcher. Sizes are running times on a standard core, in microseconds.
#[derive(Default)]
pub(super) struct ArrivalStatistics {
    /// Arrivals counted, up to [`HISTORY_REQUESTS`].
    counted: f64,
    last_arrival: Micros,
    mean_gap: f64,
    mean_size: f64,
    largest_lane_size: f64,
    /// For each class, the longest time that a client has been seen to wait for one answer.
    longest_patience: Vec<Micros>,
}

impl ArrivalStatistics {
    /// Statistics without any arrival, for so many classes.
    pub(super) fn new(classes: usize) -> Self {
        ArrivalStatistics { longest_patience: vec![0; classes], ..ArrivalStatistics::default() }
    }

    /// Counts a request of this size.
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

    /// Notes how long the client of a request of this class waits for it; the longest so far of its class.
    pub(super) fn record_patience(&mut self, class: usize, patience: Micros) -> Micros {
        let longest = &mut self.longest_patience[class];
        *longest = (*longest).max(patience);
        *longest
    }

    /// The mean time between two arrivals, in microseconds; 0 before the first.
    pub(super) fn mean_gap(&self) -> f64 {
        self.mean_gap
    }

    /// The mean size of a job.
    pub(super) fn mean_size(&self) -> f64 {
        self.mean_size
    }

    /// The paper's S_max: the size that bounds the lanes.
    pub(super) fn largest_lane_size(&self) -> f64 {
        self.largest_lane_size
    }
}
