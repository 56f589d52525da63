//! Which workers have failed or rejected work recently.

use crate::dispatcher::worker::Worker;
use crate::interface::Micros;

/// The most failures that count against a worker: a long outage must not take as long to forgive.
pub(super) const MAX_FAILURES: u32 = 4;
/// The pause before a failed worker is probed with a job; it doubles with each further failure.
const PROBE_INTERVAL: Micros = 250_000;
/// Further doublings of that pause where a rejection costs the job, since it may have run.
const LOSSY_REJECTION_DOUBLINGS: u32 = 3;

/// The recent rejections of one class by one worker.
#[derive(Clone, Copy, Default)]
struct RejectionBackoff {
    rejections: u32,
    /// The class is not sent there before this time.
    until: Micros,
}

/// Failures, rejections and signs of life of one worker.
#[derive(Default)]
pub(super) struct WorkerHealth {
    /// The paper's R: recent failures, up to [`MAX_FAILURES`].
    failures: u32,
    /// When a failed worker may be probed.
    probe_at: Micros,
    last_sign_of_life: Micros,
    /// By class.
    rejections: Vec<RejectionBackoff>,
}

impl WorkerHealth {
    /// Makes room for so many classes.
    pub(super) fn resize(&mut self, classes: usize) {
        self.rejections.resize(classes, RejectionBackoff::default());
    }

    /// Forgets failures and rejections: a new process has started.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
        self.rejections.fill(RejectionBackoff::default());
    }

    /// Recent failures.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the pause after the last failure is over.
    pub(super) fn probe_pause_is_over(&self, now: Micros) -> bool {
        now >= self.probe_at
    }

    /// Whether the worker has shown after this time that it runs.
    pub(super) fn has_shown_life_since(&self, time: Micros) -> bool {
        self.last_sign_of_life > time
    }

    /// The worker has shown that it runs.
    pub(super) fn record_sign_of_life(&mut self, now: Micros) {
        self.last_sign_of_life = now;
    }

    /// Whether the worker has not rejected this class recently.
    pub(super) fn accepts(&self, class: usize, now: Micros) -> bool {
        self.rejections.get(class).is_none_or(|backoff| backoff.until <= now)
    }

    /// Whether the worker has rejected any class recently.
    pub(super) fn has_rejected(&self, now: Micros) -> bool {
        self.rejections.iter().any(|backoff| backoff.until > now)
    }

    /// A job of this class was served. True if it clears the worker of failures, which a late answer does
    /// not.
    pub(super) fn record_success(&mut self, class: usize, now: Micros, in_time: bool) -> bool {
        self.record_sign_of_life(now);
        if let Some(backoff) = self.rejections.get_mut(class) {
            backoff.rejections = backoff.rejections.saturating_sub(1);
        }
        in_time && std::mem::take(&mut self.failures) > 0
    }

    /// A job of this class was rejected; other classes may still be accepted.
    pub(super) fn record_rejection(&mut self, class: usize, now: Micros, lost_the_job: bool) {
        if let Some(backoff) = self.rejections.get_mut(class) {
            let rejections = backoff.rejections + 1;
            let doublings = rejections + LOSSY_REJECTION_DOUBLINGS * u32::from(lost_the_job);
            backoff.rejections = rejections.min(MAX_FAILURES);
            backoff.until = now + (PROBE_INTERVAL << doublings);
        }
    }

    fn record_failure(&mut self, now: Micros, common_failures: u32) {
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.probe_at = now + (PROBE_INTERVAL << self.failures.saturating_sub(common_failures));
    }
}

/// Judges the failures of a worker by those of the others: a fault that all share is no one's in particular.
#[derive(Default)]
pub(super) struct HealthTracker {
    /// The failures of the median worker.
    common_failures: u32,
}

impl HealthTracker {
    /// Sets the failures that are common from those of each worker in use.
    pub(super) fn update_common_failures(&mut self, mut failures: Vec<u32>) {
        failures.sort_unstable();
        self.common_failures = failures.get(failures.len() / 2).copied().unwrap_or(0);
    }

    /// The failures of a worker beyond the common ones.
    pub(super) fn excess_failures(&self, worker: &Worker) -> u32 {
        worker.health.failures().saturating_sub(self.common_failures)
    }

    /// Whether a worker has failed no more than the median one.
    pub(super) fn is_healthy(&self, worker: &Worker) -> bool {
        self.excess_failures(worker) == 0
    }

    /// Counts a failure of a worker.
    pub(super) fn record_failure(&self, worker: &mut Worker, now: Micros) {
        worker.health.record_failure(now, self.common_failures);
    }
}
