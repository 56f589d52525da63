//! What a dispatcher has learned of a kind of machine, from all workers of that kind.

use crate::dispatcher::decayed_mean::{DecayedMean, HISTORY_OBSERVATIONS};

/// Starts over which the expected wait of a kind is averaged.
const WAIT_HISTORY_STARTS: f64 = 20.0;
/// Classes with an expected wait of their own; the last one stands for all that follow.
const WAIT_CLASSES: usize = 4;
/// Free slots under this count as none.
const MIN_FREE_SLOTS: f64 = 0.5;

/// Statistics of one kind of machine.
#[derive(Clone, Default)]
pub(super) struct MachineKind {
    /// The capacity observed at its workers outside slow start.
    pub(super) capacity: DecayedMean,
    /// The slots that one of it has been seen to use.
    slots: f64,
    /// The largest weight of one of it, where weights fall with the load; else 0.
    largest_weight: f64,
    /// The share of its slots that other dispatchers leave to this one, as load reports say.
    available_share: DecayedMean,
    /// How long jobs of a class usually wait for their start, in microseconds.
    expected_wait: [f64; WAIT_CLASSES],
}

impl MachineKind {
    /// Takes note of the listed weight of one of its workers.
    pub(super) fn record_weight(&mut self, weight: f64) {
        self.largest_weight = self.largest_weight.max(weight);
    }

    /// The largest weight recorded; 0 where none is.
    pub(super) fn largest_weight(&self) -> f64 {
        self.largest_weight
    }

    /// The slots of one of its workers, at least 1.
    pub(super) fn slots(&self) -> f64 {
        self.slots.max(1.0)
    }

    /// Takes note that a worker runs jobs in so many slots.
    pub(super) fn record_running(&mut self, slots: f64) {
        self.slots = self.slots.max(slots);
    }

    /// Takes a load report in: a worker has free slots beside those that this dispatcher uses. Where none is
    /// free, a fair share is left to this dispatcher.
    pub(super) fn record_free_slots(&mut self, free: f64, used: f64, fair_share: f64) {
        self.slots = self.slots.max(free.round()).max(1.0);
        let available =
            if free < MIN_FREE_SLOTS { fair_share } else { ((free + used) / self.slots).min(1.0) };
        self.available_share.add(available, HISTORY_OBSERVATIONS / 2.0);
    }

    /// The share of its slots that this dispatcher can use, a fair one before any load report.
    pub(super) fn available_share(&self, fair_share: f64) -> f64 {
        self.available_share.mean(fair_share)
    }

    /// How long a job of this class usually waits for its start, in microseconds.
    pub(super) fn expected_wait(&self, class: usize) -> f64 {
        self.expected_wait[class.min(WAIT_CLASSES - 1)]
    }

    /// Takes note of how long a job waited for its start, in microseconds.
    pub(super) fn record_wait(&mut self, class: usize, waited: f64) {
        let expected = &mut self.expected_wait[class.min(WAIT_CLASSES - 1)];
        *expected += (waited - *expected) / WAIT_HISTORY_STARTS;
    }
}
