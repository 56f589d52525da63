//! What a dispatcher is notified of.

use crate::interface::{Micros, RequestId, WorkerId, WorkerListUpdate};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker answered with an error; the attempt may have been executed.
    Error,
    /// The worker rejected the attempt.
    Rejected,
    /// There was no answer in time; the attempt may have been executed.
    Timeout,
    /// There was no connection; the attempt was not executed.
    ConnectFailed,
    /// The connection broke; the attempt may have been executed.
    Reset,
    /// It was withdrawn; the attempt may have been executed.
    Cancelled,
    /// It was not sent.
    NotSent,
    /// The request itself is invalid: that says nothing of the worker, and no other worker would accept it.
    InvalidRequest,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class; one out of range is treated as not idempotent.
    pub class: usize,
    /// When the client stops waiting for this answer.
    pub deadline: Micros,
    /// Its expected running time on a standard core, if known.
    pub work_hint: Option<Micros>,
    /// The slots that it takes.
    pub slots: f64,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// A hash of what it is about, the same at every dispatcher; 0 for none.
    pub affinity_key: u64,
    /// Its body can be sent. False where it could not be stored, and such requests are rejected.
    pub body_sendable: bool,
}

/// What happens to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list was updated, or an update failed.
    WorkerList(WorkerListUpdate),
    /// A request has arrived.
    Arrival(Arrival),
    /// A worker has started the job of an attempt.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// A running job reports its progress.
    AttemptProgress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// The fraction done.
        completed_fraction: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Micros,
        /// The request has its final answer.
        request_concluded: bool,
        /// The worker's load report; empty if there was none.
        load_report: Vec<f64>,
    },
    /// The answer of a streamed class has begun: no timeout or deadline applies any longer.
    ResponseStreaming {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// The last byte of an attempt with a long body was sent: the time until now is not the worker's.
    RequestSent {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// A part of the request's body that is not stored was sent to a worker: no further attempt is possible.
    BodyConsumed(RequestId),
    /// The client has disconnected; it needs no answer.
    ClientDisconnected(RequestId),
    /// A probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The worker's load report; empty if there was none.
        load_report: Vec<f64>,
    },
    /// The timer of this token has fired.
    Timer(u64),
}
