//! Slow start: how much may be sent to a worker whose process has just started.
//!
//! All dispatchers together must stay under a multiple of the worker's present capacity in any window. They
//! do not talk to each other, so each takes its share of that by itself.

use crate::dispatcher::attempt::START_GRACE;
use crate::dispatcher::context::DecisionContext;
use crate::dispatcher::request::Request;
use crate::interface::{Micros, SlowStartRules, WorkerId};

/// The share of the budget that is used: hints are rough, and the other dispatchers' sends are not seen.
const BUDGET_SHARE: f64 = 0.9;
/// What few dispatchers use less, for their jobs even out less.
const FEW_DISPATCHERS_DEDUCTION: f64 = 1.25;
/// The share of a window's capacity that one job may take where it is sent on credit.
const MAX_SINGLE_JOB_SHARE: f64 = 0.8;
/// The share of the mean size that a send counts as at least: a hint far under the mean is likely wrong.
const MIN_COST_SHARE: f64 = 0.25;
/// The least fraction of its capacity that a worker is taken to have.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// The fraction of its full capacity that a process which started then has now, above 0 and up to 1.
pub(super) fn capacity_fraction(rules: &SlowStartRules, started_at: Micros, now: Micros) -> f64 {
    let age = now - started_at;
    if started_at <= 0 || age >= rules.duration {
        return 1.0;
    }
    let gained = (1.0 - rules.initial_capacity) * age.max(0) as f64 / rules.duration as f64;
    (rules.initial_capacity + gained).clamp(MIN_CAPACITY_FRACTION, 1.0)
}

/// The work that this dispatcher has sent a worker beyond its share, at one moment.
#[derive(Clone, Copy, Default)]
pub(super) struct SlowStartDebt {
    /// Running time on a standard core, in microseconds.
    work: f64,
    updated_at: Micros,
}

impl SlowStartDebt {
    /// A debt at this time.
    pub(super) fn new(work: f64, updated_at: Micros) -> Self {
        SlowStartDebt { work, updated_at }
    }

    /// What is left of it, where so much is paid off in a microsecond; below 0 where less was sent.
    fn at(&self, now: Micros, rate: f64) -> f64 {
        self.work - (now - self.updated_at) as f64 * rate
    }
}

/// What a worker in slow start can take, as work over time.
struct SlowStartRate {
    /// The worker's present capacity.
    capacity: f64,
    /// What this dispatcher may send, on average.
    share: f64,
}

impl DecisionContext<'_> {
    /// Whether a worker can take this much more work, if it is in slow start. Where this dispatcher's share
    /// of a window is less than a job, a job may be sent on credit, and the next one when the share has
    /// made up for it: as the dispatchers start with random debts, they take turns.
    pub(super) fn has_slow_start_budget(&self, id: WorkerId, cost: f64, now: Micros) -> bool {
        let worker = self.workers.get(id);
        if self.capacity_fraction(worker, now) >= 1.0 {
            return true;
        }
        let rate = self.slow_start_rate(id, now);
        let window = self.settings.slow_start.overload_window as f64;
        let debt = self.slow_start_debt(id, now);
        // A worker that is behind with what it has can do less than assumed.
        let is_behind = worker
            .in_flight
            .iter()
            .any(|attempt| attempt.waited(now) > 2.0 * attempt.size / rate.capacity + START_GRACE as f64);
        let fits_share = debt.max(0.0) + cost <= rate.share * window;
        let fits_on_credit = debt <= 0.0 && cost <= rate.capacity * window * MAX_SINGLE_JOB_SHARE;
        !is_behind && (fits_share || fits_on_credit)
    }

    /// What a send of this request counts against a worker in slow start.
    pub(super) fn slow_start_cost(&self, request: &Request) -> f64 {
        (request.size * request.slots).max(self.arrivals.mean_size() * MIN_COST_SHARE)
    }

    /// The debt that a worker has after a send of this request; none outside slow start.
    pub(super) fn debt_after_send(&self, id: WorkerId, request: &Request, now: Micros) -> SlowStartDebt {
        let in_slow_start = self.capacity_fraction(self.workers.get(id), now) < 1.0;
        let work = if in_slow_start {
            self.slow_start_debt(id, now).max(0.0) + self.slow_start_cost(request)
        } else {
            0.0
        };
        SlowStartDebt::new(work, now)
    }

    /// The work that this dispatcher has sent the worker beyond its share; below 0 where it has sent less.
    fn slow_start_debt(&self, id: WorkerId, now: Micros) -> f64 {
        self.workers.get(id).slow_start_debt.at(now, self.slow_start_rate(id, now).share)
    }

    /// The worker's present capacity, inferred from the work of all dispatchers and its share of the total
    /// weight, and this dispatcher's part of what may be sent, by how many dispatchers are likely to use
    /// the worker.
    fn slow_start_rate(&self, id: WorkerId, now: Micros) -> SlowStartRate {
        let worker = self.workers.get(id);
        let instances = f64::from(self.settings.instances);
        let total_work = instances * self.arrivals.mean_size() / self.arrivals.mean_gap().max(1.0);
        let carried = total_work * self.workers.rated_weight(worker) / self.workers.total_weight();
        let capacity = carried * self.capacity_fraction(worker, now);
        let probability = self.subset.probability_of(id, self.present_weight(id, now));
        let users = (instances * probability.min(1.0)).max(1.0);
        let share = BUDGET_SHARE - FEW_DISPATCHERS_DEDUCTION / (users + 2.0);
        SlowStartRate { capacity, share: capacity * self.settings.slow_start.overload_factor * share / users }
    }
}
