//! How long a job would take at a worker: the work ahead of it there, and its own running time.

use crate::dispatcher::attempt::{Attempt, START_GRACE};
use crate::dispatcher::cached_keys::KEY_FETCH_COST;
use crate::dispatcher::context::DecisionContext;
use crate::dispatcher::request::{MAX_HINT_ERROR, Request};
use crate::dispatcher::worker::Worker;
use crate::interface::{Micros, WorkerId};

/// The paper's α: one failure halves a worker's capacity.
const FAILURE_PENALTY: f64 = 1.0;
/// A job that runs for more than this multiple of its expected time counts as a failure.
const OVERDUE_FACTOR: f64 = 3.0;
/// What a zone crossing counts as, in mean jobs for a penalty of 1.
const ZONE_CROSSING_COST: f64 = 2.0;
/// The share of its size that a running job has left at least.
const MIN_REMAINING_SHARE: f64 = 0.1;
/// The least weight that a rated weight is divided by.
const MIN_WEIGHT: f64 = 1e-6;

/// How long a job sent now would take, in microseconds.
pub(super) struct Prediction {
    /// With the expected wait and the work ahead of it.
    expected: f64,
    /// With the known wait only, and without the work that free slots can take.
    least: f64,
    /// The worker has a free slot for it.
    has_free_slot: bool,
}

impl DecisionContext<'_> {
    /// c' = c/(1+α·R): the estimated capacity at present, lowered for failures beyond the common ones. Jobs
    /// far over their time count as failures until the worker shows life.
    pub(super) fn penalised_capacity(&self, worker: &Worker, class: usize, now: Micros) -> f64 {
        let capacity = worker.capacity.of_class(class) * self.capacity_fraction(worker, now);
        let overdue = worker.in_flight.iter().filter(|attempt| is_overdue(worker, attempt, capacity, now));
        let failures = self.health.excess_failures(worker) as f64 + overdue.count() as f64;
        capacity / (1.0 + FAILURE_PENALTY * failures)
    }

    /// Predicts how long a job sent now would take: the work ahead of it and its own, over the worker's
    /// capacity, after the wait that start notices show.
    pub(super) fn predict(&self, request: &Request, id: WorkerId, now: Micros) -> Prediction {
        let worker = self.workers.get(id);
        let class = request.class;
        let capacity = self.penalised_capacity(worker, class, now);
        let slots = self.workers.kind(worker).slots();
        let ahead = remaining_work(worker, capacity, now);
        let must_fetch = request.affinity_key != 0 && !worker.cached_keys.contains(request.affinity_key);
        let fetch = if must_fetch { KEY_FETCH_COST * self.arrivals.mean_size() } else { 0.0 };
        let run = request.size / capacity + fetch;
        let queue_and_run = ahead / (capacity * slots) + run;
        let has_free_slot = worker.outstanding_slots() + request.slots <= slots;
        let least_work = if has_free_slot { run } else { queue_and_run };
        Prediction {
            expected: worker.current_wait(class, now, self.expected_wait(worker, class, now)) + queue_and_run,
            least: worker.current_wait(class, now, 0.0) + least_work,
            has_free_slot,
        }
    }

    /// The wait that a worker's kind usually has, in microseconds. One in slow start has nothing queued yet.
    pub(super) fn expected_wait(&self, worker: &Worker, class: usize, now: Micros) -> f64 {
        if self.capacity_fraction(worker, now) < 1.0 {
            return 0.0;
        }
        self.workers.kind(worker).expected_wait(class)
    }

    /// Whether a job sent now would start at once, as far as is known, where `expected` stands in for a
    /// wait that was not measured recently.
    pub(super) fn starts_at_once(&self, request: &Request, id: WorkerId, now: Micros, expected: f64) -> bool {
        self.predict(request, id, now).has_free_slot
            && self.has_room(id, now)
            && self.workers.get(id).current_wait(request.class, now, expected) < START_GRACE as f64
    }

    /// Whether a job sent now would be in time. Where `accepts_late`, one that starts at once may be late
    /// by as much as a hint errs.
    pub(super) fn would_be_useful(
        &self,
        request: &Request,
        id: WorkerId,
        now: Micros,
        accepts_late: bool,
    ) -> bool {
        let least = self.predict(request, id, now).least;
        let time_left = (request.useful_until - now) as f64;
        least <= time_left
            || accepts_late
                && least <= MAX_HINT_ERROR * time_left
                && self.starts_at_once(request, id, now, 0.0)
    }

    /// Whether a job sent now would likely start at once. A sent job that has not started indicates a queue
    /// or a hang.
    pub(super) fn has_room(&self, id: WorkerId, now: Micros) -> bool {
        let worker = self.workers.get(id);
        if !worker.health.probe_pause_is_over(now) {
            return false;
        }
        if !self.settings.reports_start {
            return self.has_reported_room(worker);
        }
        let free = (self.workers.kind(worker).slots() - worker.running_slots()).max(1.0);
        (worker.unstarted().count() as f64) < free
            && worker.unstarted().all(|attempt| now - attempt.sent_at < START_GRACE)
    }

    /// Whether the slots that load reports leave to this dispatcher have room for a job: no queue is begun
    /// where reports name the free slots.
    fn has_reported_room(&self, worker: &Worker) -> bool {
        if self.settings.report_fields.free_slots.is_none() {
            return true;
        }
        let kind = self.workers.kind(worker);
        let slots = kind.slots().max(self.workers.rated_weight(worker));
        let limit = (slots * kind.available_share(self.fair_share())).max(1.0);
        worker.outstanding_slots() + 1.0 <= limit
    }

    /// The wait for jobs of other dispatchers, inferred from a weight that includes the load, in
    /// microseconds. It counts as far as the one job that may always be sent is more than this dispatcher's
    /// part of the slots.
    pub(super) fn hidden_wait(&self, request: &Request, id: WorkerId, now: Micros) -> f64 {
        let worker = self.workers.get(id);
        let slots_per_instance =
            self.workers.kind(worker).slots() / f64::from(self.settings.instances.max(1));
        let excess = (1.0 - slots_per_instance).max(0.0);
        let rated = self.workers.rated_weight(worker);
        let jobs_per_core = (rated / worker.entry.weight.max(MIN_WEIGHT) - 1.0).max(0.0);
        jobs_per_core * excess * self.arrivals.mean_size()
            / self.penalised_capacity(worker, request.class, now)
    }

    /// The expected duration of a job sent now, where a zone crossing that has a penalty counts as more time.
    pub(super) fn cost_of_send(&self, request: &Request, id: WorkerId, now: Micros) -> f64 {
        let crosses_zones = self.workers.get(id).entry.zone != self.settings.zone;
        let penalty = if crosses_zones {
            self.settings.penalties.cross_zone * ZONE_CROSSING_COST * self.arrivals.mean_size()
        } else {
            0.0
        };
        self.predict(request, id, now).expected + penalty
    }
}

/// Whether an attempt has run far longer than a worker of this capacity should need, and the worker has
/// shown no life since.
fn is_overdue(worker: &Worker, attempt: &Attempt, capacity: f64, now: Micros) -> bool {
    let Some(started_at) = attempt.started_at else { return false };
    let latest_end = started_at + (OVERDUE_FACTOR * attempt.size / capacity) as Micros + START_GRACE;
    now > latest_end && !worker.health.has_shown_life_since(latest_end)
}

/// The work of a worker's outstanding attempts that is left, over all slots.
fn remaining_work(worker: &Worker, capacity: f64, now: Micros) -> f64 {
    let mut work = 0.0;
    for attempt in &worker.in_flight {
        let done = attempt.started_at.map_or(0.0, |started_at| (now - started_at) as f64 * capacity);
        work += attempt.slots * (attempt.size - done).max(attempt.size * MIN_REMAINING_SHARE);
    }
    work
}
