//! Owns the node's only [`Dispatcher`] and passes it every event.
//!
//! Events are handled one at a time, in the order of the calls of [`DispatcherLoop::dispatch`]. Each
//! resulting action is routed to the request that it concerns, to the timers, to the probes or to the log.
//! One event may lead to actions for many requests.

use crate::clock::Clock;
use crate::job::RequestMessage;
use crate::responsiveness::Responsiveness;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::{or, yield_now};
use sorrelhaven_dispatcher::{
    Action, Dispatcher, Event, Micros, RequestId, Settings, WorkerCounts, WorkerId,
};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{Level, debug, enabled, info, warn};

/// Target of the log lines about sends to workers in slow start.
const SLOW_START_TARGET: &str = "slow_start";

/// A timer as the dispatcher sets it.
struct NewTimer {
    due_at: Micros,
    token: u64,
}

/// A timer that has not fired. Timers that are due at the same time fire in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingTimer {
    due_at: Micros,
    sequence: u64,
    token: u64,
}

/// The dispatcher, and the channels through which its actions are carried out.
pub struct DispatcherLoop {
    /// The clock of dispatcher events.
    pub clock: Clock,
    state: RefCell<State>,
    timer_sender: Sender<NewTimer>,
    timer_receiver: Receiver<NewTimer>,
    probes: Sender<WorkerId>,
    responsiveness: Rc<Responsiveness>,
}

struct State {
    dispatcher: Dispatcher,
    requests: HashMap<RequestId, Sender<RequestMessage>>,
    /// The number of the next request to be registered.
    next_request: u64,
    /// The actions of the event being handled. Empty between events; kept to reuse the allocation.
    actions: Vec<Action>,
}

impl DispatcherLoop {
    /// Creates the dispatcher. Workers to be probed are sent to `probes`; the handling time of events and the
    /// lag of timers are reported to `responsiveness`.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        probes: Sender<WorkerId>,
        responsiveness: Rc<Responsiveness>,
    ) -> DispatcherLoop {
        let state = State {
            dispatcher: Dispatcher::new(settings, seed),
            requests: HashMap::new(),
            next_request: 0,
            actions: Vec::new(),
        };
        let (timer_sender, timer_receiver) = async_channel::unbounded();
        DispatcherLoop {
            clock,
            state: RefCell::new(state),
            timer_sender,
            timer_receiver,
            probes,
            responsiveness,
        }
    }

    /// Registers a request and returns its new id. Actions for it are sent to `messages` until it is
    /// deregistered.
    pub fn register_request(&self, messages: Sender<RequestMessage>) -> RequestId {
        let mut state = self.state.borrow_mut();
        let id = RequestId(state.next_request);
        state.next_request += 1;
        state.requests.insert(id, messages);
        id
    }

    /// Removes a request that is concluded and whose attempts have all ended.
    pub fn deregister_request(&self, id: RequestId) {
        self.state.borrow_mut().requests.remove(&id);
    }

    /// The number of registered requests.
    pub fn registered_requests(&self) -> usize {
        self.state.borrow().requests.len()
    }

    /// The number of workers in the dispatcher's current worker list, by state.
    pub fn worker_counts(&self) -> WorkerCounts {
        self.state.borrow().dispatcher.worker_counts(self.clock.now())
    }

    /// The number of workers in slow start that accept new work.
    pub fn workers_in_slow_start(&self) -> u64 {
        self.state.borrow().dispatcher.workers_in_slow_start(self.clock.now())
    }

    /// Passes an event to the dispatcher and routes the resulting actions.
    pub fn dispatch(&self, event: Event) {
        let now = self.clock.now();
        let state = &mut *self.state.borrow_mut();
        debug!(?event, "event");
        let started = Instant::now();
        let event_name = event_name(&event);
        state.dispatcher.handle(now, event, &mut state.actions);
        self.responsiveness.record_part(event_name, started);
        for action in state.actions.drain(..) {
            debug!(?action, "action");
            log_slow_start(&state.dispatcher, now, &action);
            self.route_action(&state.requests, now, action);
        }
    }

    fn route_action(
        &self,
        requests: &HashMap<RequestId, Sender<RequestMessage>>,
        now: Micros,
        action: Action,
    ) {
        match action {
            Action::Send { request, worker, timeout, send_by } => {
                // The dispatcher's timeout is relative; 0 means until the request's deadline. Requests and
                // attempts use absolute deadlines.
                let deadline = if timeout == 0 { Micros::MAX } else { now.saturating_add(timeout) };
                send_message(requests, request, RequestMessage::Send { worker, deadline, send_by });
            }
            Action::Cancel { request, attempt } => {
                send_message(requests, request, RequestMessage::Cancel { attempt });
            }
            Action::Reject { request, retry_after } => {
                send_message(requests, request, RequestMessage::Reject { retry_after });
            }
            Action::Fail { request } => send_message(requests, request, RequestMessage::Fail),
            Action::SetTimer { delay, token } => {
                let timer = NewTimer { due_at: now.saturating_add(delay), token };
                // `self` holds the receiver, so the channel is open.
                let _ = self.timer_sender.try_send(timer);
            }
            Action::Probe { worker } => {
                // Fails only if the engine, which runs the probes, has been dropped.
                let _ = self.probes.try_send(worker);
            }
            // No action is needed: the discovery watch runs from the start, and retries after failures.
            Action::WatchWorkerList => {}
            Action::Log(text) => info!(target: "module", "{text}"),
        }
    }

    /// Runs the dispatcher's timers. Never returns.
    pub async fn run_timers(&self) {
        let mut pending = BTreeSet::new();
        let mut sequence = 0;
        loop {
            if let Some(NewTimer { due_at, token }) = self.next_new_timer(pending.first()).await {
                sequence += 1;
                pending.insert(PendingTimer { due_at, sequence, token });
            }
            self.fire_due_timers(&mut pending).await;
        }
    }

    /// Waits for the next timer that is set; returns `None` as soon as `first_pending` is due.
    async fn next_new_timer(&self, first_pending: Option<&PendingTimer>) -> Option<NewTimer> {
        let new_timer = async { self.timer_receiver.recv().await.ok() };
        let due = async {
            match first_pending {
                Some(timer) => Timer::at(self.clock.instant(timer.due_at)).await,
                None => std::future::pending().await,
            };
            None
        };
        or(new_timer, due).await
    }

    async fn fire_due_timers(&self, pending: &mut BTreeSet<PendingTimer>) {
        while let Some(&timer) = pending.first()
            && timer.due_at <= self.clock.now()
        {
            pending.pop_first();
            let lag = self.clock.now().saturating_sub(timer.due_at);
            self.responsiveness.longest_timer_lag.record(Duration::from_micros(lag.unsigned_abs()));
            self.dispatch(Event::Timer(timer.token));
            // Lets other tasks run even if many timers are due.
            yield_now().await;
        }
    }
}

/// Logs a send to a worker in slow start with the estimates behind it, at debug level. The work that counts
/// against the budget includes this send.
fn log_slow_start(dispatcher: &Dispatcher, now: Micros, action: &Action) {
    if !enabled!(target: SLOW_START_TARGET, Level::DEBUG) {
        return;
    }
    if let Action::Send { request, worker, .. } = action
        && let Some(status) = dispatcher.slow_start_status(*worker, now)
    {
        debug!(
            target: SLOW_START_TARGET,
            request = request.0,
            worker = worker.0,
            ?status,
            "sent in slow start"
        );
    }
}

/// The name of an event in the log of slow event loop steps.
fn event_name(event: &Event) -> &'static str {
    match event {
        Event::WorkerList(_) => "worker list",
        Event::Arrival(_) => "arrival",
        Event::AttemptStarted { .. } | Event::ResponseStreaming { .. } | Event::AttemptProgress { .. } => {
            "attempt progress"
        }
        Event::AttemptEnded { .. } => "attempt end",
        Event::RequestSent { .. } | Event::BodyConsumed(_) => "request body sent",
        Event::ClientDisconnected(_) => "client disconnected",
        Event::ProbeEnded { .. } => "probe end",
        Event::Timer(_) => "timer",
    }
}

/// Sends a message to a request. It is dropped if the request has been deregistered, which may happen just
/// before an action for it.
fn send_message(
    requests: &HashMap<RequestId, Sender<RequestMessage>>,
    id: RequestId,
    message: RequestMessage,
) {
    match requests.get(&id) {
        Some(sender) => {
            // The task of a registered request holds the receiver.
            let _ = sender.try_send(message);
        }
        None => warn!(?id, action = ?message, "action for a concluded request dropped"),
    }
}
