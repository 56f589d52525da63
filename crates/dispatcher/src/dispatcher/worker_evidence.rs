//! What the end of an attempt says of its worker.

use crate::dispatcher::attempt::{Attempt, START_GRACE};
use crate::dispatcher::worker::Worker;
use crate::interface::{Micros, Outcome};

/// A worker that answered within this time is alive, whatever happens to one of its connections.
const ALIVE_INTERVAL: Micros = 1_000_000;
/// How many times its size a job may run before its answer is taken to be lost.
const LOST_ANSWER_FACTOR: Micros = 3;

/// What the end of an attempt says of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkerEvidence {
    /// It served the job.
    Served,
    /// Nothing.
    Neutral,
    /// It lives, and its queue is as long as the job has waited.
    Queueing,
    /// Its queue is full.
    Full,
    /// It failed.
    Failed,
}

impl WorkerEvidence {
    /// Judges an attempt that ended now by what the worker has shown since.
    pub(super) fn of(worker: &Worker, attempt: &Attempt, outcome: Outcome, now: Micros) -> WorkerEvidence {
        let health = &worker.health;
        match outcome {
            Outcome::Ok => WorkerEvidence::Served,
            Outcome::Rejected => WorkerEvidence::Full,
            Outcome::NotSent | Outcome::InvalidRequest => WorkerEvidence::Neutral,
            // The connection broke. If the worker is dead as well, the next connect will show it.
            Outcome::Reset if health.has_shown_life_since(now - ALIVE_INTERVAL) => WorkerEvidence::Neutral,
            Outcome::Timeout if answer_was_lost(worker, attempt) => WorkerEvidence::Neutral,
            Outcome::Cancelled => Self::of_withdrawn(worker, attempt, now),
            _ => WorkerEvidence::Failed,
        }
    }

    fn of_withdrawn(worker: &Worker, attempt: &Attempt, now: Micros) -> WorkerEvidence {
        if attempt.started_at.is_some() || now - attempt.sent_at < 3 * START_GRACE {
            return WorkerEvidence::Neutral;
        }
        if worker.health.has_shown_life_since(attempt.sent_at) {
            return WorkerEvidence::Queueing;
        }
        WorkerEvidence::Failed
    }
}

/// Whether the worker has shown life after the time at which the attempt should have ended.
fn answer_was_lost(worker: &Worker, attempt: &Attempt) -> bool {
    attempt.started_at.is_some_and(|started_at| {
        worker.health.has_shown_life_since(started_at + LOST_ANSWER_FACTOR * attempt.size as Micros)
    })
}
