//! An attempt: one send of a request to one worker.

use crate::interface::{Micros, Outcome, RequestId, WorkerId};

/// A start notice that takes longer than a connection, a handshake and two network delays indicates a
/// queue.
pub(super) const START_GRACE: Micros = 25_000;

/// Identifies an attempt, and the worker that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    /// The attempts of a request are numbered from 0.
    pub(super) number: u32,
    pub(super) worker: WorkerId,
}

/// An attempt that has no outcome yet.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) class: usize,
    /// The job's expected running time on a standard core, in microseconds.
    pub(super) size: f64,
    /// The slots that it takes.
    pub(super) slots: f64,
    /// When it was sent; for a long body, when the last byte was sent.
    pub(super) sent_at: Micros,
    /// An answer after this time has no value.
    pub(super) value_deadline: Micros,
    pub(super) started_at: Option<Micros>,
}

impl Attempt {
    /// Returns the time since it was sent, in microseconds: its wait if it has just started or has not
    /// started.
    pub(super) fn waited(&self, now: Micros) -> f64 {
        (now - self.sent_at) as f64
    }
}

/// The end of an attempt, as the host reports it.
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    /// The time since it was sent.
    pub(super) elapsed: Micros,
    /// The request has its final answer.
    pub(super) request_concluded: bool,
}
