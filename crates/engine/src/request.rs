//! One request's life, in one task: taken, decided on, executed, and answered once.
//!
//! Nothing here knows how the client speaks: a front hands in a [`Job`] and gets one [`Answer`].

use crate::attempt::{self, AttemptSpec};
use crate::attempt_end::AttemptEnd;
use crate::body_admission::BodyPermit;
use crate::counters::{Counters, RequestEnd};
use crate::dispatcher_loop::DispatcherLoop;
use crate::invariants::{Invariant, RequestGuard};
use crate::job::{Answer, Job, RequestMessage, RequestPayload, RequestState};
use crate::tasks::Tasks;
use crate::upstreams::Upstreams;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Timer;
use futures_lite::future::or;
use sorrelhaven_dispatcher::{Arrival, Event, Micros, RequestId, WorkerId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// A request that nothing has answered so long after its deadline is answered by that alone. Attempts end at the deadline
/// by themselves and the module answers on that, so this acts only where a message or a wake-up was lost.
const ANSWER_GUARD: Duration = Duration::from_millis(100);

/// An execution that has not ended.
struct RunningAttempt {
    worker: WorkerId,
    sent: Micros,
    written: Rc<Cell<bool>>,
    task: Task<()>,
}

/// What a request's task waits for.
enum Wake {
    /// A message of the module, an attempt or the front.
    Message(RequestMessage),
    /// Its deadline passed some time ago.
    Overdue,
}

/// A request on its way, as the front sees it.
pub struct RequestHandle {
    mail: Sender<RequestMessage>,
    answer: Receiver<Answer>,
}

impl RequestHandle {
    /// The answer; `None` only if the request's task ended without one.
    pub async fn answer(&self) -> Option<Answer> {
        self.answer.recv().await.ok()
    }

    /// The client has left.
    pub fn client_disconnected(&self) {
        let _ = self.mail.try_send(RequestMessage::ClientDisconnected);
    }
}

/// All requests, and what they are carried out with.
pub struct Requests {
    /// The desk.
    pub dispatcher_loop: Rc<DispatcherLoop>,
    /// The ways to executors.
    pub upstreams: Rc<Upstreams>,
    /// The counters.
    pub counters: Rc<Counters>,
    /// Where their tasks run.
    pub tasks: Rc<Tasks>,
    /// Whether a request of each class must not run twice.
    pub at_most_once: Vec<bool>,
    /// An executor's word that it is full does not prove that the attempt never ran.
    pub rejection_may_have_run: bool,
    /// The ids of the requests that are open.
    pub open_ids: RefCell<HashSet<Rc<str>>>,
}

impl Requests {
    /// Takes a request; `None` where one of the same id is open: executors know their jobs by it, so a second
    /// one would be turned away there, or mixed up with the first.
    pub fn take(self: &Rc<Self>, job: Job) -> Option<RequestHandle> {
        let name = job.payload.id.clone();
        if !self.open_ids.borrow_mut().insert(name.clone()) {
            return None;
        }
        let (mail, inbox) = async_channel::unbounded();
        let (reply, answer) = async_channel::bounded(1);
        self.counters.request_admitted(job.class);
        let single_run = self.at_most_once.get(job.class).copied().unwrap_or(true);
        let guard = RequestGuard::new(single_run, self.rejection_may_have_run);
        let life = RequestTask {
            requests: self.clone(),
            id: self.dispatcher_loop.register_request(mail.clone()),
            class: job.class,
            deadline: job.deadline,
            name,
            messages: mail.clone(),
            reply,
            body_permit: None,
            state: Rc::new(RequestState {
                client_probe: job.client_probe.clone(),
                guard,
                ..RequestState::default()
            }),
            attempts: HashMap::new(),
        };
        self.tasks.spawn(life.run(job, inbox));
        Some(RequestHandle { mail, answer })
    }
}

struct RequestTask {
    requests: Rc<Requests>,
    id: RequestId,
    class: usize,
    deadline: Micros,
    name: Rc<str>,
    messages: Sender<RequestMessage>,
    reply: Sender<Answer>,
    body_permit: Option<BodyPermit>,
    state: Rc<RequestState>,
    attempts: HashMap<u32, RunningAttempt>,
}

impl RequestTask {
    async fn run(mut self, job: Job, inbox: Receiver<RequestMessage>) {
        let request = self.id;
        let Job {
            class,
            deadline: due,
            work_hint: hint,
            slots: width,
            is_retry: resent,
            affinity_key: key,
            body_sendable: sendable,
            body_permit: place,
            payload: parcel,
            client_probe: _,
        } = job;
        self.body_permit = place;
        let parcel = Rc::new(parcel);
        let mut attempts = 0;
        self.requests.dispatcher_loop.dispatch(Event::Arrival(Arrival {
            request,
            class,
            deadline: due,
            work_hint: hint,
            slots: width,
            is_retry: resent,
            affinity_key: key,
            body_sendable: sendable,
        }));
        // A request is over when it has its answer and every execution its outcome, also one that the module has asked
        // for and that is still in the box: without it the module would count on that execution for ever.
        let mut guard = Timer::at(self.requests.dispatcher_loop.clock.instant(due) + ANSWER_GUARD);
        while !(self.state.concluded.get() && self.attempts.is_empty() && inbox.is_empty()) {
            let message = async { inbox.recv().await.ok().map(Wake::Message) };
            let overdue = async {
                (&mut guard).await;
                Some(Wake::Overdue)
            };
            let Some(wake) = or(message, overdue).await else { break };
            let mail = match wake {
                Wake::Message(mail) => mail,
                Wake::Overdue => {
                    guard.clear();
                    self.answer_overdue();
                    continue;
                }
            };
            match mail {
                RequestMessage::Send { worker, deadline, send_by: before } => {
                    let attempt = attempts;
                    attempts += 1;
                    self.send(&parcel, attempt, worker, deadline.min(due), before);
                }
                RequestMessage::Cancel { attempt } => self.ended(attempt, AttemptEnd::Cancelled, Vec::new()),
                RequestMessage::Reject { retry_after } => self.answer(Answer::Rejected { retry_after }),
                RequestMessage::Fail => self.answer(Answer::Failed),
                RequestMessage::AttemptStarted { attempt } => {
                    if let Some(&RunningAttempt { worker, .. }) = self.attempts.get(&attempt) {
                        self.requests.dispatcher_loop.dispatch(Event::AttemptStarted {
                            request,
                            attempt,
                            worker,
                        });
                    }
                }
                RequestMessage::AttemptProgress { attempt, share } => {
                    if let Some(&RunningAttempt { worker, .. }) = self.attempts.get(&attempt) {
                        self.requests.dispatcher_loop.dispatch(Event::AttemptProgress {
                            request,
                            attempt,
                            worker,
                            share,
                        });
                    }
                }
                RequestMessage::RequestSent { attempt } => {
                    self.body_permit = None;
                    // A box is not slow because a long body takes its time to get there.
                    let now = self.requests.dispatcher_loop.clock.now();
                    if let Some(execution) = self.attempts.get_mut(&attempt) {
                        execution.sent = now;
                        let worker = execution.worker;
                        self.requests.dispatcher_loop.dispatch(Event::RequestSent {
                            request,
                            attempt,
                            worker,
                        });
                    }
                }
                RequestMessage::BodyConsumed => {
                    self.requests.dispatcher_loop.dispatch(Event::BodyConsumed(request))
                }
                RequestMessage::AttemptEnded { attempt, end: ending, load_report: load } => {
                    self.ended(attempt, ending, load)
                }
                RequestMessage::ClientDisconnected => {
                    if !self.state.concluded.replace(true) {
                        self.body_permit = None;
                        self.state.client_left_at.set(Some(Instant::now()));
                        if !self.state.fully_sent.get() {
                            self.requests.counters.lapsed_waiting.add();
                        }
                        self.requests.counters.request_concluded(self.class, RequestEnd::ClientGone);
                        self.requests.dispatcher_loop.dispatch(Event::ClientDisconnected(request));
                    }
                }
            }
        }
    }

    /// Begins an execution, which waits until `deadline` and is not sent any more from `before` on. One that comes after
    /// the answer is never sent.
    fn send(
        &mut self,
        parcel: &Rc<RequestPayload>,
        attempt: u32,
        worker: WorkerId,
        deadline: Micros,
        before: Micros,
    ) {
        let Requests { dispatcher_loop: desk, upstreams: ways, counters, tasks, .. } = &*self.requests;
        counters.sent.add();
        debug!(id = %self.name, attempt, worker = worker.0, "attempt started");
        let (deadline, before) = (desk.clock.instant(deadline), desk.clock.instant(before.min(deadline)));
        let written = Rc::<Cell<bool>>::default();
        let fate = self.state.clone();
        let order = AttemptSpec {
            attempt,
            worker,
            deadline,
            send_by: before,
            request: fate,
            fully_sent: written.clone(),
        };
        let task = if self.state.concluded.get() {
            let _ = self.messages.try_send(RequestMessage::AttemptEnded {
                attempt,
                end: AttemptEnd::RequestConcluded,
                load_report: Vec::new(),
            });
            tasks.hold(std::future::ready(()))
        } else {
            tasks.hold(attempt::run(ways.clone(), parcel.clone(), order, self.messages.clone()))
        };
        self.attempts.insert(attempt, RunningAttempt { worker, sent: desk.clock.now(), written, task });
    }

    /// Gives an execution its one outcome. Of two ways to end that cross, the first counts.
    fn ended(&mut self, attempt: u32, ending: AttemptEnd, report: Vec<f64>) {
        let Some(RunningAttempt { worker, sent, written, task }) = self.attempts.remove(&attempt) else {
            return;
        };
        self.state.guard.ended(&ending, written.get());
        debug!(id = %self.name, attempt, worker = worker.0, ?ending, written = written.get(), "attempt ended");
        let outcome = ending.outcome();
        self.requests.counters.attempt_ended(outcome);
        match ending {
            AttemptEnd::Cancelled => drop(task),
            _ => task.detach(),
        }
        if let AttemptEnd::Completed(result) = ending {
            self.answer(Answer::Served(result));
        }
        let took = self.requests.dispatcher_loop.clock.now() - sent;
        let (request, closed) = (self.id, self.state.concluded.get());
        self.requests.dispatcher_loop.dispatch(Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            elapsed: took,
            request_concluded: closed,
            load_report: report,
        });
    }

    /// Answers a request for which nothing else did, and has the module withdraw what is still out for it.
    fn answer_overdue(&mut self) {
        if self.state.concluded.get() {
            return;
        }
        let attempts = self.attempts.len();
        warn!(id = %self.name, attempts, "request overdue, answered by the deadline guard");
        self.requests.counters.answered_by_guard.add();
        self.answer(Answer::Failed);
        self.requests.dispatcher_loop.dispatch(Event::ClientDisconnected(self.id));
        let out: Vec<u32> = self.attempts.keys().copied().collect();
        out.into_iter().for_each(|attempt| self.ended(attempt, AttemptEnd::Cancelled, Vec::new()));
    }

    /// Gives the client its one answer.
    fn answer(&mut self, answer: Answer) {
        if !self.state.concluded.replace(true) {
            self.body_permit = None;
            if matches!(answer, Answer::Rejected { .. }) {
                self.state.guard.refused(&self.requests.counters.invariants, &self.name);
            }
            debug!(id = %self.name, ?answer, "request concluded");
            let late = self.requests.dispatcher_loop.clock.now() - self.deadline;
            if late > 0 {
                self.requests.counters.answered_late.add();
                debug!(id = %self.name, late_us = late, "request concluded after its deadline");
            }
            let end = match answer {
                Answer::Served(_) => RequestEnd::Served,
                Answer::Rejected { .. } => RequestEnd::Rejected,
                Answer::Failed => RequestEnd::Failed,
            };
            self.requests.counters.request_concluded(self.class, end);
            let _ = self.reply.try_send(answer);
        }
    }
}

impl Drop for RequestTask {
    fn drop(&mut self) {
        let counters = &self.requests.counters;
        let (answered, all_ended) = (self.state.concluded.get(), self.attempts.is_empty());
        counters.invariants.check(Invariant::OneFinalAnswer, &self.name, answered);
        counters.invariants.check(Invariant::OneOutcomePerAttempt, &self.name, all_ended);
        if !answered {
            // The client hears of a fault of the node's own.
            counters.request_concluded(self.class, RequestEnd::Failed);
        }
        self.requests.dispatcher_loop.deregister_request(self.id);
        self.requests.open_ids.borrow_mut().remove(&self.name);
    }
}
