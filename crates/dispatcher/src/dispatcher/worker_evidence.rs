//! Conclusions about a worker from the end of an attempt.

use crate::dispatcher::attempt::{Attempt, START_GRACE};
use crate::dispatcher::worker::Worker;
use crate::interface::{Micros, Outcome};

/// A broken connection does not count as a failure of a worker that was active within this time.
const RECENT_ACTIVITY_INTERVAL: Micros = 1_000_000;
/// If a worker was active later than this multiple of a job's size after the job's start, a missing response
/// counts as lost on the way.
const LOST_RESPONSE_FACTOR: Micros = 3;

/// A cancelled attempt that waited for less than this shows nothing about its worker.
const MIN_CONCLUSIVE_WAIT: Micros = 3 * START_GRACE;

/// What the end of an attempt shows about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkerEvidence {
    /// The worker served the job.
    Served,
    /// The outcome says nothing about the state of the worker.
    Inconclusive,
    /// The worker is active, and jobs wait in its queue at least as long as this one has waited.
    Queueing,
    /// The worker's queue is full.
    QueueFull,
    /// The worker has failed.
    Failed,
}

impl WorkerEvidence {
    /// Interprets the outcome of an attempt, considering when the worker was last active.
    pub(super) fn from_outcome(
        worker: &Worker,
        attempt: &Attempt,
        outcome: Outcome,
        now: Micros,
    ) -> WorkerEvidence {
        let health = &worker.health;
        match outcome {
            Outcome::Ok => WorkerEvidence::Served,
            Outcome::Rejected => WorkerEvidence::QueueFull,
            Outcome::NotSent | Outcome::InvalidRequest => WorkerEvidence::Inconclusive,
            // Only the connection broke. If the worker has died since, the next attempt to connect will show
            // it.
            Outcome::Reset if health.was_active_after(now - RECENT_ACTIVITY_INTERVAL) => {
                WorkerEvidence::Inconclusive
            }
            Outcome::Timeout if response_was_lost(worker, attempt) => WorkerEvidence::Inconclusive,
            Outcome::Cancelled => Self::from_cancelled(worker, attempt, now),
            _ => WorkerEvidence::Failed,
        }
    }

    fn from_cancelled(worker: &Worker, attempt: &Attempt, now: Micros) -> WorkerEvidence {
        if attempt.started_at.is_some() || now - attempt.sent_at < MIN_CONCLUSIVE_WAIT {
            return WorkerEvidence::Inconclusive;
        }
        if worker.health.was_active_after(attempt.sent_at) {
            return WorkerEvidence::Queueing;
        }
        WorkerEvidence::Failed
    }
}

/// Returns whether the worker was active after the job should have ended.
fn response_was_lost(worker: &Worker, attempt: &Attempt) -> bool {
    attempt.started_at.is_some_and(|started_at| {
        worker.health.was_active_after(started_at + LOST_RESPONSE_FACTOR * attempt.size as Micros)
    })
}
