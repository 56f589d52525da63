//! The plain types that cross between fronts, requests, the desk and executions.

use crate::attempt_end::AttemptEnd;
use crate::body_admission::BodyPermit;
use crate::invariants::RequestGuard;
use sorrelhaven_body_store::RequestBody;
use sorrelhaven_dispatcher::{Micros, WorkerId};
use sorrelhaven_wire::PeerProbe;
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Instant;

/// A job as a front hands it in.
pub struct Job {
    /// Its class's place in the settings.
    pub class: usize,
    /// When the client gives up.
    pub deadline: Micros,
    /// The client's guess at the work.
    pub work_hint: Option<Micros>,
    /// The slots it takes.
    pub slots: f64,
    /// The client marks it as a repeat.
    pub is_retry: bool,
    /// A number drawn from what it is about; 0 where the client does not say.
    pub affinity_key: u64,
    /// Its body can be sent: false where it could not be kept and such are refused.
    pub body_sendable: bool,
    /// The place that a long body has until its last byte was written.
    pub body_permit: Option<BodyPermit>,
    /// Tells whether the client has gone, also before its connection's own task has seen it.
    pub client_probe: Option<PeerProbe>,
    /// What travels to the executor.
    pub payload: RequestPayload,
}

/// What travels to the executor, unchanged in every execution.
pub struct RequestPayload {
    /// The request's id.
    pub id: Rc<str>,
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub target: String,
    /// Further headers that travel on.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: RequestBody,
}

impl RequestPayload {
    /// The head of the message to the executor at `host`, which is told how long the node waits: to `deadline`. The
    /// body goes with its length where that is known, else in chunks.
    pub fn head(&self, host: &str, deadline: Instant, length: Option<u64>) -> Vec<u8> {
        let left = deadline.saturating_duration_since(Instant::now());
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.target);
        let _ = write!(head, "Request-Id: {}\r\nRequest-Timeout: {}u\r\n", self.id, left.as_micros());
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

/// How far a request has come, as its executions see it.
#[derive(Default)]
pub struct RequestState {
    /// It has its answer, or needs none any more: nothing more is to be sent for it.
    pub concluded: Cell<bool>,
    /// When its client left before that.
    pub client_left_at: Cell<Option<Instant>>,
    /// The last byte of one of its executions was written.
    pub fully_sent: Cell<bool>,
    /// The client's connection.
    pub client_probe: Option<PeerProbe>,
    /// What the invariants ask of it.
    pub guard: RequestGuard,
}

impl RequestState {
    /// Whether the client has gone before its answer, as its connection says at this moment.
    pub fn client_gone(&self) -> bool {
        !self.concluded.get() && self.client_probe.as_ref().is_some_and(PeerProbe::has_closed)
    }
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What an executor gave for the request.
    Served(String),
    /// Not done, and trying again after this time is harmless.
    Rejected {
        /// How long to stay away; 0: no advice.
        retry_after: Micros,
    },
    /// Failed; it may have taken effect.
    Failed,
}

/// What a request's task is told, by the desk, by its executions and by the front.
#[derive(Clone, Debug)]
pub enum RequestMessage {
    /// The module: begin an execution.
    Send {
        /// The executor.
        worker: WorkerId,
        /// When the module stops waiting.
        deadline: Micros,
        /// From when on it must not be sent any more.
        send_by: Micros,
    },
    /// The module: withdraw an execution.
    Cancel {
        /// The execution's number.
        attempt: u32,
    },
    /// The module: answer with a throttle.
    Reject {
        /// How long the client ought to stay away; 0: no advice.
        retry_after: Micros,
    },
    /// The module: answer that it failed.
    Fail,
    /// An execution: the job has started.
    AttemptStarted {
        /// The execution's number.
        attempt: u32,
    },
    /// An execution: so much of the job is done.
    AttemptProgress {
        /// The execution's number.
        attempt: u32,
        /// The share done, from 0 to 1.
        share: f64,
    },
    /// An execution: the last byte of a long body was written.
    RequestSent {
        /// The execution's number.
        attempt: u32,
    },
    /// An execution: a part of the body that is not kept is being passed on.
    BodyConsumed,
    /// An execution: it has ended.
    AttemptEnded {
        /// The execution's number.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
        /// The executor's load report, in the order of the settings' fields; empty where none came.
        load_report: Vec<f64>,
    },
    /// The front: the client has left.
    ClientDisconnected,
}
