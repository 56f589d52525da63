//! The budget of a worker that has just started.

use super::*;

/// The share of a cold worker's budget that is used: hints are rough and the other dispatchers blind.
const COLD_SHARE: f64 = 0.9;
/// Few dispatchers use less, for their jobs even out less.
const COLD_FEW: f64 = 1.25;
/// The share of what a cold worker can do in the window that one job may ask for, where it goes on credit.
const COLD_ONE: f64 = 0.8;
/// The share of the mean size that a send to a cold worker counts as at least.
const COLD_FLOOR: f64 = 0.25;

impl Dispatcher {
    /// Whether a cold worker can take this much more. All dispatchers together must stay under a multiple of
    /// its present capacity in any window; each takes its share of it, and less, as hints are rough. Where
    /// that is less than a job, one may go all the same, and the next when the share has made up for it: with
    /// their debts at random points, the dispatchers take turns. No one job may fill the window.
    pub(super) fn cold_budget(&self, id: WorkerId, cost: f64, now: Micros) -> bool {
        let w = self.worker(id);
        if self.warmth(w, now) >= 1.0 {
            return true;
        }
        let (capacity, rate) = self.cold_rate(id, now);
        let fall = self.settings.slow_start.overload_window as f64;
        let debt = self.cold_debt(id, now);
        // What it has not got through yet says that it can do less than that.
        let behind =
            w.in_flight.iter().any(|a| (now - a.sent) as f64 > 2.0 * a.size / capacity + START_GRACE as f64);
        !behind && (debt.max(0.0) + cost <= rate * fall || debt <= 0.0 && cost <= capacity * fall * COLD_ONE)
    }

    /// What a send counts against a cold worker: a hint far under the mean is likelier wrong than right.
    pub(super) fn cold_cost(&self, r: &Request) -> f64 {
        (r.size * r.width).max(self.arrivals.mean_size() * COLD_FLOOR)
    }

    /// What this dispatcher has sent a cold worker beyond its share; below 0 where it has sent less.
    pub(super) fn cold_debt(&self, id: WorkerId, now: Micros) -> f64 {
        let w = self.worker(id);
        w.cold.0 - (now - w.cold.1) as f64 * self.cold_rate(id, now).1
    }

    /// The present capacity of a cold worker, as work over time, and this dispatcher's share of what all may
    /// send, by how many have it among their N. What its size carries shows in this one's own work.
    pub(super) fn cold_rate(&self, id: WorkerId, now: Micros) -> (f64, f64) {
        let w = self.worker(id);
        let rules = &self.settings.slow_start;
        let all = f64::from(self.settings.instances);
        let carried = all * self.arrivals.mean_size() / self.arrivals.mean_gap().max(1.0) * self.size(w)
            / self.ratings.max(1e-9);
        let capacity = carried * self.warmth(w, now);
        let chance = if self.set.contains(&id) { self.per_weight * self.weight(id, now) } else { 1.0 };
        let holders = (all * chance.min(1.0)).max(1.0);
        let share = COLD_SHARE - COLD_FEW / (holders + 2.0);
        (capacity, capacity * rules.overload_factor * share / holders)
    }
}
