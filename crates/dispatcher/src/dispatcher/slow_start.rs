//! Slow start: how much work may be sent to a worker whose process has just started.
//!
//! In any window, all dispatchers together must send less than a multiple of the worker's current capacity.
//! They do not communicate, so each estimates its own share.

use crate::dispatcher::attempt::START_GRACE;
use crate::dispatcher::context::DecisionContext;
use crate::dispatcher::request::Request;
use crate::interface::{Micros, SlowStartRules, SlowStartStatus, WorkerId};

/// Fraction of the permitted work that is used, before [`FEW_USERS_DEDUCTION`]. The rest is a reserve: work
/// hints are inaccurate, and the sends of other dispatchers are unknown.
const BUDGET_SHARE: f64 = 0.9;
/// [`BUDGET_SHARE`] is reduced by this value divided by n + 2, where n is the expected number of dispatchers
/// that use the worker: the total work of few dispatchers varies more than that of many.
const FEW_USERS_DEDUCTION: f64 = 1.25;
/// Upper bound of a job that exceeds this dispatcher's share, as a fraction of the worker's capacity in a
/// window.
const MAX_SINGLE_JOB_SHARE: f64 = 0.8;
/// Lower bound of the work counted for a send, as a fraction of the mean job size: a work hint far below the
/// mean is probably wrong.
const MIN_COST_SHARE: f64 = 0.25;
/// A worker is late with a job that has been outstanding for more than this multiple of its expected time.
const LATE_JOB_FACTOR: f64 = 2.0;
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

/// Work that this dispatcher has sent to a worker in excess of its share, at the time of the last update.
#[derive(Clone, Copy, Default)]
pub(super) struct SlowStartDebt {
    /// Running time on a standard core, in microseconds.
    work: f64,
    updated_at: Micros,
}

impl SlowStartDebt {
    pub(super) fn new(work: f64, updated_at: Micros) -> Self {
        SlowStartDebt { work, updated_at }
    }

    /// Returns the remaining debt if it decreases by `rate` per microsecond; below 0 if less than the share
    /// was sent.
    fn remaining_at(&self, now: Micros, rate: f64) -> f64 {
        self.work - (now - self.updated_at) as f64 * rate
    }
}

/// Work that a worker in slow start can accept per microsecond, in microseconds on a standard core.
struct SlowStartRate {
    /// Current capacity of the worker.
    capacity: f64,
    /// This dispatcher's share of the work that all dispatchers may send.
    share: f64,
    /// Expected number of dispatchers that use the worker.
    expected_users: f64,
}

impl DecisionContext<'_> {
    /// Returns whether a worker can accept `cost` more work; always true outside slow start. If a job exceeds
    /// this dispatcher's share of a window, it may be sent while there is no debt, and the next one after its
    /// debt has been worked off. The random initial debts prevent all dispatchers from sending such jobs at
    /// the same time.
    pub(super) fn has_slow_start_budget(&self, id: WorkerId, cost: f64, now: Micros) -> bool {
        let worker = self.workers.get(id);
        if self.capacity_fraction(worker, now) >= 1.0 {
            return true;
        }
        let rate = self.slow_start_rate(id, now);
        let window = self.settings.slow_start.overload_window as f64;
        let debt = self.slow_start_debt(id, now);
        // A worker that is late with a job has less capacity than estimated.
        let is_late = worker.outstanding().iter().any(|attempt| {
            let expected = LATE_JOB_FACTOR * attempt.size / rate.capacity;
            attempt.waited(now) > expected + START_GRACE as f64
        });
        let fits_share = debt.max(0.0) + cost <= rate.share * window;
        let fits_single_job = debt <= 0.0 && cost <= rate.capacity * window * MAX_SINGLE_JOB_SHARE;
        !is_late && (fits_share || fits_single_job)
    }

    /// Returns the work that a send of this request adds to the debt, in microseconds on a standard core.
    pub(super) fn slow_start_cost(&self, request: &Request) -> f64 {
        (request.size * request.slots).max(self.arrivals.mean_size() * MIN_COST_SHARE)
    }

    /// Returns the debt after a send of this request; 0 outside slow start.
    pub(super) fn debt_after_send(&self, id: WorkerId, request: &Request, now: Micros) -> SlowStartDebt {
        let in_slow_start = self.capacity_fraction(self.workers.get(id), now) < 1.0;
        let work = if in_slow_start {
            self.slow_start_debt(id, now).max(0.0) + self.slow_start_cost(request)
        } else {
            0.0
        };
        SlowStartDebt::new(work, now)
    }

    /// Returns the work sent in excess of this dispatcher's share; below 0 if it has sent less.
    fn slow_start_debt(&self, id: WorkerId, now: Micros) -> f64 {
        self.workers.get(id).slow_start_debt().remaining_at(now, self.slow_start_rate(id, now).share)
    }

    /// Estimates the worker's current capacity from the work of all dispatchers and the worker's fraction of
    /// the total weight, and this dispatcher's share from the expected number of dispatchers that use the
    /// worker.
    fn slow_start_rate(&self, id: WorkerId, now: Micros) -> SlowStartRate {
        let worker = self.workers.get(id);
        let instances = f64::from(self.settings.instances);
        let total_work_rate = instances * self.arrivals.mean_size() / self.arrivals.mean_gap().max(1.0);
        let full_capacity =
            total_work_rate * self.workers.unloaded_weight(worker) / self.workers.total_weight();
        let capacity = full_capacity * self.capacity_fraction(worker, now);
        let probability = self.subset.membership_probability(id, self.effective_weight(id, now));
        let expected_users = (instances * probability.min(1.0)).max(1.0);
        let share = BUDGET_SHARE - FEW_USERS_DEDUCTION / (expected_users + 2.0);
        SlowStartRate {
            capacity,
            share: capacity * self.settings.slow_start.overload_factor * share / expected_users,
            expected_users,
        }
    }

    /// Returns the estimates on which the limit of a worker is based; `None` outside slow start.
    pub(super) fn slow_start_status(&self, id: WorkerId, now: Micros) -> Option<SlowStartStatus> {
        if self.capacity_fraction(self.workers.get(id), now) >= 1.0 {
            return None;
        }
        let rate = self.slow_start_rate(id, now);
        Some(SlowStartStatus {
            capacity: rate.capacity,
            expected_users: rate.expected_users,
            budget: rate.share * self.settings.slow_start.overload_window as f64,
            used: self.slow_start_debt(id, now).max(0.0),
            subset_size: self.subset.members().len(),
        })
    }
}
