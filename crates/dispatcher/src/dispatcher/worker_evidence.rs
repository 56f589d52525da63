//! What the end of an attempt shows about its worker.

use crate::dispatcher::attempt::{Attempt, START_GRACE};
use crate::dispatcher::worker::Worker;
use crate::interface::{Micros, Outcome};

/// A worker that showed a sign of life within this time is alive, even if one of its connections breaks.
const RECENT_ACTIVITY_INTERVAL: Micros = 1_000_000;
/// If a worker is alive after this multiple of a job's size, the job's missing answer was lost.
const LOST_RESPONSE_FACTOR: Micros = 3;

/// A withdrawn attempt that waited for a shorter time shows nothing about its worker.
const MIN_CONCLUSIVE_WAIT: Micros = 3 * START_GRACE;

/// What the end of an attempt shows about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkerEvidence {
    /// It served the job.
    Served,
    /// Nothing.
    Inconclusive,
    /// It is alive, and its queue is as long as the job has waited.
    Queueing,
    /// Its queue is full.
    QueueFull,
    /// It failed.
    Failed,
}

impl WorkerEvidence {
    /// Judges the end of an attempt, also by the signs of life that the worker has shown since the send.
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
            // Only the connection broke. If the worker has died since, the next connection attempt will
            // show it.
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

/// Returns whether the worker has shown a sign of life after the attempt should have ended.
fn response_was_lost(worker: &Worker, attempt: &Attempt) -> bool {
    attempt.started_at.is_some_and(|started_at| {
        worker.health.was_active_after(started_at + LOST_RESPONSE_FACTOR * attempt.size as Micros)
    })
}
