//! State of a request that has no final answer yet.

use crate::dispatcher::attempt::AttemptId;
use crate::interface::{Micros, WorkerId};

/// Factor by which a work hint may differ from the actual running time.
pub(super) const MAX_HINT_ERROR: f64 = 2.0;

/// The first attempt of a request that may have been executed.
#[derive(Clone, Copy)]
pub(super) struct FirstExecution {
    pub(super) worker: WorkerId,
    /// Time of the send; for a long body, time at which its last byte was sent.
    pub(super) sent_at: Micros,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    /// Expected running time on a standard core, in microseconds.
    pub(super) size: f64,
    /// Whether `size` is the request's work hint; otherwise it is a default.
    pub(super) has_work_hint: bool,
    /// Number of slots that the job occupies.
    pub(super) slots: f64,
    /// 0 for none.
    pub(super) affinity_key: u64,
    /// Time at which the client stops waiting.
    pub(super) deadline: Micros,
    /// Time at which the latency objective ends.
    pub(super) objective_deadline: Micros,
    /// Time after which an answer has no value: `deadline` if late answers keep part of their value,
    /// otherwise `objective_deadline`.
    pub(super) value_deadline: Micros,
    /// Number of attempts sent.
    pub(super) attempts: u32,
    /// Attempt that has no outcome yet.
    pub(super) outstanding: Option<AttemptId>,
    /// Whether the outstanding attempt is being cancelled so that the request can be sent to another worker.
    pub(super) cancel_requested: bool,
    /// Whether a worker has begun a streamed response.
    pub(super) is_streaming: bool,
    /// Whether the body can't be sent any more: it could not be stored, or a part of it that is not stored
    /// was sent already.
    pub(super) body_consumed: bool,
    pub(super) first_execution: Option<FirstExecution>,
    /// Workers that the request was sent to.
    pub(super) tried: Vec<WorkerId>,
}
