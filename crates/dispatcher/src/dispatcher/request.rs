//! A request that has no final answer yet.

use crate::dispatcher::attempt::AttemptId;
use crate::interface::{Micros, WorkerId};

/// The factor by which a work hint may exceed the actual running time.
pub(super) const MAX_HINT_ERROR: f64 = 2.0;

/// The first attempt of a request that may have been executed.
#[derive(Clone, Copy)]
pub(super) struct FirstExecution {
    pub(super) worker: WorkerId,
    pub(super) sent_at: Micros,
}

/// What the dispatcher knows of a request.
#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    /// The expected running time on a standard core, in microseconds.
    pub(super) size: f64,
    /// The size was given with the request rather than assumed.
    pub(super) has_work_hint: bool,
    /// The slots that it takes.
    pub(super) slots: f64,
    /// 0 if it has none.
    pub(super) affinity_key: u64,
    /// When the client stops waiting.
    pub(super) deadline: Micros,
    /// The end of its latency objective.
    pub(super) objective_deadline: Micros,
    /// An answer after this time has no value: the objective's end or, where late answers count, the
    /// deadline.
    pub(super) value_deadline: Micros,
    /// The number of attempts sent.
    pub(super) attempts: u32,
    /// The attempt without an outcome.
    pub(super) outstanding: Option<AttemptId>,
    /// The outstanding attempt was withdrawn.
    pub(super) cancel_requested: bool,
    /// Its answer has begun.
    pub(super) is_streaming: bool,
    /// Its body can't be sent again.
    pub(super) body_consumed: bool,
    pub(super) first_execution: Option<FirstExecution>,
    /// The workers that it was sent to.
    pub(super) tried: Vec<WorkerId>,
}
