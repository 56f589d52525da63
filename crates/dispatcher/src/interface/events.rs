//! Events that the host reports to a dispatcher.

use crate::interface::{Micros, RequestId, WorkerId, WorkerListUpdate};

/// Outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker served the job.
    Ok,
    /// The worker responded with an error; the job may have been executed.
    Error,
    /// The worker rejected the job; see [`crate::Limits::rejection_may_have_run`].
    Rejected,
    /// No response arrived in time; the job may have been executed.
    Timeout,
    /// No connection to the worker could be established; the job was not executed.
    ConnectFailed,
    /// The connection broke; the job may have been executed.
    Reset,
    /// The attempt was cancelled; the job may have been executed.
    Cancelled,
    /// The attempt was not sent, so the job was not executed.
    NotSent,
    /// The request itself is invalid. That says nothing about the worker, and no other worker would accept
    /// the request.
    InvalidRequest,
}

/// An arriving request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id that the host has assigned.
    pub request: RequestId,
    /// Index of its class in [`crate::Settings::classes`]; a request with an index out of range is treated as
    /// not idempotent.
    pub class: usize,
    /// Time at which the client stops waiting for this answer.
    pub deadline: Micros,
    /// Work hint: expected running time on a standard core, if known.
    pub work_hint: Option<Micros>,
    /// Number of slots that the job occupies at a worker.
    pub slots: f64,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Hash of the affinity key, which names the data that the job needs; the same at every dispatcher, 0 for
    /// none.
    pub affinity_key: u64,
    /// Whether the body can be sent to a worker. False if it could not be stored; such requests are rejected.
    pub body_sendable: bool,
}

/// An event that the host reports to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list was updated, or an update failed.
    WorkerList(WorkerListUpdate),
    /// A request has arrived.
    Arrival(Arrival),
    /// A worker has started the job of an attempt.
    AttemptStarted {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u32,
        /// Worker that the attempt was sent to.
        worker: WorkerId,
    },
    /// A worker has reported the progress of a running job.
    AttemptProgress {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u32,
        /// Worker that the attempt was sent to.
        worker: WorkerId,
        /// Completed fraction of the job, from 0 to 1.
        completed_fraction: f64,
    },
    /// An attempt has its outcome.
    AttemptEnded {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u32,
        /// Worker that the attempt was sent to.
        worker: WorkerId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time since the attempt was sent; if [`Event::RequestSent`] was reported for it, time since that
        /// event.
        elapsed: Micros,
        /// Whether the request has its final answer, so that no further attempt is needed.
        request_concluded: bool,
        /// Values of the worker's load report, at the positions in [`crate::ReportFields`]; empty if there
        /// was none.
        load_report: Vec<f64>,
    },
    /// A worker has begun its response to a request of a streamed class: no timeout or deadline applies any
    /// longer.
    ResponseStreaming {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u32,
        /// Worker that the attempt was sent to.
        worker: WorkerId,
    },
    /// The last byte of a long request body was sent. The job's wait at the worker is counted from this time,
    /// not from the start of the transfer.
    RequestSent {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u32,
        /// Worker that the attempt was sent to.
        worker: WorkerId,
    },
    /// A part of a request body that is not stored was sent to a worker, so that no further attempt is
    /// possible.
    BodyConsumed(RequestId),
    /// The client has disconnected; its request needs no answer.
    ClientDisconnected(RequestId),
    /// A probe has its outcome.
    ProbeEnded {
        /// Worker that was probed.
        worker: WorkerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Values of the worker's load report; empty if there was none.
        load_report: Vec<f64>,
    },
    /// The timer with this token has expired.
    Timer(u64),
}
