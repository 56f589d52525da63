//! Slow start: how much work may be sent to a worker whose process has just started.
//!
//! In any window, all dispatchers together must send less than a multiple of the worker's current capacity.
//! They do not communicate, so each estimates its own share.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::attempt::START_GRACE;
use crate::dispatcher::context::DecisionContext;
use crate::dispatcher::rendezvous::uniform_hash;
use crate::dispatcher::request::Request;
use crate::dispatcher::slow_start_usage::SlowStartBudget;
use crate::dispatcher::throughput::ServedWork;
use crate::interface::{Micros, SlowStartRules, SlowStartStatus, WorkerId};

/// Fraction of the permitted work that is used by the likely number of dispatchers. The rest is a reserve:
/// work hints are inaccurate, and the sends of other dispatchers are unknown.
const BUDGET_SHARE: f64 = 0.9;
/// Upper bound of a job that exceeds this dispatcher's share, as a fraction of the worker's capacity in a
/// window.
const MAX_SINGLE_JOB_SHARE: f64 = 0.8;
/// Lower bound of the work counted for a send, as a fraction of the mean job size: a work hint far below the
/// mean is probably wrong.
const MIN_COST_SHARE: f64 = 0.25;
/// A worker is late with a job that has been outstanding for more than this multiple of its expected time.
const LATE_JOB_FACTOR: f64 = 2.0;
/// Likely number of dispatchers that use a worker: the expected one plus this number of standard deviations,
/// plus one, since the sizes of jobs vary as well.
const USER_DEVIATIONS: f64 = 1.0;
/// Lower bound of the capacity fraction, which is used as a divisor.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// Returns the fraction of its full capacity that a process has at `now`, above 0 and up to 1. It grows
/// linearly with the age of the process.
pub(super) fn capacity_fraction(rules: &SlowStartRules, started_at: Micros, now: Micros) -> f64 {
    let age = now - started_at;
    if started_at <= 0 || age >= rules.duration {
        return 1.0;
    }
    let gained = (1.0 - rules.initial_capacity) * age.max(0) as f64 / rules.duration as f64;
    (rules.initial_capacity + gained).clamp(MIN_CAPACITY_FRACTION, 1.0)
}

impl Dispatcher {
    /// Begins the use of a worker in slow start after a random delay: all dispatchers are told of the start
    /// at the same time, and may have pending requests.
    pub(super) fn begin_slow_start(&mut self, id: WorkerId, now: Micros) {
        let fraction = self.rng.f64();
        let window = self.settings.slow_start.overload_window as f64;
        self.workers.get_mut(id).slow_start_usage.reset(now, fraction, window);
    }
}

impl DecisionContext<'_> {
    /// Returns whether a worker can accept `cost` more work; always true outside slow start. A job that
    /// exceeds this dispatcher's share of a window may be sent in random time slots while no other work
    /// counts. Where the worker is not among the nearest ones, it may be sent at any time, and counts for
    /// longer.
    pub(super) fn has_slow_start_budget(&self, id: WorkerId, cost: f64, now: Micros) -> bool {
        let Some(budget) = self.slow_start_budget(id, now) else { return true };
        let usage = &self.workers.get(id).slow_start_usage;
        let used = usage.used_at(now, &budget);
        let fits_share = used + cost <= budget.per_window();
        let is_single_job = used <= 0.0 && cost <= budget.max_single_job;
        let is_time_slot = || !budget.is_time_slotted || self.is_time_slot_for(cost, id, &budget, now);
        let fits_single_job = is_single_job && is_time_slot();
        usage.has_begun(now, &budget) && (fits_share || fits_single_job) && !self.is_late(id, now)
    }

    /// Returns the work that a send of this request counts for, in microseconds on a standard core.
    pub(super) fn slow_start_cost(&self, request: &Request) -> f64 {
        (request.size * request.slots).max(self.arrivals.mean_size() * MIN_COST_SHARE)
    }

    /// Returns this dispatcher's part of a worker's budget; `None` outside slow start.
    pub(super) fn slow_start_budget(&self, id: WorkerId, now: Micros) -> Option<SlowStartBudget> {
        if self.capacity_fraction(self.workers.get(id), now) >= 1.0 {
            return None;
        }
        let rules = &self.settings.slow_start;
        let window = rules.overload_window as f64;
        let capacity = self.cold_capacity(id, now);
        Some(SlowStartBudget {
            rate: capacity * rules.overload_factor * self.share_of_budget(id, now),
            window,
            max_single_job: capacity * window * MAX_SINGLE_JOB_SHARE,
            is_time_slotted: self.subset.is_nearest(id),
        })
    }

    /// Returns the estimates on which the limit of a worker is based; `None` outside slow start.
    pub(super) fn slow_start_status(&self, id: WorkerId, now: Micros) -> Option<SlowStartStatus> {
        let budget = self.slow_start_budget(id, now)?;
        Some(SlowStartStatus {
            capacity: self.cold_capacity(id, now),
            expected_users: self.expected_users(id, now),
            is_nearest: self.subset.is_nearest(id),
            budget: budget.per_window(),
            used: self.workers.get(id).slow_start_usage.used_at(now, &budget),
            subset_size: self.subset.members().len(),
        })
    }

    /// Returns whether requests that another worker would serve in the ordinary case may be sent to this one.
    /// While other workers are ejected or reject jobs, all dispatchers have such requests, and all would send
    /// them to the few workers that have just started. In slow start a worker therefore gets them only from
    /// dispatchers that have it among their nearest ones.
    pub(super) fn may_replace_others(&self, id: WorkerId, now: Micros) -> bool {
        self.capacity_fraction(self.workers.get(id), now) >= 1.0 || self.subset.is_nearest(id)
    }

    /// Returns whether a worker takes longer for a job than its estimated capacity explains.
    fn is_late(&self, id: WorkerId, now: Micros) -> bool {
        let capacity = self.cold_capacity(id, now);
        self.workers.get(id).outstanding().iter().any(|attempt| {
            let expected = LATE_JOB_FACTOR * attempt.size / capacity;
            attempt.waited(now) > expected + START_GRACE as f64
        })
    }

    /// Returns whether a single job of this cost may be sent in the current time slot.
    fn is_time_slot_for(&self, cost: f64, id: WorkerId, budget: &SlowStartBudget, now: Micros) -> bool {
        let key = u64::from(self.settings.instance) << u32::BITS | u64::from(id.0);
        uniform_hash(key, budget.time_slot_at(now)) <= budget.time_slot_probability(cost)
    }

    /// Estimates the current capacity of a worker in slow start, in standard cores, from the work that other
    /// workers serve per unit of their weight. That is too low while they have little to do, so the slots
    /// that its kind was seen to have, at the speed of its jobs, are a lower bound.
    fn cold_capacity(&self, id: WorkerId, now: Micros) -> f64 {
        let worker = self.workers.get(id);
        let instances = f64::from(self.settings.instances);
        let by_weight = instances * self.served_per_weight() * self.workers.unloaded_weight(worker);
        let by_slots = worker.capacity.lowest() * self.workers.kind(worker).slots();
        by_weight.max(by_slots) * self.capacity_fraction(worker, now)
    }

    /// Returns the work per microsecond and unit of weight that the workers outside slow start serve for this
    /// dispatcher. Before it has requests that were served, they are assumed to be served as they arrive.
    fn served_per_weight(&self) -> f64 {
        self.throughput.served_per_weight(ServedWork {
            work: self.arrivals.mean_size(),
            weighted_time: self.arrivals.mean_gap().max(1.0) * self.workers.total_weight(),
        })
    }

    /// Returns the expected number of dispatchers that have the worker among their nearest ones, at least 1.
    fn expected_users(&self, id: WorkerId, now: Micros) -> f64 {
        let probability = self.subset.probability_of_nearest(self.effective_weight(id, now));
        (f64::from(self.settings.instances) * probability).max(1.0)
    }

    /// Returns the fraction of a worker's budget that this dispatcher may use. The dispatchers that have the
    /// worker among their nearest ones share the budget of the likely number of them. Another dispatcher
    /// sends only the jobs of affinity keys that have the worker in their set, and uses an equal share.
    fn share_of_budget(&self, id: WorkerId, now: Micros) -> f64 {
        let instances = f64::from(self.settings.instances).max(1.0);
        let users = self.expected_users(id, now).min(instances);
        let deviation = (users * (1.0 - users / instances)).sqrt();
        let likely_users = users + USER_DEVIATIONS * deviation + 1.0;
        if self.subset.is_nearest(id) {
            BUDGET_SHARE / likely_users
        } else {
            BUDGET_SHARE * users / likely_users / instances
        }
    }
}
