//! The plain types that front ends, requests, the dispatcher loop and attempts exchange.

use crate::attempt_end::AttemptEnd;
use crate::body_admission::BodyPermit;
use crate::invariants::RequestChecks;
use sorrelhaven_body_store::RequestBody;
use sorrelhaven_dispatcher::{Micros, WorkerId};
use sorrelhaven_wire::PeerCloseDetector;
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Instant;

/// A client's request as a front end submits it.
pub struct Job {
    /// The index of its class in the settings.
    pub class: usize,
    /// When the client gives up.
    pub deadline: Micros,
    /// The client's estimate of the work.
    pub work_hint: Option<Micros>,
    /// The slots that it takes at a worker.
    pub slots: f64,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// A hash of what it is about, for cache affinity; 0 where the client does not say.
    pub affinity_key: u64,
    /// Whether its body can be sent; false where the body could not be stored and the settings reject such
    /// requests.
    pub body_sendable: bool,
    /// The permit of a long body, until the body is fully sent.
    pub body_permit: Option<BodyPermit>,
    /// Shows whether the client's connection has closed, also before its own task has noticed.
    pub client_probe: Option<PeerCloseDetector>,
    /// What is sent to the worker.
    pub payload: RequestPayload,
}

/// What is sent to a worker, the same in every attempt.
pub struct RequestPayload {
    /// The request's id.
    pub id: Rc<str>,
    /// The HTTP method.
    pub method: String,
    /// The path and the query.
    pub target: String,
    /// Further headers, by name and value.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: RequestBody,
}

impl RequestPayload {
    /// The head of the request to the worker at `host`. It states how long the node waits, up to `deadline`,
    /// and the body's `length`; without a length the body is sent in the chunked coding.
    pub fn head(&self, host: &str, deadline: Instant, length: Option<u64>) -> Vec<u8> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        // Writing to a String does not fail.
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.target);
        let _ = write!(head, "Request-Id: {}\r\nRequest-Timeout: {}u\r\n", self.id, remaining.as_micros());
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let _ = match length {
            Some(length) => write!(head, "Content-Length: {length}\r\n\r\n"),
            None => write!(head, "Transfer-Encoding: chunked\r\n\r\n"),
        };
        head.into_bytes()
    }
}

/// The state of a request that its attempts share.
#[derive(Default)]
pub struct RequestState {
    /// It has its answer, or needs none any more: nothing more is to be sent for it.
    pub concluded: Cell<bool>,
    /// When its client disconnected before it had its answer.
    pub client_disconnected_at: Cell<Option<Instant>>,
    /// Whether the last byte of any of its attempts was written.
    pub fully_sent: Cell<bool>,
    /// Shows whether the client's connection has closed.
    pub client_probe: Option<PeerCloseDetector>,
    /// The run-time checks of its invariants.
    pub checks: RequestChecks,
}

impl RequestState {
    /// Whether the client's connection has closed before the answer, as the connection shows at this moment.
    pub fn has_unreported_disconnect(&self) -> bool {
        !self.concluded.get() && self.client_probe.as_ref().is_some_and(PeerCloseDetector::has_closed)
    }
}

/// The one final answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A worker's result.
    Served(String),
    /// The job was not done, and a retry after this time is harmless.
    Rejected {
        /// How long the client ought to wait; 0: no advice.
        retry_after: Micros,
    },
    /// The job failed; it may have taken effect.
    Failed,
}

/// A message to a request's task, from the dispatcher, from one of its attempts or from the front end.
#[derive(Clone, Debug)]
pub enum RequestMessage {
    /// The dispatcher: begin an attempt.
    Send {
        /// The worker that it goes to.
        worker: WorkerId,
        /// When the dispatcher stops waiting.
        deadline: Micros,
        /// From when on it must not be sent any more.
        send_by: Micros,
    },
    /// The dispatcher: cancel an attempt.
    Cancel {
        /// The attempt's number within its request.
        attempt: u32,
    },
    /// The dispatcher: answer with a rejection.
    Reject {
        /// How long the client ought to wait; 0: no advice.
        retry_after: Micros,
    },
    /// The dispatcher: answer with a failure.
    Fail,
    /// An attempt: the worker has started on the job.
    AttemptStarted {
        /// The attempt's number within its request.
        attempt: u32,
    },
    /// An attempt: the worker has done a share of the job.
    AttemptProgress {
        /// The attempt's number within its request.
        attempt: u32,
        /// The share done, from 0 to 1.
        share: f64,
    },
    /// An attempt: the last byte of a long body was written.
    RequestSent {
        /// The attempt's number within its request.
        attempt: u32,
    },
    /// An attempt: it has begun to read a body that can be read only once, so the request cannot be retried.
    BodyConsumed,
    /// An attempt: it has ended.
    AttemptEnded {
        /// The attempt's number within its request.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
        /// The worker's load report, in the order of the settings' fields; empty where there is none.
        load_report: Vec<f64>,
    },
    /// The front end: the client has disconnected.
    ClientDisconnected,
}
