//! State of one worker.

use crate::dispatcher::attempt::{Attempt, AttemptId};
use crate::dispatcher::cached_keys::CachedKeys;
use crate::dispatcher::capacity::EstimatedCapacity;
use crate::dispatcher::decayed_wait::DecayedWait;
use crate::dispatcher::health::WorkerHealth;
use crate::dispatcher::slow_start_usage::SlowStartUsage;
use crate::interface::{Lifecycle, Micros, WorkerEntry};

/// A worker: its list entry, its outstanding attempts, and what its responses have shown.
#[derive(Default)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) capacity: EstimatedCapacity,
    pub(super) health: WorkerHealth,
    pub(super) slow_start_usage: SlowStartUsage,
    cached_keys: CachedKeys,
    outstanding: Vec<Attempt>,
    /// Measured waits by class.
    waits: Vec<DecayedWait>,
}

impl Worker {
    /// Applies an entry of the worker list. A later start time indicates a new process: the health and cached
    /// keys of the old one are cleared. Returns whether the process is new.
    pub(super) fn apply(&mut self, entry: WorkerEntry, classes: usize) -> bool {
        self.capacity.resize(classes);
        self.health.resize(classes);
        self.waits.resize(classes, DecayedWait::default());
        let is_new_process = entry.started_at > self.entry.started_at;
        if is_new_process {
            self.health.reset();
            self.cached_keys.clear();
        }
        self.entry = entry;
        is_new_process
    }

    /// Returns whether the worker accepts new work, according to the worker list.
    pub(super) fn is_ready(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Ready
    }

    /// Records an attempt that is sent to the worker: the affinity key of its job, and the number of slots of
    /// the worker.
    pub(super) fn record_send(&mut self, attempt: Attempt, key: u64, slots: f64) {
        self.outstanding.push(attempt);
        self.cached_keys.record_sent(key, slots);
    }

    /// Returns the attempts that have no outcome yet.
    pub(super) fn outstanding(&self) -> &[Attempt] {
        &self.outstanding
    }

    /// Returns whether the worker is expected to have the data of this affinity key.
    pub(super) fn has_key(&self, key: u64) -> bool {
        self.cached_keys.contains(key)
    }

    /// Returns the number of slots that all outstanding attempts occupy.
    pub(super) fn outstanding_slots(&self) -> f64 {
        self.outstanding.iter().map(|attempt| attempt.slots).sum()
    }

    /// Returns the number of slots that started attempts occupy.
    pub(super) fn running_slots(&self) -> f64 {
        self.outstanding
            .iter()
            .filter(|attempt| attempt.started_at.is_some())
            .map(|attempt| attempt.slots)
            .sum()
    }

    /// Returns the outstanding attempts without a start notice.
    pub(super) fn unstarted(&self) -> impl Iterator<Item = &Attempt> {
        self.outstanding.iter().filter(|attempt| attempt.started_at.is_none())
    }

    /// Returns the outstanding attempt with this id.
    pub(super) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.outstanding.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Removes and returns the outstanding attempt with this id.
    pub(super) fn take_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let index = self.outstanding.iter().position(|attempt| attempt.id == id)?;
        Some(self.outstanding.swap_remove(index))
    }

    /// Returns how long a job that is sent now would wait for its start, in microseconds: the measured wait,
    /// which decays to the expected one, or the wait so far of an attempt that has not started, whichever is
    /// longest.
    pub(super) fn current_wait(&self, class: usize, now: Micros, expected: f64) -> f64 {
        let measured = self.waits[class].estimate_at(now, expected);
        self.unstarted().map(|attempt| attempt.waited(now)).fold(measured, f64::max)
    }

    /// Adds a measured wait, in microseconds, to the decayed average of its class.
    pub(super) fn record_wait(&mut self, class: usize, now: Micros, waited: f64) {
        self.waits[class].record(now, waited);
    }

    /// Raises the wait of a class to at least `at_least`, in microseconds.
    pub(super) fn raise_wait_to(&mut self, class: usize, now: Micros, at_least: f64) {
        let wait = self.current_wait(class, now, 0.0).max(at_least);
        self.waits[class].set(now, wait);
    }
}
