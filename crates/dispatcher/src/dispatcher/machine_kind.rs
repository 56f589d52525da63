//! Statistics of a worker kind, that is, a machine type, from all workers of that kind.

use crate::dispatcher::decayed_mean::{DecayedMean, HISTORY_OBSERVATIONS};

/// Number of starts over which the usual wait is averaged.
const WAIT_HISTORY_STARTS: f64 = 20.0;
/// Number of averages of the wait for a start, one for each class; classes with a higher index use the last.
const WAIT_CLASSES: usize = 4;
/// Fewer free slots than this count as none.
const MIN_FREE_SLOTS: f64 = 0.5;

/// Statistics of one worker kind.
#[derive(Clone, Default)]
pub(super) struct MachineKind {
    /// Capacity observed outside slow start.
    pub(super) capacity: DecayedMean,
    /// Largest number of slots that a worker of this kind was seen to have.
    slots: f64,
    /// Largest listed weight of a worker of this kind, if weights include the load; otherwise 0.
    largest_weight: f64,
    /// Share of the slots that other dispatchers leave to this one, according to load reports.
    available_share: DecayedMean,
    /// By class: usual wait of a job for its start, in microseconds.
    expected_wait: [f64; WAIT_CLASSES],
}

impl MachineKind {
    /// Records the listed weight of a worker.
    pub(super) fn record_weight(&mut self, weight: f64) {
        self.largest_weight = self.largest_weight.max(weight);
    }

    /// Returns the largest recorded weight; 0 if there is none.
    pub(super) fn largest_weight(&self) -> f64 {
        self.largest_weight
    }

    /// Returns the number of slots of a worker, at least 1.
    pub(super) fn slots(&self) -> f64 {
        self.slots.max(1.0)
    }

    /// Records that jobs occupy this number of slots of one worker at the same time.
    pub(super) fn record_running(&mut self, slots: f64) {
        self.slots = self.slots.max(slots);
    }

    /// Records the free slots in a load report. The jobs of this dispatcher occupy `used` further slots. If
    /// no slot is free, this dispatcher's share is assumed to be its fair share.
    pub(super) fn record_free_slots(&mut self, free: f64, used: f64, fair_share: f64) {
        self.slots = self.slots.max(free.round()).max(1.0);
        let available =
            if free < MIN_FREE_SLOTS { fair_share } else { ((free + used) / self.slots).min(1.0) };
        self.available_share.add(available, HISTORY_OBSERVATIONS / 2.0);
    }

    /// Returns the share of the slots that this dispatcher can use; its fair share before any load report.
    pub(super) fn available_share(&self, fair_share: f64) -> f64 {
        self.available_share.mean(fair_share)
    }

    /// Returns the usual wait of a job of this class for its start, in microseconds.
    pub(super) fn expected_wait(&self, class: usize) -> f64 {
        self.expected_wait[class.min(WAIT_CLASSES - 1)]
    }

    /// Records the wait of a job for its start, in microseconds.
    pub(super) fn record_wait(&mut self, class: usize, waited: f64) {
        let expected = &mut self.expected_wait[class.min(WAIT_CLASSES - 1)];
        *expected += (waited - *expected) / WAIT_HISTORY_STARTS;
    }
}
