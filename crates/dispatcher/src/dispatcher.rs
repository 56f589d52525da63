//! All decisions of a dispatcher. The interface, its types, events and actions, is in `src/interface.rs`.
//!
//! The ordinary path is OXTHAS: workers rank by Estimated Processing Capacity (EPC), thresholds in integer
//! progression over S_max give each job a lane by its size, and the lane worker meets one random rival.
//! Each departure from it says what it guards against and when it acts. This file routes events; the modules
//! below it hold the decisions, one concern each.

mod admission;
mod capacity;
mod fleet;
mod health;
mod permission;
mod prediction;
mod requests;
mod selection;
mod slow_start;
mod state;
mod timeouts;

use crate::interface::*;
use crate::nearest::{Candidate, Snapshot, looked_at};
use crate::record::{Epc, Keys, Kind};
use state::{Attempt, Request, Sent, Worker};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
/// Withdrawn attempts allowed per request, less the price of waste, and saved up at most: each adds load.
const REPEATS: f64 = 0.1;
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
    arrivals: f64,
    gap: f64,
    mean_size: f64,
    last_arrival: Micros,
    order: Vec<Vec<WorkerId>>,
    stale: Vec<bool>,
    requests: BTreeMap<RequestId, Request>,
    held: Vec<(Micros, RequestId)>,
    checks: BTreeSet<(Micros, RequestId)>,
    armed: Micros,
    s_max: f64,
    try_length: Vec<Micros>,
    watch_failures: u32,
    repeats: f64,
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
            armed: Micros::MAX,
            try_length: vec![0; classes],
            repeats: 10.0 * (REPEATS - settings.penalties.wasted_work).max(0.0),
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
            // A timer that was overtaken by an earlier one has nothing left to do, and must not set another.
            Event::Timer(_) if now < self.armed => return,
            Event::Timer(_) => {
                self.armed = Micros::MAX;
                while let Some(&(_, id)) = self.checks.first().filter(|c| c.0 <= now) {
                    self.checks.pop_first();
                    self.check(now, id, actions);
                }
            }
        }
        if freed {
            self.place_held(now, actions);
        }
        self.arm(now, actions);
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
