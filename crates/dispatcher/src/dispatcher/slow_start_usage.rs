//! Work that one dispatcher has sent to a worker in slow start, and its part of the worker's budget.

use crate::interface::Micros;

/// Number of time slots in an overload window. In each of them, a single job may be sent or not.
const TIME_SLOTS_PER_WINDOW: f64 = 4.0;
/// Lower bound of the work sent per microsecond, which is used as a divisor.
const MIN_RATE: f64 = 1e-9;

/// What one dispatcher may send to a worker in slow start. Work is running time on a standard core, in
/// microseconds.
#[derive(Clone, Copy)]
pub(super) struct SlowStartBudget {
    /// Work that may be sent per microsecond.
    pub(super) rate: f64,
    /// Overload window, in microseconds.
    pub(super) window: f64,
    /// Upper bound of a job that may be sent while no other work counts.
    pub(super) max_single_job: f64,
    /// Whether single jobs are sent in random time slots only, see
    /// [`SlowStartBudget::time_slot_probability`].
    pub(super) is_time_slotted: bool,
}

impl SlowStartBudget {
    /// Returns the work that may be sent within a window.
    pub(super) fn per_window(&self) -> f64 {
        self.rate * self.window
    }

    /// Returns the probability that a job which exceeds the share of a window may be sent in a time slot.
    /// Most dispatchers have sent no such job for a while: if all of them could send one at any time, they
    /// would do so together when the traffic rises.
    pub(super) fn time_slot_probability(&self, work: f64) -> f64 {
        let jobs_per_window = self.per_window() / work.max(MIN_RATE);
        if !self.is_time_slotted || jobs_per_window >= 1.0 {
            return 1.0;
        }
        // A job counts for one window. The mean wait for a time slot after it makes up the rest of the
        // time between two jobs.
        (jobs_per_window / (1.0 - jobs_per_window) / TIME_SLOTS_PER_WINDOW).min(1.0)
    }

    /// Returns the number of the time slot at `now`.
    pub(super) fn time_slot_at(&self, now: Micros) -> u64 {
        (now as f64 * TIME_SLOTS_PER_WINDOW / self.window.max(1.0)) as u64
    }

    /// Returns the time for which sent work counts: the window or, if jobs do not wait for time slots and the
    /// work exceeds what may be sent in a window, the time in which as much may be sent.
    fn counted_time(&self, work: f64) -> f64 {
        if self.is_time_slotted { self.window } else { self.window.max(work / self.rate.max(MIN_RATE)) }
    }
}

/// Work sent at one time.
#[derive(Clone, Copy)]
struct SentWork {
    work: f64,
    sent_at: Micros,
}

impl SentWork {
    fn counts_at(&self, now: Micros, budget: &SlowStartBudget) -> bool {
        ((now - self.sent_at) as f64) < budget.counted_time(self.work)
    }
}

/// Work that this dispatcher has sent to a worker in slow start and that still counts against its budget.
#[derive(Default)]
pub(super) struct SlowStartUsage {
    sent: Vec<SentWork>,
    /// Time from which the worker is used.
    begins_at: Micros,
    /// The same, if single jobs do not wait for time slots.
    begins_without_time_slots_at: Micros,
}

impl SlowStartUsage {
    /// Forgets all work. The worker is used after `fraction` of the first time slot, or of the first
    /// overload window if single jobs do not wait for time slots.
    pub(super) fn reset(&mut self, now: Micros, fraction: f64, window: f64) {
        let after = |time: f64| now + (fraction * time) as Micros;
        *self = SlowStartUsage {
            sent: Vec::new(),
            begins_at: after(window / TIME_SLOTS_PER_WINDOW),
            begins_without_time_slots_at: after(window),
        };
    }

    /// Returns whether the worker is used at `now`.
    pub(super) fn has_begun(&self, now: Micros, budget: &SlowStartBudget) -> bool {
        now >= if budget.is_time_slotted { self.begins_at } else { self.begins_without_time_slots_at }
    }

    /// Returns the work that counts at `now`.
    pub(super) fn used_at(&self, now: Micros, budget: &SlowStartBudget) -> f64 {
        self.sent.iter().filter(|sent| sent.counts_at(now, budget)).map(|sent| sent.work).sum()
    }

    /// Adds work that is sent at `now`, and forgets work that counts no longer.
    pub(super) fn record(&mut self, now: Micros, work: f64, budget: &SlowStartBudget) {
        self.sent.retain(|sent| sent.counts_at(now, budget));
        self.sent.push(SentWork { work, sent_at: now });
    }
}
