//! The desk: owns the one dispatcher and is the only caller of its `handle`.
//!
//! Events go in one by one, in the order in which they are told; each action is routed to the request, the
//! timer, the probe or the log that it concerns. One event may act on many requests.

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
use tracing::{debug, info, warn};

/// When a timer falls due, and its token.
type Due = (Micros, u64);

/// The dispatcher and the ways from it to those that carry its actions out.
pub struct DispatcherLoop {
    /// The clock of all events.
    pub clock: Clock,
    state: RefCell<State>,
    timers: Sender<Due>,
    timers_set: Receiver<Due>,
    probes: Sender<WorkerId>,
    responsiveness: Rc<Responsiveness>,
}

struct State {
    dispatcher: Dispatcher,
    requests: HashMap<RequestId, Sender<RequestMessage>>,
    next: u64,
    actions: Vec<Action>,
}

impl DispatcherLoop {
    /// A desk that asks for probes through `probes`, and tells `responsiveness` how long its work takes.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        probes: Sender<WorkerId>,
        responsiveness: Rc<Responsiveness>,
    ) -> DispatcherLoop {
        let dispatcher = Dispatcher::new(settings, seed);
        let state = State { dispatcher, requests: HashMap::new(), next: 0, actions: Vec::new() };
        let (timers, timers_set) = async_channel::unbounded();
        DispatcherLoop { clock, state: RefCell::new(state), timers, timers_set, probes, responsiveness }
    }

    /// Numbers a request; its actions go to `mail` until it is closed.
    pub fn register_request(&self, mail: Sender<RequestMessage>) -> RequestId {
        let mut state = self.state.borrow_mut();
        let id = RequestId(state.next);
        state.next += 1;
        state.requests.insert(id, mail);
        id
    }

    /// Forgets a request that has its answer and no execution.
    pub fn deregister_request(&self, id: RequestId) {
        self.state.borrow_mut().requests.remove(&id);
    }

    /// Requests that are not closed.
    pub fn registered_requests(&self) -> usize {
        self.state.borrow().requests.len()
    }

    /// How the module regards the executors in its list now.
    pub fn worker_counts(&self) -> WorkerCounts {
        self.state.borrow().dispatcher.worker_counts(self.clock.now())
    }

    /// Feeds the dispatcher one event and routes what it does about it.
    pub fn dispatch(&self, event: Event) {
        let now = self.clock.now();
        let state = &mut *self.state.borrow_mut();
        debug!(?event, "event");
        let (begun, part) = (Instant::now(), name(&event));
        state.dispatcher.handle(now, event, &mut state.actions);
        self.responsiveness.part_ended(part, begun);
        for action in state.actions.drain(..) {
            debug!(?action, "action");
            match action {
                Action::Send { request, worker, timeout, send_by: before } => {
                    // The module's time-out is relative and 0 for "until the client gives up": from here on
                    // there are only deadlines.
                    let deadline = if timeout == 0 { Micros::MAX } else { now.saturating_add(timeout) };
                    route_action(
                        &state.requests,
                        request,
                        RequestMessage::Send { worker, deadline, send_by: before },
                    );
                }
                Action::Cancel { request, attempt } => {
                    route_action(&state.requests, request, RequestMessage::Cancel { attempt });
                }
                Action::Reject { request, retry_after } => {
                    route_action(&state.requests, request, RequestMessage::Reject { retry_after });
                }
                Action::Fail { request } => route_action(&state.requests, request, RequestMessage::Fail),
                Action::SetTimer { delay, token } => {
                    // Only a desk that is being dropped has no one at the other end.
                    let _ = self.timers.try_send((now.saturating_add(delay), token));
                }
                Action::Probe { worker } => {
                    let _ = self.probes.try_send(worker);
                }
                // The watch on the host group always runs and asks again by itself.
                Action::WatchWorkerList => {}
                Action::Log(text) => info!(target: "module", "{text}"),
            }
        }
    }

    /// Runs the dispatcher's timers, for ever.
    pub async fn run_timers(&self) {
        let mut pending: BTreeSet<(Micros, u64, u64)> = BTreeSet::new();
        let mut number = 0;
        loop {
            let set = async { self.timers_set.recv().await.ok() };
            let due = async {
                match pending.first() {
                    Some(&(at, ..)) => Timer::at(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                };
                None
            };
            if let Some((at, token)) = or(set, due).await {
                number += 1;
                pending.insert((at, number, token));
            }
            while let Some(&(at, _, token)) = pending.first()
                && at <= self.clock.now()
            {
                pending.pop_first();
                let lag = self.clock.now().saturating_sub(at);
                self.responsiveness.longest_timer_lag.note(Duration::from_micros(lag.unsigned_abs()));
                self.dispatch(Event::Timer(token));
                // However many are due, and however soon the next ones are: others must have their turn in between.
                yield_now().await;
            }
        }
    }
}

/// The name of an event in the log.
fn name(event: &Event) -> &'static str {
    match event {
        Event::WorkerList(_) => "executor list",
        Event::Arrival(_) => "arrival",
        Event::AttemptStarted { .. } | Event::ResponseStreaming { .. } | Event::AttemptProgress { .. } => {
            "progress of an attempt"
        }
        Event::AttemptEnded { .. } => "end of an attempt",
        Event::RequestSent { .. } | Event::BodyConsumed(_) => "body written",
        Event::ClientDisconnected(_) => "client left",
        Event::ProbeEnded { .. } => "probe",
        Event::Timer(_) => "timer",
    }
}

/// An action may concern a request that was closed in the same moment; then nothing is left to do.
fn route_action(requests: &HashMap<RequestId, Sender<RequestMessage>>, id: RequestId, mail: RequestMessage) {
    match requests.get(&id) {
        Some(sender) => {
            let _ = sender.try_send(mail);
        }
        None => warn!(?id, ?mail, "action for a concluded request dropped"),
    }
}
