//! The choice of a worker for a request: by the size of the job, one random rival, and the homes of its key.

use super::*;

/// Homes of a key in a large zone, in what its share of the jobs would fill there.
const HOMES: f64 = 3.0;
/// The share of a fetch that a home is spared, as others' jobs, unseen, have brought the key there.
const HOME_HAS: f64 = 0.9;

impl Dispatcher {
    /// The lane of a job among `n`, 0 the smallest jobs: w_r = (1+…+r)/(1+…+n)·S_max.
    pub(super) fn lane(&self, r: &Request, n: usize) -> usize {
        if !r.hinted {
            return n / 2;
        }
        let all = (n * (n + 1) / 2) as f64;
        (1..n)
            .find(|&x| r.size <= (x * (x + 1) / 2) as f64 / all * self.arrivals.largest_lane_size())
            .map_or(n - 1, |x| x - 1)
    }

    /// A key's homes, nearest first, alike in a zone but for their number: as few places as its jobs fill.
    pub(super) fn homes(&mut self, id: RequestId, now: Micros) -> Vec<WorkerId> {
        let Some(key) = self.requests.get(&id).map(|r| r.key).filter(|key| *key != 0) else {
            return Vec::new();
        };
        let others = self.recent.iter().filter(|&&k| k == key).count().saturating_sub(1);
        let share = others as f64 / self.recent.len().max(SHARE_HISTORY / 5) as f64;
        let n = (HOMES * share * self.beyond * ZONE).ceil().max(1.0) as usize;
        let (order, is_new) = self.snapshot.homes(key, n, u64::from(self.settings.instance) + 1);
        let order = order.to_vec();
        if is_new {
            order.iter().for_each(|&worker| self.estimate(worker));
        }
        let Some(r) = self.requests.get(&id) else { return Vec::new() };
        let fit = |&w: &WorkerId| {
            self.sound(w) && self.takes(w, r.class, now) && self.may_send(r, w, now) && !r.tried.contains(&w)
        };
        order.into_iter().filter(fit).take(looked_at(n, self.ready.len())).collect()
    }

    /// Picks the worker for a request, or none if it is better held.
    pub(super) fn pick(&mut self, id: RequestId, now: Micros) -> Option<WorkerId> {
        let (class, draw) = (self.requests.get(&id)?.class, self.rng.f64());
        self.rank(class, now);
        let homes = self.homes(id, now);
        let r = self.requests.get(&id)?;
        let order = self.order[class].iter().copied();
        let legal: Vec<WorkerId> = order.filter(|&w| self.may_send(r, w, now)).collect();
        let untried: Vec<WorkerId> = legal.iter().copied().filter(|w| !r.tried.contains(w)).collect();
        let fresh = if untried.is_empty() { legal } else { untried };
        let first =
            self.settings.classes[r.class].idempotency != Idempotency::NotIdempotent && r.attempts == 0;
        if first && let Some(&w) = fresh.iter().find(|&&w| self.trial_due(r, w, now)) {
            return Some(w);
        }
        let mut top: Vec<WorkerId> =
            fresh.iter().copied().filter(|&w| self.sound(w) && self.takes(w, class, now)).collect();
        if top.is_empty() {
            // Everything is suspect: whatever may be tried again is better than nowhere.
            top = fresh.into_iter().filter(|&w| self.trial_due(r, w, now)).collect();
        }
        // What would be late anyway takes an open worker only if nothing else waits for one.
        let alone = self.pending.is_next(id);
        let usual = |w| self.usual(self.worker(w), class, now);
        let fit = |w| self.starts_at_once(r, w, now, usual(w)) && self.worth_sending(r, w, now, false);
        let n = top.len();
        let rival = *top.get((draw * n as f64) as usize)?;
        let lane = top[n - 1 - self.lane(r, n)];
        let spared = HOME_HAS * self.beyond / self.apart * FETCH * self.arrivals.mean_size();
        let has = |w| homes.contains(&w) && !self.worker(w).keys.holds(r.key);
        let ends = |w| self.ends(r, w, now) - if has(w) { spared } else { 0.0 };
        let beside = |w| ends(w) + self.others(r, w, now);
        let earlier = |a, b| if beside(b) < beside(a) { b } else { a };
        let best = homes.iter().copied().fold(earlier(lane, rival), |a, b| earlier(b, a));
        if fit(best) {
            return Some(best);
        }
        // The better one would start or end it late: the others are rivals too. A key is worth the wait.
        let held = |w| homes.contains(&w) || self.worker(w).keys.holds(r.key);
        let known = |w| r.key == 0 || held(w) || self.beyond > 0.0 && fit(w);
        top.extend(homes.iter().filter(|w| !self.set.contains(w)));
        let open = top.into_iter().filter(|&w| known(w) && self.room(w, now));
        let (_, best) = open.map(|w| (ends(w), w)).min_by(|a, b| a.0.total_cmp(&b.0))?;
        self.worth_sending(r, best, now, alone).then_some(best)
    }
}
