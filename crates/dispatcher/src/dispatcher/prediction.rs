//! Predictions of the time that a job takes at a worker: the work ahead of it and its own running time.

use crate::dispatcher::attempt::{Attempt, START_GRACE};
use crate::dispatcher::cached_keys::KEY_FETCH_COST;
use crate::dispatcher::context::DecisionContext;
use crate::dispatcher::request::{MAX_HINT_ERROR, Request};
use crate::dispatcher::worker::Worker;
use crate::interface::{Micros, WorkerId};

/// Penalty for a failure (the paper's α): with 1, one failure halves a worker's capacity.
const FAILURE_PENALTY: f64 = 1.0;
/// A job that runs for more than this multiple of its expected time counts as a failure of its worker.
const OVERDUE_FACTOR: f64 = 3.0;
/// Cost of a send to another zone at a cross-zone penalty of 1, as a multiple of the mean job size.
const ZONE_CROSSING_COST: f64 = 2.0;
/// Lower bound of the remaining work of an outstanding job, as a fraction of its size.
const MIN_REMAINING_SHARE: f64 = 0.1;
/// Lower bound of a listed weight, which is used as a divisor.
const MIN_WEIGHT: f64 = 1e-6;

/// Predicted time from the send of a job to its end, in microseconds.
pub(super) struct Prediction {
    /// Includes the usual wait of the worker's kind where none was measured recently, and the work ahead of
    /// the job.
    expected: f64,
    /// Includes measured waits only, and no work ahead of the job if a slot is free.
    lower_bound: f64,
    /// Whether the worker has free slots for the job.
    has_free_slot: bool,
}

impl DecisionContext<'_> {
    /// Returns c' = c/(1+α·R): the estimated capacity at `now`, reduced for failures beyond those of the
    /// median worker. An overdue job counts as a failure until the worker is active again.
    pub(super) fn penalised_capacity(&self, worker: &Worker, class: usize, now: Micros) -> f64 {
        let capacity = worker.capacity.of_class(class) * self.capacity_fraction(worker, now);
        let overdue =
            worker.outstanding().iter().filter(|attempt| is_overdue(worker, attempt, capacity, now));
        let failures = self.health.excess_failures(worker) as f64 + overdue.count() as f64;
        capacity / (1.0 + FAILURE_PENALTY * failures)
    }

    /// Predicts the duration of a job that is sent now: the wait for its start, the work ahead of it and its
    /// own at the worker's capacity, and the fetch of its key.
    pub(super) fn predict(&self, request: &Request, id: WorkerId, now: Micros) -> Prediction {
        let worker = self.workers.get(id);
        let class = request.class;
        let capacity = self.penalised_capacity(worker, class, now);
        let slots = self.workers.kind(worker).slots();
        let outstanding_work = remaining_work(worker, capacity, now);
        let must_fetch = request.affinity_key != 0 && !worker.has_key(request.affinity_key);
        let fetch = if must_fetch { KEY_FETCH_COST * self.arrivals.mean_size() } else { 0.0 };
        let run = request.size / capacity + fetch;
        let queue_and_run = outstanding_work / (capacity * slots) + run;
        let has_free_slot = worker.outstanding_slots() + request.slots <= slots;
        let min_queue_and_run = if has_free_slot { run } else { queue_and_run };
        Prediction {
            expected: worker.current_wait(class, now, self.expected_wait(worker, class, now)) + queue_and_run,
            lower_bound: worker.current_wait(class, now, 0.0) + min_queue_and_run,
            has_free_slot,
        }
    }

    /// Returns the usual wait of a job at workers of this kind, in microseconds; 0 in slow start, when the
    /// worker has no queue yet.
    pub(super) fn expected_wait(&self, worker: &Worker, class: usize, now: Micros) -> f64 {
        if self.capacity_fraction(worker, now) < 1.0 {
            return 0.0;
        }
        self.workers.kind(worker).expected_wait(class)
    }

    /// Returns whether a job that is sent now would start immediately. `expected` replaces a wait that was
    /// not measured recently.
    pub(super) fn starts_immediately(
        &self,
        request: &Request,
        id: WorkerId,
        now: Micros,
        expected: f64,
    ) -> bool {
        self.predict(request, id, now).has_free_slot
            && self.has_room(id, now)
            && self.workers.get(id).current_wait(request.class, now, expected) < START_GRACE as f64
    }

    /// Returns whether a job that is sent now would end before its value deadline if it takes no longer than
    /// the lower bound of its prediction. With `allow_hint_error`, a job that starts immediately may exceed
    /// the time left by the error of its work hint ([`MAX_HINT_ERROR`]).
    pub(super) fn would_be_in_time(
        &self,
        request: &Request,
        id: WorkerId,
        now: Micros,
        allow_hint_error: bool,
    ) -> bool {
        let lower_bound = self.predict(request, id, now).lower_bound;
        let time_left = (request.value_deadline - now) as f64;
        lower_bound <= time_left
            || allow_hint_error
                && lower_bound <= MAX_HINT_ERROR * time_left
                && self.starts_immediately(request, id, now, 0.0)
    }

    /// Returns whether a worker has room for another job. A job that has not started within [`START_GRACE`]
    /// indicates a queue or a worker that hangs.
    pub(super) fn has_room(&self, id: WorkerId, now: Micros) -> bool {
        let worker = self.workers.get(id);
        if !worker.health.probe_backoff_elapsed(now) {
            return false;
        }
        if !self.settings.workers_report_start {
            return self.has_reported_room(worker);
        }
        let free = (self.workers.kind(worker).slots() - worker.running_slots()).max(1.0);
        (worker.unstarted().count() as f64) < free
            && worker.unstarted().all(|attempt| now - attempt.sent_at < START_GRACE)
    }

    /// Returns whether another job fits into this dispatcher's share of the slots, according to load reports.
    fn has_reported_room(&self, worker: &Worker) -> bool {
        if self.settings.report_fields.free_slots.is_none() {
            return true;
        }
        let kind = self.workers.kind(worker);
        let slots = kind.slots().max(self.workers.unloaded_weight(worker));
        let limit = (slots * kind.available_share(self.fair_share())).max(1.0);
        worker.outstanding_slots() + 1.0 <= limit
    }

    /// Returns the wait for jobs of other dispatchers, in microseconds, derived from a listed weight that
    /// includes the load. One job may always be sent; the wait counts only to the extent that one job exceeds
    /// this dispatcher's share of the slots.
    pub(super) fn external_wait(&self, request: &Request, id: WorkerId, now: Micros) -> f64 {
        let worker = self.workers.get(id);
        let slots_per_instance =
            self.workers.kind(worker).slots() / f64::from(self.settings.instances.max(1));
        let excess = (1.0 - slots_per_instance).max(0.0);
        let unloaded = self.workers.unloaded_weight(worker);
        let jobs_per_core = (unloaded / worker.entry.weight.max(MIN_WEIGHT) - 1.0).max(0.0);
        jobs_per_core * excess * self.arrivals.mean_size()
            / self.penalised_capacity(worker, request.class, now)
    }

    /// Returns the expected duration of a job that is sent now, in microseconds, plus the penalty for another
    /// zone.
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

/// Returns whether an attempt has run far longer than expected, and its worker has not been active since it
/// should have ended.
fn is_overdue(worker: &Worker, attempt: &Attempt, capacity: f64, now: Micros) -> bool {
    let Some(started_at) = attempt.started_at else { return false };
    let latest_end = started_at + (OVERDUE_FACTOR * attempt.size / capacity) as Micros + START_GRACE;
    now > latest_end && !worker.health.was_active_after(latest_end)
}

/// Returns the remaining work of all outstanding attempts of a worker, in slots times microseconds on a
/// standard core.
fn remaining_work(worker: &Worker, capacity: f64, now: Micros) -> f64 {
    let mut work = 0.0;
    for attempt in worker.outstanding() {
        let done = attempt.started_at.map_or(0.0, |started_at| (now - started_at) as f64 * capacity);
        work += attempt.slots * (attempt.size - done).max(attempt.size * MIN_REMAINING_SHARE);
    }
    work
}
