//! One dispatcher, and the names by which the wire knows its requests and workers.

use crate::error::BatchError;
use crate::host::WorkerLists;
use crate::wire::{ArrivalMessage, AttemptEndMessage, Command, Message};
use sorrelhaven_config::stable_hash;
use sorrelhaven_dispatcher::{
    Action, Arrival, Dispatcher, Event, Micros, Outcome, RequestId, Settings, WorkerEntry, WorkerId,
    WorkerListUpdate,
};
use std::collections::HashMap;

/// The codes of a job's notices.
const NOTICE_STARTED: u8 = 1;
/// See [`NOTICE_STARTED`].
const NOTICE_PROGRESS: u8 = 2;

/// The codes of a worker list's updates.
const UPDATE_DELTA: u8 = 0;
/// See [`UPDATE_DELTA`].
const UPDATE_FULL: u8 = 1;
/// See [`UPDATE_DELTA`].
const UPDATE_CACHED: u8 = 2;
/// See [`UPDATE_DELTA`].
const UPDATE_FAILED: u8 = 3;

/// The ids of workers, numbered in the order in which an instance hears of them.
#[derive(Default)]
struct WorkerNames {
    ids: HashMap<String, WorkerId>,
    names: Vec<String>,
}

impl WorkerNames {
    /// The id of this name; a new one for an unknown name.
    fn intern(&mut self, name: &str) -> WorkerId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = WorkerId(self.names.len() as u32);
        self.ids.insert(name.to_string(), id);
        self.names.push(name.to_string());
        id
    }

    fn name(&self, id: WorkerId) -> Option<String> {
        self.names.get(id.0 as usize).cloned()
    }
}

/// A request that has no final answer or an attempt without an outcome.
struct OpenRequest {
    name: String,
    outstanding_attempts: u32,
    concluded: bool,
}

/// The ids of requests.
#[derive(Default)]
struct OpenRequests {
    ids: HashMap<String, RequestId>,
    by_id: HashMap<RequestId, OpenRequest>,
    next_id: u64,
}

impl OpenRequests {
    fn open(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_string(), id);
        let request = OpenRequest { name: name.to_string(), outstanding_attempts: 0, concluded: false };
        self.by_id.insert(id, request);
        id
    }

    fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    fn name(&self, id: RequestId) -> Option<String> {
        self.by_id.get(&id).map(|request| request.name.clone())
    }

    fn record_attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.outstanding_attempts += 1;
        }
    }

    fn record_attempt_ended(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.outstanding_attempts = request.outstanding_attempts.saturating_sub(1);
        }
    }

    fn conclude(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.concluded = true;
        }
    }

    /// Forgets a request that has its final answer and no attempt outstanding.
    fn forget_if_complete(&mut self, id: RequestId) {
        let is_complete =
            self.by_id.get(&id).is_some_and(|request| request.concluded && request.outstanding_attempts == 0);
        if is_complete && let Some(request) = self.by_id.remove(&id) {
            self.ids.remove(&request.name);
        }
    }
}

/// One dispatcher of this process. Ids are numbered per instance, so that what it does cannot depend on
/// which others share the process.
pub struct Instance {
    dispatcher: Dispatcher,
    workers: WorkerNames,
    requests: OpenRequests,
}

impl Instance {
    /// An instance that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Instance {
            dispatcher: Dispatcher::new(settings, seed),
            workers: WorkerNames::default(),
            requests: OpenRequests::default(),
        }
    }

    /// Hands a message to the dispatcher and appends its actions as commands. A message about a request
    /// that is not open is dropped.
    ///
    /// # Errors
    /// If the message has an unknown code or refers to an unknown worker list.
    pub fn handle(
        &mut self,
        now: Micros,
        message: Message<'_>,
        lists: &WorkerLists,
        commands: &mut Vec<Command>,
    ) -> Result<(), BatchError> {
        let Some(event) = self.event(message, lists)? else { return Ok(()) };
        let ended = match &event {
            Event::AttemptEnded { request, .. } | Event::ClientDisconnected(request) => Some(*request),
            _ => None,
        };
        let mut actions = Vec::new();
        self.dispatcher.handle(now, event, &mut actions);
        commands.extend(actions.into_iter().filter_map(|action| self.command(action)));
        if let Some(request) = ended {
            self.requests.forget_if_complete(request);
        }
        Ok(())
    }

    /// The event that a message stands for, if it concerns the dispatcher.
    fn event(&mut self, message: Message<'_>, lists: &WorkerLists) -> Result<Option<Event>, BatchError> {
        Ok(match message {
            Message::WorkerListUpdate { list, mode } => {
                Some(Event::WorkerList(self.worker_list_update(list, mode, lists)?))
            }
            Message::Arrival(arrival) => Some(Event::Arrival(self.arrival(&arrival))),
            Message::JobNotice { request, worker, kind, progress, attempt } => {
                self.job_notice(&request, &worker, kind, progress, attempt)
            }
            Message::ResponseStreaming { request, worker, attempt } => {
                self.requests.id(&request).map(|request| {
                    let worker = self.workers.intern(&worker);
                    Event::ResponseStreaming { request, attempt, worker }
                })
            }
            Message::AttemptEnded(end) => self.attempt_ended(end)?,
            Message::ClientDisconnected { request } => self.requests.id(&request).map(|request| {
                self.requests.conclude(request);
                Event::ClientDisconnected(request)
            }),
            Message::ProbeEnded { worker, outcome, load_report } => Some(Event::ProbeEnded {
                worker: self.workers.intern(&worker),
                outcome: outcome_of(outcome)?,
                load_report,
            }),
            Message::Timer { token } => Some(Event::Timer(token)),
            Message::Note {}
            | Message::CreateInstance { .. }
            | Message::DropInstance {}
            | Message::WorkerList { .. } => None,
        })
    }

    fn worker_list_update(
        &mut self,
        list: usize,
        mode: u8,
        lists: &WorkerLists,
    ) -> Result<WorkerListUpdate, BatchError> {
        if mode == UPDATE_FAILED {
            return Ok(WorkerListUpdate::Failed);
        }
        let listed = lists.get(&list).ok_or(BatchError::UnknownWorkerList(list))?;
        let entries = listed
            .iter()
            .map(|listed| WorkerEntry { worker: self.workers.intern(&listed.name), ..listed.entry.clone() })
            .collect();
        match mode {
            UPDATE_DELTA => Ok(WorkerListUpdate::Delta(entries)),
            UPDATE_FULL => Ok(WorkerListUpdate::Full(entries)),
            UPDATE_CACHED => Ok(WorkerListUpdate::Cached(entries)),
            _ => Err(BatchError::UnknownUpdateMode(mode)),
        }
    }

    fn arrival(&mut self, message: &ArrivalMessage<'_>) -> Arrival {
        Arrival {
            request: self.requests.open(&message.request),
            class: message.class,
            deadline: message.deadline,
            work_hint: message.work_hint,
            slots: message.slots.unwrap_or(1.0),
            is_retry: message.is_retry,
            affinity_key: message.affinity_key.as_deref().map_or(0, stable_hash),
            body_sendable: true,
        }
    }

    fn job_notice(
        &mut self,
        request: &str,
        worker: &str,
        kind: u8,
        progress: f64,
        attempt: u32,
    ) -> Option<Event> {
        let request = self.requests.id(request)?;
        let worker = self.workers.intern(worker);
        match kind {
            NOTICE_STARTED => Some(Event::AttemptStarted { request, attempt, worker }),
            NOTICE_PROGRESS => Some(Event::AttemptProgress { request, attempt, worker, share: progress }),
            _ => None,
        }
    }

    fn attempt_ended(&mut self, end: AttemptEndMessage<'_>) -> Result<Option<Event>, BatchError> {
        let Some(request) = self.requests.id(&end.request) else { return Ok(None) };
        self.requests.record_attempt_ended(request);
        if end.request_concluded {
            self.requests.conclude(request);
        }
        Ok(Some(Event::AttemptEnded {
            request,
            attempt: end.attempt,
            worker: self.workers.intern(&end.worker),
            outcome: outcome_of(end.outcome)?,
            elapsed: end.elapsed,
            request_concluded: end.request_concluded,
            load_report: end.load_report,
        }))
    }

    /// The command that an action stands for; none if it concerns a request that is not open.
    fn command(&mut self, action: Action) -> Option<Command> {
        Some(match action {
            Action::Send { request, worker, timeout, .. } => {
                let name = self.requests.name(request)?;
                self.requests.record_attempt_sent(request);
                Command::Send { request: name, timeout, worker: self.workers.name(worker)? }
            }
            Action::Cancel { request, attempt } => {
                Command::Cancel { request: self.requests.name(request)?, attempt }
            }
            Action::Reject { request, retry_after } => {
                Command::Reject { request: self.conclude(request)?, retry_after }
            }
            Action::Fail { request } => Command::Fail { request: self.conclude(request)? },
            Action::Probe { worker } => Command::Probe { worker: self.workers.name(worker)? },
            Action::SetTimer { delay, token } => Command::SetTimer { delay, token },
            Action::WatchWorkerList => Command::WatchWorkerList { enable: true },
            Action::Log(text) => Command::Log { text },
        })
    }

    /// Concludes a request by an answer of the dispatcher itself; its name.
    fn conclude(&mut self, id: RequestId) -> Option<String> {
        let name = self.requests.name(id)?;
        self.requests.conclude(id);
        self.requests.forget_if_complete(id);
        Some(name)
    }
}

fn outcome_of(code: u8) -> Result<Outcome, BatchError> {
    match code {
        0 => Ok(Outcome::Ok),
        1 => Ok(Outcome::Error),
        2 => Ok(Outcome::Rejected),
        3 => Ok(Outcome::Timeout),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::NotSent),
        _ => Err(BatchError::UnknownOutcome(code)),
    }
}
