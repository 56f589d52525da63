//! Admits requests: registers each with the dispatcher and starts its task.
//!
//! A front end submits a [`Job`] and receives one [`Answer`], whatever the client's protocol.

use crate::invariants::RequestChecks;
use crate::job::{Answer, Job, RequestMessage, RequestState};
use crate::request_task::{NewRequest, RequestContext, RequestTask};
use async_channel::{Receiver, Sender};
use sorrelhaven_dispatcher::{Arrival, RequestId};
use std::fmt;
use std::rc::Rc;

/// The front end's handle on a request in progress.
pub struct RequestHandle {
    messages: Sender<RequestMessage>,
    answer: Receiver<Answer>,
}

impl RequestHandle {
    /// Waits for the answer; `None` only if the request's task ended without one.
    pub async fn answer(&self) -> Option<Answer> {
        self.answer.recv().await.ok()
    }

    /// Reports that the client has disconnected: the request needs no answer any more.
    pub fn client_disconnected(&self) {
        // A task that has ended has answered already.
        let _ = self.messages.try_send(RequestMessage::ClientDisconnected);
    }
}

/// A request was not admitted, because one of the same id is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateRequestId;

impl fmt::Display for DuplicateRequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a request of this id is in progress")
    }
}

impl std::error::Error for DuplicateRequestId {}

/// Admits requests and rejects those whose id is in use.
pub struct RequestAdmission {
    context: Rc<RequestContext>,
    at_most_once: Vec<bool>,
    rejection_may_have_run: bool,
}

impl RequestAdmission {
    /// An admission of requests whose tasks share `context`.
    ///
    /// `at_most_once`: whether the requests of a class must not run twice, by the class's index in the
    /// settings. `rejection_may_have_run`: whether an attempt that a worker rejected may have run all the
    /// same.
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
    /// A request of the same id is in progress: workers know their jobs by id, so a second one would be
    /// rejected there, or mixed up with the first.
    pub fn admit(&self, job: Job) -> Result<RequestHandle, DuplicateRequestId> {
        let is_new = self.context.ids_in_progress.borrow_mut().insert(job.payload.id.clone());
        if !is_new {
            return Err(DuplicateRequestId);
        }
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
            client_probe: job.client_probe,
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

    /// The run-time checks for a new request; an unknown class is held to the strictest rule.
    fn checks(&self, class: usize) -> RequestChecks {
        let at_most_once = self.at_most_once.get(class).copied().unwrap_or(true);
        RequestChecks::new(at_most_once, self.rejection_may_have_run)
    }
}

/// What the dispatcher needs to know of a new request.
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
