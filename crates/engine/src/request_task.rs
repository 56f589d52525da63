//! The task of one request: runs its attempts and answers it once.
//!
//! The dispatcher makes all decisions. The task carries them out and reports the results to it.

use crate::attempt;
use crate::attempt_end::AttemptEnd;
use crate::attempt_spec::AttemptSpec;
use crate::body_admission::BodyPermit;
use crate::counters::{Counters, RequestEnd};
use crate::dispatcher_loop::DispatcherLoop;
use crate::invariants::Invariant;
use crate::job::{Answer, RequestMessage, RequestPayload, RequestState};
use crate::tasks::Tasks;
use crate::upstreams::Upstreams;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Timer;
use futures_lite::future::{or, ready};
use sorrelhaven_dispatcher::{Arrival, Event, Micros, RequestId, WorkerId};
use sorrelhaven_handover::ClaimTable;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// A request that has no answer this long after its deadline is failed by its own task. Attempts end at the
/// deadline, and the dispatcher then answers, so this happens only if a message or a wake-up was lost.
const OVERDUE_ANSWER_DELAY: Duration = Duration::from_millis(100);

/// An attempt that has no outcome yet.
struct RunningAttempt {
    worker: WorkerId,
    /// Start of the elapsed time that is reported to the dispatcher: when the attempt was started or, for a
    /// long body, when its last byte was written, which excludes the transfer.
    timed_from: Micros,
    /// Whether the last byte of the attempt's request was written.
    fully_sent: Rc<Cell<bool>>,
    task: Task<()>,
}

/// Why a request's task wakes up.
enum Wakeup {
    /// The dispatcher, an attempt or the front end sent a message.
    Message(RequestMessage),
    /// [`OVERDUE_ANSWER_DELAY`] has passed since the request's deadline.
    Overdue,
}

/// The parts of the node that the tasks of all requests share.
pub struct RequestContext {
    /// Passes events to the dispatcher, and routes its actions to requests, timers, probes and the log.
    pub dispatcher_loop: Rc<DispatcherLoop>,
    /// The known workers and the pooled connections to them.
    pub upstreams: Rc<Upstreams>,
    /// The node's counters.
    pub counters: Rc<Counters>,
    /// The executor of all tasks.
    pub tasks: Rc<Tasks>,
    /// The ids of the requests in progress.
    pub ids_in_progress: RefCell<HashSet<Rc<str>>>,
    /// The ids of requests that must not run twice: those in progress, and those that may have run.
    pub claims: Rc<ClaimTable>,
}

/// A request as it is admitted.
pub struct NewRequest {
    /// The id of the request at the dispatcher.
    pub id: RequestId,
    /// The index of the request's class in the settings.
    pub class: usize,
    /// Whether the request's id is claimed, so that it is not sent again once it may have run.
    pub is_claimed: bool,
    /// When the answer must be sent to the client, in dispatcher time.
    pub deadline: Micros,
    /// The request that is sent to workers.
    pub payload: Rc<RequestPayload>,
    /// The permit for a long body, until the body is fully sent or the request is concluded.
    pub body_permit: Option<BodyPermit>,
    /// The state that the request shares with its attempts.
    pub state: Rc<RequestState>,
}

/// A request in progress.
pub struct RequestTask {
    context: Rc<RequestContext>,
    request: NewRequest,
    /// Cloned for each attempt, which reports through it.
    messages: Sender<RequestMessage>,
    answer_sender: Sender<Answer>,
    /// The attempts that have no outcome yet, by number.
    attempts: HashMap<u32, RunningAttempt>,
    attempts_begun: u32,
}

impl RequestTask {
    /// Creates the task of an admitted request. Attempts report through `messages`, and the answer goes to
    /// `answer_sender`.
    pub fn new(
        context: Rc<RequestContext>,
        request: NewRequest,
        messages: Sender<RequestMessage>,
        answer_sender: Sender<Answer>,
    ) -> RequestTask {
        RequestTask { context, request, messages, answer_sender, attempts: HashMap::new(), attempts_begun: 0 }
    }

    /// Runs the request from its arrival until it is concluded and all its attempts have ended.
    pub async fn run(mut self, arrival: Arrival, messages: Receiver<RequestMessage>) {
        self.dispatch(Event::Arrival(arrival));
        let clock = self.context.dispatcher_loop.clock;
        let mut overdue_timer = Timer::at(clock.instant(self.request.deadline) + OVERDUE_ANSWER_DELAY);
        while !self.is_finished(&messages) {
            match next_wakeup(&messages, &mut overdue_timer).await {
                Some(Wakeup::Message(message)) => self.handle(message),
                Some(Wakeup::Overdue) => {
                    overdue_timer.clear();
                    self.fail_overdue_request();
                }
                None => break,
            }
        }
    }

    /// Whether the request is concluded, all its attempts have ended, and no message is queued. A queued
    /// message may start another attempt, which needs an outcome, or the dispatcher would count it as running
    /// forever.
    fn is_finished(&self, messages: &Receiver<RequestMessage>) -> bool {
        self.request.state.concluded.get() && self.attempts.is_empty() && messages.is_empty()
    }

    fn handle(&mut self, message: RequestMessage) {
        match message {
            RequestMessage::Send { worker, deadline, send_by } => {
                self.begin_attempt(worker, deadline.min(self.request.deadline), send_by);
            }
            RequestMessage::Cancel { attempt } => {
                self.end_attempt(attempt, AttemptEnd::Cancelled, Vec::new());
            }
            RequestMessage::Reject { retry_after } => self.answer(Answer::Rejected { retry_after }),
            RequestMessage::Fail => self.answer(Answer::Failed),
            RequestMessage::AttemptStarted { attempt } => self.attempt_started(attempt),
            RequestMessage::AttemptProgress { attempt, completed_fraction } => {
                self.attempt_progress(attempt, completed_fraction)
            }
            RequestMessage::RequestSent { attempt } => self.request_sent(attempt),
            RequestMessage::BodyConsumed => self.dispatch(Event::BodyConsumed(self.request.id)),
            RequestMessage::AttemptEnded { attempt, end, load_report } => {
                self.end_attempt(attempt, end, load_report);
            }
            RequestMessage::ClientDisconnected => self.client_disconnected(),
        }
    }

    fn dispatch(&self, event: Event) {
        self.context.dispatcher_loop.dispatch(event);
    }

    /// The client's id for the request, which logs and workers use too.
    fn client_request_id(&self) -> &str {
        &self.request.payload.id
    }

    fn now(&self) -> Micros {
        self.context.dispatcher_loop.clock.now()
    }

    /// Starts an attempt that waits until `deadline` and must not be sent at `send_by` or later.
    fn begin_attempt(&mut self, worker: WorkerId, deadline: Micros, send_by: Micros) {
        let attempt = self.attempts_begun;
        self.attempts_begun += 1;
        self.context.counters.attempts.increment();
        debug!(id = %self.client_request_id(), attempt, worker = worker.0, "attempt started");
        let clock = self.context.dispatcher_loop.clock;
        let fully_sent = Rc::<Cell<bool>>::default();
        let spec = AttemptSpec {
            attempt,
            worker,
            deadline: clock.instant(deadline),
            send_by: clock.instant(send_by.min(deadline)),
            request: self.request.state.clone(),
            fully_sent: fully_sent.clone(),
        };
        let task = self.start_attempt_task(spec);
        let timed_from = self.now();
        self.attempts.insert(attempt, RunningAttempt { worker, timed_from, fully_sent, task });
    }

    /// Starts the task of an attempt. If the request is already concluded, which the dispatcher may not have
    /// known when it requested the attempt, the attempt ends at once without being sent.
    fn start_attempt_task(&self, spec: AttemptSpec) -> Task<()> {
        let tasks = &self.context.tasks;
        if self.request.state.concluded.get() {
            let _ = self.messages.try_send(RequestMessage::AttemptEnded {
                attempt: spec.attempt,
                end: AttemptEnd::RequestConcluded,
                load_report: Vec::new(),
            });
            return tasks.spawn_cancellable(ready(()));
        }
        let upstreams = self.context.upstreams.clone();
        tasks.spawn_cancellable(attempt::run(
            upstreams,
            self.request.payload.clone(),
            spec,
            self.messages.clone(),
        ))
    }

    /// Reports to the dispatcher that the worker has started the job.
    fn attempt_started(&self, attempt: u32) {
        if let Some(&RunningAttempt { worker, .. }) = self.attempts.get(&attempt) {
            self.dispatch(Event::AttemptStarted { request: self.request.id, attempt, worker });
        }
    }

    /// Reports the fraction of the job that is done, from 0 to 1, to the dispatcher.
    fn attempt_progress(&self, attempt: u32, completed_fraction: f64) {
        if let Some(&RunningAttempt { worker, .. }) = self.attempts.get(&attempt) {
            self.dispatch(Event::AttemptProgress {
                request: self.request.id,
                attempt,
                worker,
                completed_fraction,
            });
        }
    }

    /// The last byte of a long body was written: releases the body permit, counts the attempt's elapsed time
    /// from now, and notifies the dispatcher.
    fn request_sent(&mut self, attempt: u32) {
        self.request.body_permit = None;
        let now = self.now();
        let Some(running) = self.attempts.get_mut(&attempt) else { return };
        // The transfer time of a long body says nothing about the worker's speed.
        running.timed_from = now;
        let worker = running.worker;
        self.dispatch(Event::RequestSent { request: self.request.id, attempt, worker });
    }

    /// Records the outcome of an attempt. If the attempt ends and is also cancelled, the message that is
    /// handled first determines the outcome, and the other one has no effect.
    fn end_attempt(&mut self, attempt: u32, end: AttemptEnd, load_report: Vec<f64>) {
        let Some(RunningAttempt { worker, timed_from, fully_sent, task }) = self.attempts.remove(&attempt)
        else {
            return;
        };
        let fully_sent = fully_sent.get();
        self.request.state.checks.attempt_ended(&end, fully_sent);
        debug!(id = %self.client_request_id(), attempt, worker = worker.0, ?end, fully_sent, "attempt ended");
        let outcome = end.outcome();
        self.context.counters.attempt_ended(outcome);
        match end {
            AttemptEnd::Cancelled => drop(task),
            // The detached task reads the response to its end, so that its connection can be reused.
            _ => task.detach(),
        }
        if let AttemptEnd::Completed(result) = end {
            self.answer(Answer::Served(result));
        }
        self.dispatch(Event::AttemptEnded {
            request: self.request.id,
            attempt,
            worker,
            outcome,
            elapsed: self.now() - timed_from,
            request_concluded: self.request.state.concluded.get(),
            load_report,
        });
    }

    fn client_disconnected(&mut self) {
        if self.request.state.concluded.replace(true) {
            return;
        }
        self.request.body_permit = None;
        self.request.state.client_disconnected_at.set(Some(Instant::now()));
        let fully_sent = self.request.state.fully_sent.get();
        debug!(id = %self.client_request_id(), fully_sent, "client disconnected");
        if !fully_sent {
            self.context.counters.client_gone_waiting.increment();
        }
        self.context.counters.request_concluded(self.request.class, RequestEnd::ClientDisconnected);
        self.dispatch(Event::ClientDisconnected(self.request.id));
    }

    /// Answers with a failure if the request is not concluded, and cancels its attempts.
    fn fail_overdue_request(&mut self) {
        if self.request.state.concluded.get() {
            return;
        }
        let attempts = self.attempts.len();
        warn!(id = %self.client_request_id(), attempts, "request overdue, answered by the deadline guard");
        self.context.counters.answered_by_deadline_guard.increment();
        self.answer(Answer::Failed);
        // Ends the request at the dispatcher too, which must not start further attempts.
        self.dispatch(Event::ClientDisconnected(self.request.id));
        let running: Vec<u32> = self.attempts.keys().copied().collect();
        for attempt in running {
            self.end_attempt(attempt, AttemptEnd::Cancelled, Vec::new());
        }
    }

    /// Gives up the claim of the request's id if it has not run, so that its client may send it again.
    fn release_claim(&self) {
        if !self.request.is_claimed || self.request.state.checks.may_have_run() {
            return;
        }
        if let Err(error) = self.context.claims.release(self.client_request_id()) {
            warn!(id = %self.client_request_id(), %error, "the claim of an id could not be released");
        }
    }

    /// Passes the answer to the front end, unless the request is already concluded.
    fn answer(&mut self, answer: Answer) {
        if self.request.state.concluded.replace(true) {
            return;
        }
        self.request.body_permit = None;
        if matches!(answer, Answer::Rejected { .. }) {
            self.request
                .state
                .checks
                .request_rejected(&self.context.counters.invariants, self.client_request_id());
        }
        debug!(id = %self.client_request_id(), ?answer, "request concluded");
        let late_by = self.now() - self.request.deadline;
        if late_by > 0 {
            self.context.counters.answered_late.increment();
            debug!(id = %self.client_request_id(), late_us = late_by, "request concluded after its deadline");
        }
        let end = match answer {
            Answer::Served(_) => RequestEnd::Served,
            Answer::Rejected { .. } => RequestEnd::Rejected,
            Answer::Failed => RequestEnd::Failed,
        };
        self.context.counters.request_concluded(self.request.class, end);
        // Sending fails only if the front end has dropped its handle, and then it needs no answer.
        let _ = self.answer_sender.try_send(answer);
    }
}

/// Waits for a message or the timer. Returns `None` if all senders of messages have been dropped.
async fn next_wakeup(messages: &Receiver<RequestMessage>, overdue_timer: &mut Timer) -> Option<Wakeup> {
    let message = async { messages.recv().await.ok().map(Wakeup::Message) };
    let overdue = async {
        overdue_timer.await;
        Some(Wakeup::Overdue)
    };
    or(message, overdue).await
}

impl Drop for RequestTask {
    fn drop(&mut self) {
        let counters = &self.context.counters;
        let answered = self.request.state.concluded.get();
        let all_ended = self.attempts.is_empty();
        counters.invariants.check(Invariant::OneFinalAnswer, self.client_request_id(), answered);
        counters.invariants.check(Invariant::OneOutcomePerAttempt, self.client_request_id(), all_ended);
        if !answered {
            // The answer channel closes with the task; the front end then reports a failure of the node to
            // the client.
            counters.request_concluded(self.request.class, RequestEnd::Failed);
        }
        self.release_claim();
        self.context.dispatcher_loop.deregister_request(self.request.id);
        self.context.ids_in_progress.borrow_mut().remove(self.client_request_id());
    }
}
