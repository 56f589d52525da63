//! Admits requests: registers each with the dispatcher loop and starts its task.
//!
//! A front end submits a [`Job`] and receives one [`Answer`], independent of the client's protocol.

use crate::invariants::RequestChecks;
use crate::job::{Answer, Job, RequestMessage, RequestState};
use crate::request_task::{NewRequest, RequestContext, RequestTask};
use async_channel::{Receiver, Sender};
use sorrelhaven_dispatcher::{Arrival, RequestId};
use std::fmt;
use std::rc::Rc;
use tracing::debug;

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

/// A request was not admitted because another request with the same id is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateRequestId;

impl fmt::Display for DuplicateRequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a request with the same id is already in progress")
    }
}

impl std::error::Error for DuplicateRequestId {}

/// Admits requests, except those whose id is in use.
pub struct RequestAdmission {
    context: Rc<RequestContext>,
    at_most_once: Vec<bool>,
    rejection_may_have_run: bool,
}

impl RequestAdmission {
    /// Creates an admission of requests whose tasks share `context`.
    ///
    /// `at_most_once`: for each class in the order of the settings, whether its requests must not run twice.
    /// `rejection_may_have_run`: a worker's rejection does not prove that the attempt never ran.
    pub fn new(
        context: Rc<RequestContext>,
        at_most_once: Vec<bool>,
        rejection_may_have_run: bool,
    ) -> RequestAdmission {
        RequestAdmission { context, at_most_once, rejection_may_have_run }
    }

    /// Admits a request and starts its task.
    ///
    /// # Errors
    /// [`DuplicateRequestId`] if a request with the same id is in progress. Workers identify jobs by this id,
    /// so they would reject the second one or confuse it with the first.
    pub fn admit(&self, job: Job) -> Result<RequestHandle, DuplicateRequestId> {
        let is_new = self.context.ids_in_progress.borrow_mut().insert(job.payload.id.clone());
        if !is_new {
            self.context.counters.duplicate_ids.increment();
            debug!(id = %job.payload.id, "request refused: its id is in progress");
            return Err(DuplicateRequestId);
        }
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

    fn new_request(&self, id: RequestId, job: Job) -> NewRequest {
        let state = RequestState {
            client_close_detector: job.client_close_detector,
            checks: self.checks(job.class),
            ..RequestState::default()
        };
        NewRequest {
            id,
            class: job.class,
            deadline: job.deadline,
            payload: Rc::new(job.payload),
            body_permit: job.body_permit,
            state: Rc::new(state),
        }
    }

    /// The run-time checks of a new request. An unknown class is treated as at-most-once.
    fn checks(&self, class: usize) -> RequestChecks {
        let at_most_once = self.at_most_once.get(class).copied().unwrap_or(true);
        RequestChecks::new(at_most_once, self.rejection_may_have_run)
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
