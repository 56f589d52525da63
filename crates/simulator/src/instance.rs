//! One dispatcher instance: translates messages to events of its dispatcher, and actions to commands.

use crate::error::BatchError;
use crate::host::WorkerLists;
use crate::names::{OpenRequests, WorkerNames};
use crate::wire::{ArrivalMessage, AttemptEndMessage, Command, Message};
use sorrelhaven_config::stable_hash;
use sorrelhaven_dispatcher::{
    Action, Arrival, Dispatcher, Event, Micros, Outcome, RequestId, Settings, WorkerEntry, WorkerListUpdate,
};

/// `kind` of a `notice` message: the job has started.
const NOTICE_STARTED: u8 = 1;
/// `kind` of a `notice` message: the job reports its progress.
const NOTICE_PROGRESS: u8 = 2;

/// `mode` of an `update` message: the list holds the changed workers only.
const UPDATE_DELTA: u8 = 0;
/// `mode` of an `update` message: the list is complete.
const UPDATE_FULL: u8 = 1;
/// `mode` of an `update` message: the list is complete, but may be outdated.
const UPDATE_CACHED: u8 = 2;
/// `mode` of an `update` message: discovery failed, there is no list.
const UPDATE_FAILED: u8 = 3;

/// One dispatcher with the names of its requests and workers. Each instance numbers its ids on its own, so
/// that its actions cannot depend on which other instances share the process.
pub struct Instance {
    dispatcher: Dispatcher,
    workers: WorkerNames,
    requests: OpenRequests,
}

impl Instance {
    /// An instance with these settings, without workers and requests.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Instance {
            dispatcher: Dispatcher::new(settings, seed),
            workers: WorkerNames::default(),
            requests: OpenRequests::default(),
        }
    }

    /// Passes a message to the dispatcher as an event, and appends the resulting actions to `commands`. A
    /// message about a request that is not open is ignored.
    ///
    /// # Errors
    /// The message has an unknown mode or outcome code, or refers to a worker list that was never sent.
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
            self.requests.remove_if_complete(request);
        }
        Ok(())
    }

    /// Translates a message to an event. Returns `None` for a message about a request that is not open, a
    /// notice of an unknown kind, and a message that the dispatcher does not handle.
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
            NOTICE_PROGRESS => {
                Some(Event::AttemptProgress { request, attempt, worker, completed_fraction: progress })
            }
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

    /// Translates an action to a command. Returns `None` if the action names a request that is not open or an
    /// unknown worker.
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

    /// Records that the dispatcher itself answered the request, and returns the request's name; `None` if the
    /// request is not open.
    fn conclude(&mut self, id: RequestId) -> Option<String> {
        let name = self.requests.name(id)?;
        self.requests.conclude(id);
        self.requests.remove_if_complete(id);
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
