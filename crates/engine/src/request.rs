//! One request's life, in one task: taken, decided on, executed, and answered once.
//!
//! Nothing here knows how the client speaks: a front hands in a [`Job`] and gets one [`Answer`].

use crate::counters::{Counters, End};
use crate::desk::Desk;
use crate::ending::Ending;
use crate::execution::{self, Order};
use crate::invariants::{Invariant, RequestGuard};
use crate::job::{Answer, Fate, Job, Mail, Parcel};
use crate::places::Place;
use crate::tasks::Tasks;
use crate::ways::Ways;
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
struct Execution {
    worker: WorkerId,
    sent: Micros,
    written: Rc<Cell<bool>>,
    task: Task<()>,
}

/// What a request's task waits for.
enum Wake {
    /// A message of the module, an attempt or the front.
    Message(Mail),
    /// Its deadline passed some time ago.
    Overdue,
}

/// A request on its way, as the front sees it.
pub struct Ticket {
    mail: Sender<Mail>,
    answer: Receiver<Answer>,
}

impl Ticket {
    /// The answer; `None` only if the request's task ended without one.
    pub async fn answer(&self) -> Option<Answer> {
        self.answer.recv().await.ok()
    }

    /// The client has left.
    pub fn leave(&self) {
        let _ = self.mail.try_send(Mail::Left);
    }
}

/// All requests, and what they are carried out with.
pub struct Requests {
    /// The desk.
    pub desk: Rc<Desk>,
    /// The ways to executors.
    pub ways: Rc<Ways>,
    /// The counters.
    pub counters: Rc<Counters>,
    /// Where their tasks run.
    pub tasks: Rc<Tasks>,
    /// Whether a request of each class must not run twice.
    pub single_run: Vec<bool>,
    /// An executor's word that it is full does not prove that the attempt never ran.
    pub full_is_no_proof: bool,
    /// The ids of the requests that are open.
    pub open_ids: RefCell<HashSet<Rc<str>>>,
}

impl Requests {
    /// Takes a request; `None` where one of the same id is open: executors know their jobs by it, so a second
    /// one would be turned away there, or mixed up with the first.
    pub fn take(self: &Rc<Self>, job: Job) -> Option<Ticket> {
        let name = job.parcel.id.clone();
        if !self.open_ids.borrow_mut().insert(name.clone()) {
            return None;
        }
        let (mail, inbox) = async_channel::unbounded();
        let (reply, answer) = async_channel::bounded(1);
        self.counters.took(job.class);
        let single_run = self.single_run.get(job.class).copied().unwrap_or(true);
        let guard = RequestGuard::new(single_run, self.full_is_no_proof);
        let life = Life {
            requests: self.clone(),
            id: self.desk.open(mail.clone()),
            class: job.class,
            due: job.due,
            name,
            mail: mail.clone(),
            reply,
            place: None,
            fate: Rc::new(Fate { client: job.client.clone(), guard, ..Fate::default() }),
            executions: HashMap::new(),
        };
        self.tasks.spawn(life.run(job, inbox));
        Some(Ticket { mail, answer })
    }
}

struct Life {
    requests: Rc<Requests>,
    id: RequestId,
    class: usize,
    due: Micros,
    name: Rc<str>,
    mail: Sender<Mail>,
    reply: Sender<Answer>,
    place: Option<Place>,
    fate: Rc<Fate>,
    executions: HashMap<u32, Execution>,
}

impl Life {
    async fn run(mut self, job: Job, inbox: Receiver<Mail>) {
        let request = self.id;
        let Job { class, due, hint, width, resent, key, sendable, place, parcel, client: _ } = job;
        self.place = place;
        let parcel = Rc::new(parcel);
        let mut attempts = 0;
        self.requests.desk.tell(Event::Arrival(Arrival {
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
        let mut guard = Timer::at(self.requests.desk.clock.instant(due) + ANSWER_GUARD);
        while !(self.fate.over.get() && self.executions.is_empty() && inbox.is_empty()) {
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
                Mail::Send { worker, deadline, before } => {
                    let attempt = attempts;
                    attempts += 1;
                    self.send(&parcel, attempt, worker, deadline.min(due), before);
                }
                Mail::Cancel { attempt } => self.ended(attempt, Ending::Withdrawn, Vec::new()),
                Mail::Refuse { retry_after } => self.answer(Answer::Throttled { retry_after }),
                Mail::Fail => self.answer(Answer::Failed),
                Mail::Started { attempt } => {
                    if let Some(&Execution { worker, .. }) = self.executions.get(&attempt) {
                        self.requests.desk.tell(Event::AttemptStarted { request, attempt, worker });
                    }
                }
                Mail::Running { attempt, share } => {
                    if let Some(&Execution { worker, .. }) = self.executions.get(&attempt) {
                        self.requests.desk.tell(Event::AttemptProgress { request, attempt, worker, share });
                    }
                }
                Mail::Written { attempt } => {
                    self.place = None;
                    // A box is not slow because a long body takes its time to get there.
                    let now = self.requests.desk.clock.now();
                    if let Some(execution) = self.executions.get_mut(&attempt) {
                        execution.sent = now;
                        let worker = execution.worker;
                        self.requests.desk.tell(Event::RequestSent { request, attempt, worker });
                    }
                }
                Mail::PassedOn => self.requests.desk.tell(Event::BodyConsumed(request)),
                Mail::Ended { attempt, ending, load } => self.ended(attempt, ending, load),
                Mail::Left => {
                    if !self.fate.over.replace(true) {
                        self.place = None;
                        self.fate.left.set(Some(Instant::now()));
                        if !self.fate.written.get() {
                            self.requests.counters.lapsed_waiting.add();
                        }
                        self.requests.counters.gave(self.class, End::Lapsed);
                        self.requests.desk.tell(Event::ClientDisconnected(request));
                    }
                }
            }
        }
    }

    /// Begins an execution, which waits until `deadline` and is not sent any more from `before` on. One that comes after
    /// the answer is never sent.
    fn send(
        &mut self,
        parcel: &Rc<Parcel>,
        attempt: u32,
        worker: WorkerId,
        deadline: Micros,
        before: Micros,
    ) {
        let Requests { desk, ways, counters, tasks, .. } = &*self.requests;
        counters.sent.add();
        debug!(id = %self.name, attempt, worker = worker.0, "attempt begun");
        let (deadline, before) = (desk.clock.instant(deadline), desk.clock.instant(before.min(deadline)));
        let written = Rc::<Cell<bool>>::default();
        let fate = self.fate.clone();
        let order = Order { attempt, worker, deadline, before, fate, written: written.clone() };
        let task = if self.fate.over.get() {
            let _ = self.mail.try_send(Mail::Ended { attempt, ending: Ending::Concluded, load: Vec::new() });
            tasks.hold(std::future::ready(()))
        } else {
            tasks.hold(execution::run(ways.clone(), parcel.clone(), order, self.mail.clone()))
        };
        self.executions.insert(attempt, Execution { worker, sent: desk.clock.now(), written, task });
    }

    /// Gives an execution its one outcome. Of two ways to end that cross, the first counts.
    fn ended(&mut self, attempt: u32, ending: Ending, report: Vec<f64>) {
        let Some(Execution { worker, sent, written, task }) = self.executions.remove(&attempt) else {
            return;
        };
        self.fate.guard.ended(&ending, written.get());
        debug!(id = %self.name, attempt, worker = worker.0, ?ending, written = written.get(), "attempt ended");
        let outcome = ending.outcome();
        self.requests.counters.ended(outcome);
        match ending {
            Ending::Withdrawn => drop(task),
            _ => task.detach(),
        }
        if let Ending::Done(result) = ending {
            self.answer(Answer::Served(result));
        }
        let took = self.requests.desk.clock.now() - sent;
        let (request, closed) = (self.id, self.fate.over.get());
        self.requests.desk.tell(Event::AttemptEnded {
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
        if self.fate.over.get() {
            return;
        }
        let attempts = self.executions.len();
        warn!(id = %self.name, attempts, "a request past its deadline had no answer");
        self.requests.counters.answered_by_guard.add();
        self.answer(Answer::Failed);
        self.requests.desk.tell(Event::ClientDisconnected(self.id));
        let out: Vec<u32> = self.executions.keys().copied().collect();
        out.into_iter().for_each(|attempt| self.ended(attempt, Ending::Withdrawn, Vec::new()));
    }

    /// Gives the client its one answer.
    fn answer(&mut self, answer: Answer) {
        if !self.fate.over.replace(true) {
            self.place = None;
            if matches!(answer, Answer::Throttled { .. }) {
                self.fate.guard.refused(&self.requests.counters.invariants, &self.name);
            }
            debug!(id = %self.name, ?answer, "answered");
            let late = self.requests.desk.clock.now() - self.due;
            if late > 0 {
                self.requests.counters.answered_late.add();
                debug!(id = %self.name, late_us = late, "answered after its deadline");
            }
            let end = match answer {
                Answer::Served(_) => End::Served,
                Answer::Throttled { .. } => End::Throttled,
                Answer::Failed => End::Failed,
            };
            self.requests.counters.gave(self.class, end);
            let _ = self.reply.try_send(answer);
        }
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        let counters = &self.requests.counters;
        let (answered, all_ended) = (self.fate.over.get(), self.executions.is_empty());
        counters.invariants.check(Invariant::OneFinalAnswer, &self.name, answered);
        counters.invariants.check(Invariant::OneOutcomePerAttempt, &self.name, all_ended);
        if !answered {
            // The client hears of a fault of the node's own.
            counters.gave(self.class, End::Failed);
        }
        self.requests.desk.close(self.id);
        self.requests.open_ids.borrow_mut().remove(&self.name);
    }
}
