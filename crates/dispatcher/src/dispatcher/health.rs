//! Recent failures and rejections of each worker, and the backoff after them.

use crate::dispatcher::worker::Worker;
use crate::interface::Micros;

/// Upper bound of the failures that are counted for a worker, so that it recovers quickly from a long outage.
pub(super) const MAX_FAILURES: u32 = 4;
/// Backoff after a failure or rejection, in microseconds, before it is doubled for each recent one. Until it
/// has passed, a failed worker gets no half-open probe, and a worker gets no job of a class that it rejected.
const BASE_BACKOFF: Micros = 250_000;
/// Further doublings of the backoff after a rejection of a job that can't be retried, since it may have been
/// executed.
const UNRETRYABLE_REJECTION_DOUBLINGS: u32 = 3;

/// Recent rejections of one class by one worker.
#[derive(Clone, Copy, Default)]
struct RejectionBackoff {
    rejections: u32,
    /// Time until which the class is not sent to the worker.
    until: Micros,
}

/// Failures, rejections and last activity of one worker.
#[derive(Default)]
pub(super) struct WorkerHealth {
    /// Recent failures, up to [`MAX_FAILURES`]; the paper's R.
    failures: u32,
    /// Time from which a failed worker may get a half-open probe.
    probe_at: Micros,
    /// Last time at which the worker reported the start of a job or served one.
    last_activity: Micros,
    /// By class.
    rejections: Vec<RejectionBackoff>,
}

impl WorkerHealth {
    /// Sets the number of classes.
    pub(super) fn resize(&mut self, classes: usize) {
        self.rejections.resize(classes, RejectionBackoff::default());
    }

    /// Clears failures and rejections after a new process has started.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
        self.rejections.fill(RejectionBackoff::default());
    }

    /// Returns the number of recent failures, at most [`MAX_FAILURES`].
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the backoff after the last failure has passed.
    pub(super) fn probe_backoff_elapsed(&self, now: Micros) -> bool {
        now >= self.probe_at
    }

    /// Returns whether the worker has reported the start of a job or served one after this time.
    pub(super) fn was_active_after(&self, time: Micros) -> bool {
        self.last_activity > time
    }

    /// Records that the worker has reported the start of a job or served one.
    pub(super) fn record_activity(&mut self, now: Micros) {
        self.last_activity = now;
    }

    /// Returns whether the backoff after rejections of this class has passed.
    pub(super) fn accepts(&self, class: usize, now: Micros) -> bool {
        self.rejections.get(class).is_none_or(|backoff| backoff.until <= now)
    }

    /// Returns whether the backoff after rejections has not passed yet for at least one class.
    pub(super) fn has_recent_rejection(&self, now: Micros) -> bool {
        self.rejections.iter().any(|backoff| backoff.until > now)
    }

    /// Records a served job. A response in time clears earlier failures, a late one does not. Returns whether
    /// there were failures to clear.
    pub(super) fn record_success(&mut self, class: usize, now: Micros, in_time: bool) -> bool {
        self.record_activity(now);
        if let Some(backoff) = self.rejections.get_mut(class) {
            backoff.rejections = backoff.rejections.saturating_sub(1);
        }
        in_time && std::mem::take(&mut self.failures) > 0
    }

    /// Records a rejection of this class; other classes may still be accepted.
    pub(super) fn record_rejection(&mut self, class: usize, now: Micros, is_unretryable: bool) {
        if let Some(backoff) = self.rejections.get_mut(class) {
            let rejections = backoff.rejections + 1;
            let doublings = rejections + UNRETRYABLE_REJECTION_DOUBLINGS * u32::from(is_unretryable);
            backoff.rejections = rejections.min(MAX_FAILURES);
            backoff.until = now + (BASE_BACKOFF << doublings);
        }
    }

    fn record_failure(&mut self, now: Micros, median_failures: u32) {
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.probe_at = now + (BASE_BACKOFF << self.failures.saturating_sub(median_failures));
    }
}

/// Compares the failures of a worker with those of the median worker, so that an outage of all workers ejects
/// none of them.
#[derive(Default)]
pub(super) struct HealthTracker {
    /// Number of failures of the median worker.
    median_failures: u32,
}

impl HealthTracker {
    /// Recomputes the failures of the median worker from those of each worker in use.
    pub(super) fn update_median_failures(&mut self, mut failures: Vec<u32>) {
        failures.sort_unstable();
        self.median_failures = failures.get(failures.len() / 2).copied().unwrap_or(0);
    }

    /// Returns the number of failures of a worker beyond those of the median worker.
    pub(super) fn excess_failures(&self, worker: &Worker) -> u32 {
        worker.health.failures().saturating_sub(self.median_failures)
    }

    /// Returns whether a worker has no more failures than the median worker.
    pub(super) fn is_healthy(&self, worker: &Worker) -> bool {
        self.excess_failures(worker) == 0
    }

    /// Records a failure of a worker. The backoff does not count failures that the median worker has as well.
    pub(super) fn record_failure(&self, worker: &mut Worker, now: Micros) {
        worker.health.record_failure(now, self.median_failures);
    }
}
