//! Decision logic of a dispatcher. The types of its settings, events and actions are in `interface`.
//!
//! In the ordinary case, a worker is chosen by OXTHAS, the algorithm of the publication that comments call
//! the paper. Workers are ranked by their Estimated Processing Capacity (EPC). Thresholds in integer
//! progression up to S_max divide the job sizes into as many intervals as there are candidate workers, and
//! larger jobs go to faster workers. The worker for the job's interval is compared with one candidate picked
//! at random. Code that departs from the algorithm states which failure it prevents and when it applies.
//!
//! [`Dispatcher`] passes each event to the module that handles it:
//!
//! - Workers: `worker_list` applies updates of the list. `worker_table`, `worker` and `machine_kind` hold the
//!   state of the workers, which `observations`, `worker_evidence`, `capacity` and `health` derive from start
//!   notices, outcomes and load reports. `slow_start` and `slow_start_usage` limit the work for new
//!   processes, by what `throughput` says of the others.
//! - Choice of a worker: `subset` and `ranking` reduce the worker list, `affinity` adds the workers of an
//!   affinity key, `selection` compares them by `prediction` and uses only those that `permission` allows.
//!   All of them read the state through `context`.
//! - Requests: `requests` handles them from arrival to final answer. `pending` and `pending_queue` hold those
//!   that wait for a worker, `attempt_timers` and `attempt_timeout` check those that wait or were sent,
//!   `retry_budget` limits retries.

mod affinity;
mod arrival_statistics;
mod attempt;
mod attempt_timeout;
mod attempt_timers;
mod cached_keys;
mod capacity;
mod context;
mod decayed_mean;
mod decayed_wait;
mod discovery_retry;
mod health;
mod machine_kind;
mod observations;
mod pending;
mod pending_queue;
mod permission;
mod prediction;
mod ranking;
mod rendezvous;
mod request;
mod requests;
mod retry_budget;
mod selection;
mod slow_start;
mod slow_start_usage;
mod subset;
mod throughput;
mod worker;
mod worker_evidence;
mod worker_list;
mod worker_table;

use crate::interface::{
    Action, Class, Event, Lifecycle, Micros, RequestId, Settings, SlowStartStatus, WorkerCounts, WorkerId,
    WorkerStatus,
};
use affinity::AffinityIndex;
use arrival_statistics::ArrivalStatistics;
use attempt::{AttemptId, AttemptResult};
use attempt_timers::AttemptTimers;
use capacity::CapacityEstimator;
use context::DecisionContext;
use discovery_retry::DiscoveryRetry;
use health::HealthTracker;
use pending_queue::PendingQueue;
use ranking::Ranking;
use request::Request;
use retry_budget::RetryBudget;
use std::collections::BTreeMap;
use subset::WorkerSubset;
use throughput::Throughput;
use worker_table::WorkerTable;

/// Token of the timer for the next check of a request.
const ATTEMPT_TIMER: u64 = 0;
/// Token of the timer for the next watch on the worker list after a discovery failure.
const DISCOVERY_TIMER: u64 = 1;

/// State and decisions of one dispatcher: takes events and returns actions.
#[derive(Default)]
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    workers: WorkerTable,
    capacity: CapacityEstimator,
    health: HealthTracker,
    arrivals: ArrivalStatistics,
    affinity: AffinityIndex,
    subset: WorkerSubset,
    throughput: Throughput,
    ranking: Ranking,
    requests: BTreeMap<RequestId, Request>,
    pending: PendingQueue,
    timers: AttemptTimers,
    retry_budget: RetryBudget,
    discovery_retry: DiscoveryRetry,
}

impl Dispatcher {
    /// Creates a dispatcher that has no workers and no requests. Equal settings, seeds and events give equal
    /// actions.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // Requests whose class is out of range, which is an error of the host, get this class: it is not
        // idempotent.
        settings.classes.push(Class { late_value_fraction: 1.0, ..Class::default() });
        let classes = settings.classes.len();
        Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            workers: WorkerTable::new(&settings),
            arrivals: ArrivalStatistics::new(classes),
            affinity: AffinityIndex::new(settings.instance),
            ranking: Ranking::new(classes),
            retry_budget: RetryBudget::new(settings.penalties.wasted_work),
            settings,
            ..Dispatcher::default()
        }
    }

    /// Handles one event and appends the resulting actions, in the order in which to perform them.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if let Event::Timer(token) = event
            && token != DISCOVERY_TIMER
            && !self.timers.on_fired(now)
        {
            return;
        }
        let may_free_room = !matches!(
            event,
            Event::Arrival(_) | Event::AttemptProgress { .. } | Event::ClientDisconnected(_)
        );
        self.route(now, event, actions);
        if may_free_room {
            self.send_pending(now, actions);
        }
        self.arm_next_timer(now, actions);
    }

    fn route(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::WorkerList(update) => self.on_worker_list(now, update, actions),
            Event::Arrival(arrival) => self.on_arrival(now, &arrival, actions),
            Event::AttemptStarted { request, attempt, worker } => {
                self.on_attempt_started(now, AttemptId { request, number: attempt, worker });
            }
            Event::AttemptProgress { .. } | Event::ProbeEnded { .. } => {}
            Event::ResponseStreaming { request, attempt, worker } => {
                self.on_attempt_started(now, AttemptId { request, number: attempt, worker });
                self.update_request(request, |request| request.is_streaming = true);
            }
            Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome,
                elapsed,
                request_concluded,
                load_report,
            } => {
                self.on_load_report(worker, &load_report);
                let id = AttemptId { request, number: attempt, worker };
                let result = AttemptResult { outcome, elapsed, request_concluded };
                self.on_attempt_ended(now, id, &result, actions);
            }
            Event::RequestSent { request, attempt, worker } => {
                let id = AttemptId { request, number: attempt, worker };
                if let Some(attempt) = self.workers.get_mut(worker).attempt_mut(id) {
                    attempt.sent_at = now;
                }
            }
            Event::BodyConsumed(id) => self.update_request(id, |request| request.body_consumed = true),
            Event::ClientDisconnected(id) => self.remove_request(id, actions),
            Event::Timer(DISCOVERY_TIMER) => actions.push(Action::WatchWorkerList),
            Event::Timer(_) => self.on_timer(now, actions),
        }
    }

    fn on_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(request) = self.timers.pop_due(now) {
            self.on_attempt_timer(now, request, actions);
        }
    }

    fn update_request(&mut self, id: RequestId, update: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.get_mut(&id) {
            update(request);
        }
    }

    fn context(&self) -> DecisionContext<'_> {
        DecisionContext {
            settings: &self.settings,
            workers: &self.workers,
            health: &self.health,
            arrivals: &self.arrivals,
            subset: &self.subset,
            throughput: &self.throughput,
        }
    }

    /// Counts the workers in the list by their status at `now`.
    pub fn worker_counts(&self, now: Micros) -> WorkerCounts {
        self.workers
            .ids()
            .filter(|&id| self.workers.get(id).entry.lifecycle != Lifecycle::Gone)
            .map(|id| self.worker_status(id, now))
            .collect()
    }

    /// Returns the estimates for a worker; `None` outside slow start.
    ///
    /// # Panics
    /// If the host has not named the worker.
    pub fn slow_start_status(&self, worker: WorkerId, now: Micros) -> Option<SlowStartStatus> {
        self.context().slow_start_status(worker, now)
    }

    /// Returns the number of workers that accept new work and are in slow start at `now`.
    pub fn workers_in_slow_start(&self, now: Micros) -> u64 {
        let context = self.context();
        let in_slow_start = |id: &&WorkerId| context.capacity_fraction(self.workers.get(**id), now) < 1.0;
        self.workers.ready().iter().filter(in_slow_start).count() as u64
    }

    fn worker_status(&self, id: WorkerId, now: Micros) -> WorkerStatus {
        let context = self.context();
        let worker = self.workers.get(id);
        if !worker.is_ready() {
            return WorkerStatus::Draining;
        }
        if !context.is_healthy(id) || !worker.health.probe_backoff_elapsed(now) {
            return WorkerStatus::Ejected;
        }
        let mut listed_classes = 0..self.settings.classes.len() - 1;
        if listed_classes.all(|class| !context.accepts_class(id, class, now)) {
            return WorkerStatus::Saturated;
        }
        WorkerStatus::Available
    }
}
