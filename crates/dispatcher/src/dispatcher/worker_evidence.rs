//! What the end of an attempt shows about its worker.

use crate::dispatcher::attempt::{Attempt, START_GRACE};
use crate::dispatcher::worker::Worker;
use crate::interface::{Micros, Outcome};

/// A worker that showed a sign of life within this time is alive, even if one of its connections breaks.
const ALIVE_INTERVAL: Micros = 1_000_000;
/// If a worker is alive after this multiple of a job's size, the job's missing answer was lost.
const LOST_ANSWER_FACTOR: Micros = 3;

/// A withdrawn attempt that waited for a shorter time shows nothing about its worker.
const MIN_CONCLUSIVE_WAIT: Micros = 3 * START_GRACE;

/// What the end of an attempt shows about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkerEvidence {
    /// It served the job.
    Served,
    /// Nothing.
    Neutral,
    /// It is alive, and its queue is as long as the job has waited.
    Queueing,
    /// Its queue is full.
    Full,
    /// It failed.
    Failed,
}

impl WorkerEvidence {
    /// Judges the end of an attempt, also by the signs of life that the worker has shown since the send.
    pub(super) fn of(worker: &Worker, attempt: &Attempt, outcome: Outcome, now: Micros) -> WorkerEvidence {
        let health = &worker.health;
        match outcome {
            Outcome::Ok => WorkerEvidence::Served,
            Outcome::Rejected => WorkerEvidence::Full,
            Outcome::NotSent | Outcome::InvalidRequest => WorkerEvidence::Neutral,
            // Only the connection broke. If the worker has died since, the next connection attempt will
            // show it.
            Outcome::Reset if health.has_shown_life_since(now - ALIVE_INTERVAL) => WorkerEvidence::Neutral,
            Outcome::Timeout if answer_was_lost(worker, attempt) => WorkerEvidence::Neutral,
            Outcome::Cancelled => Self::of_withdrawn(worker, attempt, now),
            _ => WorkerEvidence::Failed,
        }
    }

    fn of_withdrawn(worker: &Worker, attempt: &Attempt, now: Micros) -> WorkerEvidence {
        if attempt.started_at.is_some() || now - attempt.sent_at < MIN_CONCLUSIVE_WAIT {
            return WorkerEvidence::Neutral;
        }
        if worker.health.has_shown_life_since(attempt.sent_at) {
            return WorkerEvidence::Queueing;
        }
        WorkerEvidence::Failed
    }
}

/// Returns whether the worker has shown a sign of life after the attempt should have ended.
fn answer_was_lost(worker: &Worker, attempt: &Attempt) -> bool {
    attempt.started_at.is_some_and(|started_at| {
        worker.health.has_shown_life_since(started_at + LOST_ANSWER_FACTOR * attempt.size as Micros)
    })
}
