//! What a dispatcher has learned about a kind of machine from all workers of that kind.

use crate::dispatcher::decayed_mean::{DecayedMean, HISTORY_OBSERVATIONS};

/// The number of starts over which the expected wait is averaged.
const WAIT_HISTORY_STARTS: f64 = 20.0;
/// The number of classes with an expected wait of their own; the last one is shared by all further classes.
const WAIT_CLASSES: usize = 4;
/// Fewer free slots than this count as none.
const MIN_FREE_SLOTS: f64 = 0.5;

/// Statistics of one kind of machine.
#[derive(Clone, Default)]
pub(super) struct MachineKind {
    /// The capacity observed outside slow start.
    pub(super) capacity: DecayedMean,
    /// The most slots that a worker of this kind has been seen to use.
    slots: f64,
    /// The largest weight of a worker of this kind, where weights include the load; otherwise 0.
    largest_weight: f64,
    /// The share of the slots that other dispatchers leave to this one, according to load reports.
    available_share: DecayedMean,
    /// By class: how long jobs usually wait for their start, in microseconds.
    expected_wait: [f64; WAIT_CLASSES],
}

impl MachineKind {
    /// Records the listed weight of a worker.
    pub(super) fn record_weight(&mut self, weight: f64) {
        self.largest_weight = self.largest_weight.max(weight);
    }

    /// Returns the largest weight recorded; 0 if there is none.
    pub(super) fn largest_weight(&self) -> f64 {
        self.largest_weight
    }

    /// Returns the number of slots of a worker, at least 1.
    pub(super) fn slots(&self) -> f64 {
        self.slots.max(1.0)
    }

    /// Records that a worker runs jobs in this number of slots.
    pub(super) fn record_running(&mut self, slots: f64) {
        self.slots = self.slots.max(slots);
    }

    /// Records a load report: the free slots of a worker, of which this dispatcher uses `used` more. Where
    /// none is free, this dispatcher is left its fair share.
    pub(super) fn record_free_slots(&mut self, free: f64, used: f64, fair_share: f64) {
        self.slots = self.slots.max(free.round()).max(1.0);
        let available =
            if free < MIN_FREE_SLOTS { fair_share } else { ((free + used) / self.slots).min(1.0) };
        self.available_share.add(available, HISTORY_OBSERVATIONS / 2.0);
    }

    /// Returns the share of the slots that this dispatcher can use; the fair share before any load report.
    pub(super) fn available_share(&self, fair_share: f64) -> f64 {
        self.available_share.mean(fair_share)
    }

    /// Returns how long a job of this class usually waits for its start, in microseconds.
    pub(super) fn expected_wait(&self, class: usize) -> f64 {
        self.expected_wait[class.min(WAIT_CLASSES - 1)]
    }

    /// Records how long a job waited for its start, in microseconds.
    pub(super) fn record_wait(&mut self, class: usize, waited: f64) {
        let expected = &mut self.expected_wait[class.min(WAIT_CLASSES - 1)];
        *expected += (waited - *expected) / WAIT_HISTORY_STARTS;
    }
}
