//! The draft of a job: a request whose head is valid and whose body has not been read yet.

use crate::frontend::Frontend;
use sorrelhaven_body_store::RequestBody;
use sorrelhaven_dispatcher::Micros;
use sorrelhaven_engine::{BodyPermit, Job, RequestPayload};
use sorrelhaven_wire::PeerCloseDetector;
use std::rc::Rc;

/// The fields of a job that the head of its request determines.
pub struct RequestDraft {
    /// The index of the request's class in the settings.
    pub class: usize,
    /// The index of the request's tenant in the settings; 0 if they list no tenants.
    pub tenant: usize,
    /// When the answer must be sent, so that it reaches the client before the client's timeout expires.
    pub deadline: Micros,
    /// The client's estimate of the job's running time.
    pub work_hint: Option<Micros>,
    /// The number of slots that the job occupies at a worker.
    pub slots: f64,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// The hash of the request's affinity key; 0 without one.
    pub affinity_key: u64,
    /// The value of `Request-Id`, by which duplicates of a request in progress are recognized.
    pub id: Rc<str>,
    /// The HTTP method.
    pub method: String,
    /// The request target: path and query.
    pub target: String,
    /// The names and values of the headers that are forwarded to the worker.
    pub headers: Vec<(&'static str, Vec<u8>)>,
}

impl RequestDraft {
    /// The budget group of the request in the body store: the number of its pair of class and tenant.
    pub fn budget_group(&self, frontend: &Frontend) -> usize {
        self.class * frontend.tenants.len().max(1) + self.tenant
    }

    /// Lowers the deadline to `limit` if that is earlier.
    pub fn limit_deadline(&mut self, limit: Micros) {
        self.deadline = self.deadline.min(limit);
    }

    /// The job with `body`, which may still be arriving. `body_sendable` is false if the body could not be
    /// stored, so that the dispatcher must reject the job.
    pub fn into_job(
        self,
        body: RequestBody,
        body_sendable: bool,
        body_permit: Option<BodyPermit>,
        client_close_detector: PeerCloseDetector,
    ) -> Job {
        Job {
            class: self.class,
            deadline: self.deadline,
            work_hint: self.work_hint,
            slots: self.slots,
            is_retry: self.is_retry,
            affinity_key: self.affinity_key,
            body_sendable,
            body_permit,
            client_close_detector: Some(client_close_detector),
            payload: RequestPayload {
                id: self.id,
                method: self.method,
                target: self.target,
                headers: self.headers,
                body,
            },
        }
    }
}
