//! A valid request whose body has not been read yet.

use crate::frontend::Frontend;
use sorrelhaven_body_store::RequestBody;
use sorrelhaven_dispatcher::Micros;
use sorrelhaven_engine::{BodyPermit, Job, RequestPayload};
use sorrelhaven_wire::PeerCloseDetector;
use std::rc::Rc;

/// A job without its body.
pub struct RequestDraft {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's tenant; 0 where the site has none.
    pub tenant: usize,
    /// When the answer must be on its way to the client.
    pub deadline: Micros,
    /// The client's estimate of the work.
    pub work_hint: Option<Micros>,
    /// The slots that the job occupies on a worker.
    pub slots: f64,
    /// The client marks the request as a retry.
    pub is_retry: bool,
    /// Hash of the client's affinity key; 0 without one.
    pub affinity_key: u64,
    /// The request id.
    pub id: Rc<str>,
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers that are forwarded to the worker.
    pub headers: Vec<(&'static str, String)>,
}

impl RequestDraft {
    /// Index of the request's class and tenant among those that share the body budgets.
    pub fn budget_index(&self, frontend: &Frontend) -> usize {
        self.class * frontend.tenants.len().max(1) + self.tenant
    }

    /// Brings the deadline forward to `limit` where that is earlier.
    pub fn limit_deadline(&mut self, limit: Micros) {
        self.deadline = self.deadline.min(limit);
    }

    /// The job with its body, which may be incomplete. `body_sendable` is false where the body could not be
    /// stored and the job is to be rejected.
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
