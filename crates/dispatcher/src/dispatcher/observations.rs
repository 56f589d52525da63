//! Updates of a worker's state from start notices, ends of attempts and load reports.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::attempt::{Attempt, AttemptId};
use crate::dispatcher::worker_evidence::WorkerEvidence;
use crate::interface::{Idempotency, Micros, Outcome, WorkerId};

/// Upper bound of the capacity derived from one job, as a multiple of the current estimate.
const MAX_CAPACITY_RATIO: f64 = 4.0;
/// Load reports with more free slots than this are ignored.
const MAX_REPORTED_SLOTS: f64 = 1024.0;

impl Dispatcher {
    /// Handles the notice that a worker has started a job.
    pub(super) fn on_attempt_started(&mut self, now: Micros, id: AttemptId) {
        let worker = self.workers.get_mut(id.worker);
        worker.health.record_activity(now);
        let Some(attempt) = worker.attempt_mut(id) else { return };
        if attempt.started_at.is_none() {
            attempt.started_at = Some(now);
            let (class, waited) = (attempt.class, attempt.waited(now));
            self.record_wait(now, id.worker, class, waited);
        }
        let running = self.workers.get(id.worker).running_slots();
        self.workers.kind_mut(id.worker).record_running(running);
    }

    /// Handles a load report, which contains the number of free slots at some earlier time.
    pub(super) fn on_load_report(&mut self, id: WorkerId, report: &[f64]) {
        let field = self.settings.report_fields.free_slots;
        let Some(&free) = field.and_then(|index| report.get(index)) else { return };
        if !(0.0..=MAX_REPORTED_SLOTS).contains(&free) {
            return;
        }
        let fair_share = self.context().fair_share();
        let used = self.workers.get_mut(id).outstanding_slots();
        self.workers.kind_mut(id).record_free_slots(free, used, fair_share);
    }

    /// Records what the end of an attempt shows about its worker.
    pub(super) fn record_attempt_end(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        let id = attempt.id.worker;
        match WorkerEvidence::from_outcome(self.workers.get(id), attempt, outcome, now) {
            WorkerEvidence::Inconclusive => {}
            WorkerEvidence::Served => self.record_served(now, attempt, elapsed),
            WorkerEvidence::Queueing => {
                self.workers.get_mut(id).raise_wait_to(attempt.class, now, attempt.waited(now));
            }
            WorkerEvidence::QueueFull => self.record_rejection(now, attempt),
            WorkerEvidence::Failed => self.record_failure(now, attempt, outcome),
        }
    }

    /// Updates the worker's capacity after a served job. In slow start, a job that took longer than the
    /// reduced capacity explains lowers the estimate, but a faster one does not raise it.
    fn record_served(&mut self, now: Micros, attempt: &Attempt, elapsed: Micros) {
        let id = attempt.id.worker;
        let worker = self.workers.get(id);
        let fraction = self.context().capacity_fraction(worker, now);
        let estimate = worker.capacity.of_class(attempt.class);
        let limit = if fraction < 1.0 { estimate } else { MAX_CAPACITY_RATIO * estimate };
        let capacity = (attempt.size / elapsed.max(1) as f64 / fraction).min(limit);
        let in_time = now <= attempt.value_deadline;
        if self.workers.get_mut(id).health.record_success(attempt.class, now, in_time) {
            self.subset.invalidate_members();
        }
        self.capacity.observe(&mut self.workers, id, attempt.class, capacity, fraction >= 1.0);
        if fraction >= 1.0 && self.workers.get(id).is_ready() {
            self.throughput.record_served(now, attempt.size);
        }
        self.ranking.invalidate();
    }

    /// Records a rejection. The queue is assumed to be longer than the job could have waited, however fast
    /// the rejection came.
    fn record_rejection(&mut self, now: Micros, attempt: &Attempt) {
        let idempotency = self.settings.classes[attempt.class].idempotency;
        let is_unretryable =
            self.settings.limits.rejection_may_have_run && idempotency == Idempotency::NotIdempotent;
        let longest_wait = attempt.value_deadline.saturating_sub(now) as f64;
        let worker = self.workers.get_mut(attempt.id.worker);
        worker.raise_wait_to(attempt.class, now, longest_wait);
        worker.health.record_rejection(attempt.class, now, is_unretryable);
        self.subset.invalidate_members();
    }

    fn record_failure(&mut self, now: Micros, attempt: &Attempt, outcome: Outcome) {
        let id = attempt.id.worker;
        // If many dispatchers share a worker, each gets few start notices from which to measure its wait, and
        // none for the jobs that did not start. The wait of this job is therefore recorded here.
        let timed_out_in_queue = outcome == Outcome::Timeout && attempt.started_at.is_none();
        if timed_out_in_queue && self.workers.groups_above_small_zone() > 0.0 {
            self.record_wait(now, id, attempt.class, attempt.waited(now));
        }
        self.subset.invalidate_members();
        self.health.record_failure(self.workers.get_mut(id), now);
    }

    /// Records how long a job waited at a worker, whether or not it has started.
    fn record_wait(&mut self, now: Micros, id: WorkerId, class: usize, waited: f64) {
        let in_slow_start = self.context().capacity_fraction(self.workers.get(id), now) < 1.0;
        self.workers.get_mut(id).record_wait(class, now, waited);
        if !in_slow_start {
            self.workers.kind_mut(id).record_wait(class, waited);
        }
    }
}
