//! All decisions of a dispatcher. The interface, its types, events and actions, is in `src/interface.rs`.
//!
//! The ordinary path is OXTHAS: workers rank by Estimated Processing Capacity (EPC), thresholds in integer
//! progression over S_max give each job a lane by its size, and the lane worker meets one random rival.
//! Each departure from it says what it guards against and when it acts. This file routes events; the modules
//! below it hold the decisions, one concern each.

mod admission;
mod arrival_statistics;
mod attempt_timers;
mod capacity;
mod discovery_retry;
mod fleet;
mod health;
mod pending_queue;
mod permission;
mod prediction;
mod requests;
mod retry_budget;
mod selection;
mod slow_start;
mod state;
mod timeouts;

use crate::interface::*;
use crate::nearest::{Candidate, Snapshot, looked_at};
use crate::record::{Epc, Keys, Kind};
use arrival_statistics::ArrivalStatistics;
use attempt_timers::AttemptTimers;
use discovery_retry::DiscoveryRetry;
use pending_queue::PendingQueue;
use retry_budget::RetryBudget;
use state::{Attempt, Request, Sent, Worker};
use std::collections::{BTreeMap, VecDeque};

/// The least N: below it one failed worker would be too large a share, and big and small jobs share lanes.
const N_LEAST: f64 = 8.0;
/// Completions after which an observation has lost two thirds of its weight: EPC must follow the load.
const HISTORY: f64 = 20.0;
/// How many observations the prior of an EPC counts for, so that one odd job does not rank a worker.
const PRIOR: f64 = 2.0;
/// A start notice takes a connection, a handshake and two crossings; one later than this tells of a queue.
const START_GRACE: Micros = 25_000;
/// How many times too long a job's expected time may be.
const HINT_ERROR: f64 = 2.0;
/// What a worker fetches for a job whose key it has not had of late takes this share of a mean job.
const FETCH: f64 = 0.45;
/// The arrivals over which a key's share is taken.
const SHARE_HISTORY: usize = 100;
/// Workers of a zone from which on it prefers its own as homes.
const ZONE: f64 = 4.0;
/// The timer token of the list; that of the checks is beside them.
const WATCH: u64 = 1;

/// Decides for one dispatcher.
#[derive(Default)]
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    workers: Vec<Worker>,
    kinds: Vec<Kind>,
    fleet: Epc,
    ratings: f64,
    per_weight: f64,
    apart: f64,
    beyond: f64,
    set_until: Micros,
    shared_timeouts: u32,
    ready: Vec<WorkerId>,
    snapshot: Snapshot,
    near: Vec<WorkerId>,
    near_stale: bool,
    of_kind: Vec<Vec<WorkerId>>,
    set: Vec<WorkerId>,
    set_stale: bool,
    n: usize,
    arrivals: ArrivalStatistics,
    order: Vec<Vec<WorkerId>>,
    stale: Vec<bool>,
    requests: BTreeMap<RequestId, Request>,
    pending: PendingQueue,
    timers: AttemptTimers,
    discovery_retry: DiscoveryRetry,
    retry_budget: RetryBudget,
    recent: VecDeque<u64>,
}

impl Dispatcher {
    /// A dispatcher that knows its settings and nothing else; equal seeds and events give equal actions.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // A class out of range is the host's slip: the strictest stand-in keeps the rules for it.
        settings.classes.push(Class { late_fraction: 1.0, ..Class::default() });
        let classes = settings.classes.len();
        Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            kinds: vec![Kind::default(); settings.worker_kinds.max(1)],
            n: 2 * N_LEAST as usize,
            order: vec![Vec::new(); classes],
            stale: vec![true; classes],
            arrivals: ArrivalStatistics::new(classes),
            retry_budget: RetryBudget::new(settings.penalties.wasted_work),
            settings,
            ..Dispatcher::default()
        }
    }

    /// Takes one event and appends what is to be done about it, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let freed = !matches!(
            event,
            Event::Arrival(_) | Event::AttemptProgress { .. } | Event::ClientDisconnected(_)
        );
        match event {
            Event::WorkerList(members) => self.on_members(members, actions),
            Event::Arrival(arrival) => self.on_arrival(now, arrival, actions),
            Event::AttemptStarted { request, attempt, worker } => {
                self.on_started(now, (request, attempt, worker))
            }
            Event::AttemptProgress { .. } | Event::ProbeEnded { .. } => {}
            Event::ResponseStreaming { request, attempt, worker } => {
                self.on_started(now, (request, attempt, worker));
                self.requests.get_mut(&request).into_iter().for_each(|r| r.streaming = true);
            }
            Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome,
                elapsed: took,
                request_concluded: closed,
                load_report: report,
            } => {
                self.on_report(worker, &report);
                self.on_outcome(now, (request, attempt, worker), (outcome, took, closed), actions);
            }
            Event::RequestSent { request: r, attempt: n, worker: w } => {
                self.attempt((r, n, w)).into_iter().for_each(|a| a.sent = now)
            }
            Event::BodyConsumed(id) => self.requests.get_mut(&id).into_iter().for_each(|r| r.spent = true),
            Event::ClientDisconnected(request) => self.forget(request, actions),
            Event::Timer(WATCH) => actions.push(Action::WatchWorkerList),
            Event::Timer(_) if !self.timers.on_fired(now) => return,
            Event::Timer(_) => {
                while let Some(request) = self.timers.pop_due(now) {
                    self.on_attempt_timer(now, request, actions);
                }
            }
        }
        if freed {
            self.place_pending(now, actions);
        }
        self.arm_next_timer(now, actions);
    }

    /// How this dispatcher regards the workers in the list at this moment.
    pub fn worker_counts(&self, now: Micros) -> WorkerCounts {
        let listed = |&id: &WorkerId| self.worker(id).entry.lifecycle != Lifecycle::Gone;
        (0..self.workers.len() as u32)
            .map(WorkerId)
            .filter(listed)
            .map(|id| self.worker_status(id, now))
            .collect()
    }

    fn worker_status(&self, id: WorkerId, now: Micros) -> WorkerStatus {
        let mut classes = 0..self.settings.classes.len() - 1;
        match self.worker(id) {
            w if !w.ready() => WorkerStatus::Draining,
            w if !self.sound(id) || now < w.trial_at => WorkerStatus::Ejected,
            _ if classes.all(|class| !self.takes(id, class, now)) => WorkerStatus::Saturated,
            _ => WorkerStatus::Available,
        }
    }
}
