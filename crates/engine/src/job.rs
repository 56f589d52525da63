//! The types that front ends, requests, the dispatcher loop and attempts exchange.

use crate::attempt_end::AttemptEnd;
use crate::body_admission::BodyPermit;
use crate::invariants::RequestChecks;
use sorrelhaven_body_store::RequestBody;
use sorrelhaven_dispatcher::{Micros, WorkerId};
use sorrelhaven_wire::PeerCloseDetector;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// A client's request as a front end submits it.
pub struct Job {
    /// The index of the request's class in the settings.
    pub class: usize,
    /// When the answer must be sent to the client, in dispatcher time.
    pub deadline: Micros,
    /// The client's estimate of the job's running time, if it gave one.
    pub work_hint: Option<Micros>,
    /// The number of slots that the job occupies at a worker.
    pub slots: f64,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The hash of the client's affinity key, for cache affinity; 0 without a key.
    pub affinity_key: u64,
    /// Whether the body can be sent. False if it could not be stored and the settings reject such requests.
    pub body_sendable: bool,
    /// The permit for a long body. It is released when the body is fully sent or the request is concluded.
    pub body_permit: Option<BodyPermit>,
    /// Detects that the client has closed its connection, even before the connection's task reads that far.
    pub client_close_detector: Option<PeerCloseDetector>,
    /// The request that is sent to workers.
    pub payload: RequestPayload,
}

/// The parts of a request that are the same in every attempt.
pub struct RequestPayload {
    /// The client's id for the request, which workers and logs use too.
    pub id: Rc<str>,
    /// The HTTP method.
    pub method: String,
    /// The request target: path and query.
    pub target: String,
    /// Further header fields, as name and value. A value is sent byte for byte as the client sent it.
    pub headers: Vec<(&'static str, Vec<u8>)>,
    /// The body, stored or still being uploaded.
    pub body: RequestBody,
}

impl RequestPayload {
    /// Formats the head of the request to the worker at `host`. It states the time left until `deadline` in
    /// microseconds, and the body's `length` in bytes; without a length, the body is sent with the chunked
    /// transfer coding.
    pub fn head(&self, host: &str, deadline: Instant, length: Option<u64>) -> Vec<u8> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.target).into_bytes();
        append_field(&mut head, "Request-Id", self.id.as_bytes());
        append_field(&mut head, "Request-Timeout", format!("{}u", remaining.as_micros()).as_bytes());
        for (name, value) in &self.headers {
            append_field(&mut head, name, value);
        }
        match length {
            Some(length) => append_field(&mut head, "Content-Length", length.to_string().as_bytes()),
            None => append_field(&mut head, "Transfer-Encoding", b"chunked"),
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}

fn append_field(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}

/// The state of a request that its attempts share.
#[derive(Default)]
pub struct RequestState {
    /// The request has its answer, or its client has disconnected. Nothing more may be sent for it.
    pub concluded: Cell<bool>,
    /// When the client's disconnect was reported, if that was before the answer.
    pub client_disconnected_at: Cell<Option<Instant>>,
    /// Whether any attempt was written up to its last byte.
    pub fully_sent: Cell<bool>,
    /// Detects that the client has closed its connection.
    pub client_close_detector: Option<PeerCloseDetector>,
    /// Whether the whole body had been received when the request was admitted.
    pub is_body_received: bool,
    /// The run-time checks of the request's invariants.
    pub checks: RequestChecks,
}

impl RequestState {
    /// Whether the client may have closed its connection without that having been reported to the request, which is
    /// not concluded: it has, or there is input after the request that the front end has not read yet. While the
    /// request's own body is being read, unread input says nothing.
    pub fn may_have_unreported_disconnect(&self) -> bool {
        if self.concluded.get() {
            return false;
        }
        self.client_close_detector.as_ref().is_some_and(|detector| match self.is_body_received {
            true => detector.may_have_closed(),
            false => detector.has_closed(),
        })
    }
}

/// The one final answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A worker's result.
    Served(String),
    /// A rejection: the job did not run, or it may run more than once, so a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries, in microseconds; 0 for no advice.
        retry_after: Micros,
    },
    /// The job failed. It may have taken effect.
    Failed,
}

/// A message to a request's task, from the dispatcher, from one of its attempts or from the front end.
#[derive(Clone, Debug)]
pub enum RequestMessage {
    /// From the dispatcher: start an attempt.
    Send {
        /// The worker to send the attempt to.
        worker: WorkerId,
        /// When the attempt stops waiting for the worker; `Micros::MAX` for the request's own deadline.
        deadline: Micros,
        /// The attempt must not be sent at this time or later.
        send_by: Micros,
    },
    /// From the dispatcher: cancel an attempt.
    Cancel {
        /// The attempt's number within its request.
        attempt: u32,
    },
    /// From the dispatcher: answer with a rejection.
    Reject {
        /// How long the client should wait before it retries, in microseconds; 0 for no advice.
        retry_after: Micros,
    },
    /// From the dispatcher: answer with a failure.
    Fail,
    /// From an attempt: the worker has started the job.
    AttemptStarted {
        /// The attempt's number within its request.
        attempt: u32,
    },
    /// From an attempt: the worker has reported the job's progress.
    AttemptProgress {
        /// The attempt's number within its request.
        attempt: u32,
        /// The fraction of the job that is done, from 0 to 1.
        completed_fraction: f64,
    },
    /// From an attempt: the last byte of a long body was written.
    RequestSent {
        /// The attempt's number within its request.
        attempt: u32,
    },
    /// From an attempt: it has started to read a body that can be read only once, so no further attempt is
    /// possible.
    BodyConsumed,
    /// From an attempt: how it ended. The last message of each attempt.
    AttemptEnded {
        /// The attempt's number within its request.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
        /// The worker's load report, in the order of the fields in the settings; empty without a report.
        load_report: Vec<f64>,
    },
    /// From the front end: the client has disconnected.
    ClientDisconnected,
}
