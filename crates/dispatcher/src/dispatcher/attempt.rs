//! An attempt: one send of a request to one worker.

use crate::interface::{Micros, Outcome, RequestId, WorkerId};

/// Time within which an idle worker's start notice arrives, in microseconds: it covers a connection, a
/// handshake and two network delays. A later notice indicates a queue.
pub(super) const START_GRACE: Micros = 25_000;

/// Identifies an attempt and the worker that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub(super) number: u32,
    pub(super) worker: WorkerId,
}

/// An attempt that has no outcome yet.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) class: usize,
    /// Expected running time of the job on a standard core, in microseconds.
    pub(super) size: f64,
    /// Number of slots that the job occupies.
    pub(super) slots: f64,
    /// Time of the send; for a long body, time at which its last byte was sent.
    pub(super) sent_at: Micros,
    /// Time after which an answer has no value.
    pub(super) value_deadline: Micros,
    pub(super) started_at: Option<Micros>,
}

impl Attempt {
    /// Returns the time since the send, in microseconds. For a job that has not started, or is starting now,
    /// that is its wait.
    pub(super) fn waited(&self, now: Micros) -> f64 {
        (now - self.sent_at) as f64
    }
}

/// End of an attempt, as the host reports it.
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    /// Time since the attempt was sent; for a long body, since its last byte was sent.
    pub(super) elapsed: Micros,
    /// Whether the request has its final answer.
    pub(super) request_concluded: bool,
}
