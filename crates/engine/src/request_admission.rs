//! Admits requests: registers each with the dispatcher loop and starts its task.
//!
//! A front end submits a [`Job`] and receives one [`Answer`], independent of the client's protocol.

use crate::invariants::RequestChecks;
use crate::job::{Answer, Job, RequestMessage, RequestState};
use crate::request_task::{NewRequest, RequestContext, RequestTask};
use async_channel::{Receiver, Sender};
use sorrelhaven_dispatcher::{Arrival, Idempotency, RequestId};
use sorrelhaven_handover::ClaimError;
use std::fmt;
use std::rc::Rc;
use tracing::{debug, warn};

/// The front end's handle of a request in progress: delivers the answer, and reports a disconnected client.
pub struct RequestHandle {
    messages: Sender<RequestMessage>,
    answer: Receiver<Answer>,
}

impl RequestHandle {
    /// Waits for the answer. Returns `None` if the request's task ends without one.
    pub async fn answer(&self) -> Option<Answer> {
        self.answer.recv().await.ok()
    }

    /// Reports that the client has disconnected, so that the request needs no answer.
    pub fn client_disconnected(&self) {
        // Sending fails only if the task has ended, and then the request is concluded.
        let _ = self.messages.try_send(RequestMessage::ClientDisconnected);
    }
}

/// Why a request was not admitted. Nothing was sent for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// Another request with the same id is in progress, or must not run twice and may have run.
    DuplicateId,
    /// Whether the request may have run is unknown, since the table of claimed ids cannot be read or written.
    ClaimsUnavailable,
}

impl fmt::Display for AdmissionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            AdmissionError::DuplicateId => "a request with the same id is in progress, or may have run",
            AdmissionError::ClaimsUnavailable => "the table of claimed ids cannot be used",
        })
    }
}

impl std::error::Error for AdmissionError {}

/// Admits requests, except those whose id is in use.
pub struct RequestAdmission {
    context: Rc<RequestContext>,
    /// For each class in the order of the settings.
    idempotency: Vec<Idempotency>,
    rejection_may_have_run: bool,
}

impl RequestAdmission {
    /// Creates an admission of requests whose tasks share `context`.
    ///
    /// `idempotency`: that of each class in the order of the settings.
    /// `rejection_may_have_run`: a worker's rejection does not prove that the attempt never ran.
    pub fn new(
        context: Rc<RequestContext>,
        idempotency: Vec<Idempotency>,
        rejection_may_have_run: bool,
    ) -> RequestAdmission {
        RequestAdmission { context, idempotency, rejection_may_have_run }
    }

    /// Admits a request and starts its task.
    ///
    /// # Errors
    /// [`AdmissionError::DuplicateId`] if a request with the same id is in progress: workers identify jobs by this id,
    /// so they would reject the second one or confuse it with the first. The same if its class is not idempotent and
    /// an earlier request with this id may have run, also in another process of this node.
    /// [`AdmissionError::ClaimsUnavailable`] if the latter is unknown.
    pub fn admit(&self, job: Job) -> Result<RequestHandle, AdmissionError> {
        self.claim_id(&job).inspect_err(|error| self.record_refusal(&job.payload.id, *error))?;
        debug!(id = %job.payload.id, class = job.class, "request admitted");
        let (messages, receiver) = async_channel::unbounded();
        let (answer_sender, answer) = async_channel::bounded(1);
        self.context.counters.request_admitted(job.class);
        let id = self.context.dispatcher_loop.register_request(messages.clone());
        let arrival = arrival(id, &job);
        let request = self.new_request(id, job);
        let task = RequestTask::new(self.context.clone(), request, messages.clone(), answer_sender);
        self.context.tasks.spawn(task.run(arrival, receiver));
        Ok(RequestHandle { messages, answer })
    }

    fn record_refusal(&self, id: &str, error: AdmissionError) {
        debug!(id, %error, "request refused");
        let counters = &self.context.counters;
        match error {
            AdmissionError::DuplicateId => counters.duplicate_ids.increment(),
            AdmissionError::ClaimsUnavailable => counters.claims_unavailable.increment(),
        }
    }

    /// Marks the id of a request as in progress and, if it must not run twice, claims it.
    fn claim_id(&self, job: &Job) -> Result<(), AdmissionError> {
        let id = &job.payload.id;
        let is_new = self.context.ids_in_progress.borrow_mut().insert(id.clone());
        if !is_new {
            return Err(AdmissionError::DuplicateId);
        }
        if !self.needs_claim(job.class) {
            return Ok(());
        }
        self.context.claims.claim(id).map_err(|error| {
            self.context.ids_in_progress.borrow_mut().remove(id);
            match error {
                ClaimError::Taken => AdmissionError::DuplicateId,
                ClaimError::Unavailable(error) => {
                    warn!(%id, %error, "the table of claimed ids cannot be used");
                    AdmissionError::ClaimsUnavailable
                }
            }
        })
    }

    /// Whether the ids of a class are claimed: a second run would have an effect. An unknown class is treated as not
    /// idempotent.
    fn needs_claim(&self, class: usize) -> bool {
        self.idempotency.get(class) != Some(&Idempotency::Idempotent)
    }

    fn new_request(&self, id: RequestId, job: Job) -> NewRequest {
        let state = RequestState {
            client_close_detector: job.client_close_detector,
            is_body_received: job.payload.body.end().is_some(),
            checks: self.checks(job.class),
            ..RequestState::default()
        };
        NewRequest {
            id,
            class: job.class,
            is_claimed: self.needs_claim(job.class),
            deadline: job.deadline,
            payload: Rc::new(job.payload),
            body_permit: job.body_permit,
            state: Rc::new(state),
        }
    }

    /// The run-time checks of a new request. An unknown class is treated as at-most-once.
    fn checks(&self, class: usize) -> RequestChecks {
        let idempotency = self.idempotency.get(class).unwrap_or(&Idempotency::NotIdempotent);
        RequestChecks::new(*idempotency == Idempotency::NotIdempotent, self.rejection_may_have_run)
    }
}

/// The event that announces a new request to the dispatcher.
fn arrival(request: RequestId, job: &Job) -> Arrival {
    Arrival {
        request,
        class: job.class,
        deadline: job.deadline,
        work_hint: job.work_hint,
        slots: job.slots,
        is_retry: job.is_retry,
        affinity_key: job.affinity_key,
        body_sendable: job.body_sendable,
    }
}
