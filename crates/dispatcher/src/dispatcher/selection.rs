//! Chooses a worker for a request: by the size of the job, compared with one random rival and the affinity
//! set of its key.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::cached_keys::KEY_FETCH_COST;
use crate::dispatcher::context::DecisionContext;
use crate::dispatcher::request::Request;
use crate::interface::{Idempotency, Micros, RequestId, WorkerId};

/// The part of a fetch's cost that is not counted for a worker of the affinity set, since jobs of other
/// dispatchers, unknown here, have likely fetched the key.
const AFFINITY_FETCH_DISCOUNT: f64 = 0.9;

impl Dispatcher {
    /// Chooses the worker for a request; none if it should wait.
    pub(super) fn choose_worker(&mut self, id: RequestId, now: Micros) -> Option<WorkerId> {
        let class = self.requests.get(&id)?.class;
        let draw = self.rng.f64();
        self.refresh_ranking(class, now);
        let affinity_set = self.affinity_set(id, now);
        let selection = Selection {
            context: self.context(),
            request: self.requests.get(&id)?,
            affinity_set: &affinity_set,
            is_most_urgent: self.pending.is_next(id),
            now,
        };
        selection.choose(self.ranking.of_class(class), draw)
    }
}

/// The inputs of one choice.
struct Selection<'a> {
    context: DecisionContext<'a>,
    request: &'a Request,
    affinity_set: &'a [WorkerId],
    /// No pending request is more urgent than this one.
    is_most_urgent: bool,
    now: Micros,
}

impl Selection<'_> {
    /// Chooses among the ranked workers, the fastest first. `draw` is uniformly distributed in 0..1 and
    /// selects the random rival.
    fn choose(&self, ranked: &[WorkerId], draw: f64) -> Option<WorkerId> {
        let permitted = self.permitted(ranked);
        if let Some(probed) = self.worker_to_probe(&permitted) {
            return Some(probed);
        }
        let candidates = self.candidates(permitted);
        let rival = *candidates.get((draw * candidates.len() as f64) as usize)?;
        let lane_worker = candidates[candidates.len() - 1 - self.size_lane(candidates.len())];
        let best = self.best_of_drawn(lane_worker, rival);
        if self.is_free_for(best) {
            return Some(best);
        }
        self.best_with_room(candidates)
    }

    /// Returns the workers to which the request may be sent, without those that it was sent to before if
    /// there are others.
    fn permitted(&self, ranked: &[WorkerId]) -> Vec<WorkerId> {
        let permitted: Vec<WorkerId> = ranked
            .iter()
            .copied()
            .filter(|&worker| self.context.may_send(self.request, worker, self.now))
            .collect();
        let untried: Vec<WorkerId> =
            permitted.iter().copied().filter(|worker| !self.request.tried.contains(worker)).collect();
        if untried.is_empty() { permitted } else { untried }
    }

    /// Returns a failed worker that is due for a half-open probe, if the loss of the attempt would be
    /// harmless.
    fn worker_to_probe(&self, permitted: &[WorkerId]) -> Option<WorkerId> {
        let may_repeat = self.context.class(self.request).idempotency != Idempotency::NotIdempotent;
        if !may_repeat || self.request.attempts > 0 {
            return None;
        }
        permitted.iter().copied().find(|&worker| self.is_probe_due(worker))
    }

    /// Returns whether the request may serve as a half-open probe of a failed worker: nothing else would
    /// show that the worker has recovered.
    fn is_probe_due(&self, id: WorkerId) -> bool {
        let worker = self.context.workers.get(id);
        let class = self.request.class;
        let time_left = self.request.useful_until.saturating_sub(self.now) as f64
            - self.request.size / worker.capacity.of_class(class);
        self.context.health.excess_failures(worker) > 0
            && worker.health.probe_pause_is_over(self.now)
            && worker.outstanding().is_empty()
            && worker.current_wait(class, self.now, 0.0) <= time_left.max(0.0)
    }

    /// Returns the workers that are healthy and accept the class; if there are none, those that may be
    /// probed.
    fn candidates(&self, permitted: Vec<WorkerId>) -> Vec<WorkerId> {
        let candidates: Vec<WorkerId> = permitted
            .iter()
            .copied()
            .filter(|&worker| self.context.is_healthy(worker))
            .filter(|&worker| self.context.accepts_class(worker, self.request.class, self.now))
            .collect();
        if !candidates.is_empty() {
            return candidates;
        }
        permitted.into_iter().filter(|&worker| self.is_probe_due(worker)).collect()
    }

    /// Returns the lane of the job among `lanes`, 0 for the smallest jobs, by the paper's thresholds w_r =
    /// (1+…+r)/(1+…+n)·S_max. Larger jobs go to faster workers.
    fn size_lane(&self, lanes: usize) -> usize {
        if !self.request.has_work_hint {
            return lanes / 2;
        }
        let all = (lanes * (lanes + 1) / 2) as f64;
        let threshold =
            |lane: usize| (lane * (lane + 1) / 2) as f64 / all * self.context.arrivals.largest_lane_size();
        (1..lanes).find(|&lane| self.request.size <= threshold(lane)).map_or(lanes - 1, |lane| lane - 1)
    }

    /// Returns the cheapest of the lane worker, its random rival and the affinity set.
    fn best_of_drawn(&self, lane_worker: WorkerId, rival: WorkerId) -> WorkerId {
        let mut best = self.cheaper(lane_worker, rival);
        for &worker in self.affinity_set {
            best = self.cheaper(worker, best);
        }
        best
    }

    /// Returns the cheaper of two workers, including the load of other dispatchers; the first if they are
    /// equal.
    fn cheaper(&self, first: WorkerId, second: WorkerId) -> WorkerId {
        if self.cost_with_hidden_wait(second) < self.cost_with_hidden_wait(first) { second } else { first }
    }

    /// The load of other dispatchers, known late, counts only between workers that were drawn at random: it
    /// is the same at all dispatchers, which would otherwise all move to the same workers.
    fn cost_with_hidden_wait(&self, worker: WorkerId) -> f64 {
        self.cost(worker) + self.context.hidden_wait(self.request, worker, self.now)
    }

    /// Returns the cost of sending the request to a worker, in microseconds, without a fetch that is likely
    /// unnecessary.
    fn cost(&self, worker: WorkerId) -> f64 {
        let cost = self.context.cost_of_send(self.request, worker, self.now);
        let cached = || self.context.workers.get(worker).has_key(self.request.affinity_key);
        let is_spared_fetch = self.affinity_set.contains(&worker) && !cached();
        cost - if is_spared_fetch { self.affinity_discount() } else { 0.0 }
    }

    fn affinity_discount(&self) -> f64 {
        let workers = self.context.workers;
        AFFINITY_FETCH_DISCOUNT * workers.excess_zone_groups() / workers.zone_groups()
            * KEY_FETCH_COST
            * self.context.arrivals.mean_size()
    }

    /// Returns whether a worker would start the request at once and answer it in time.
    fn is_free_for(&self, id: WorkerId) -> bool {
        let worker = self.context.workers.get(id);
        let expected_wait = self.context.expected_wait(worker, self.request.class, self.now);
        self.context.starts_at_once(self.request, id, self.now, expected_wait)
            && self.context.would_be_useful(self.request, id, self.now, false)
    }

    /// Returns the cheapest candidate or member of the affinity set that has room. A request that would be
    /// late is sent only if no other request waits.
    fn best_with_room(&self, mut candidates: Vec<WorkerId>) -> Option<WorkerId> {
        let members = self.context.subset.members();
        candidates.extend(self.affinity_set.iter().filter(|worker| !members.contains(worker)));
        let (_, best) = candidates
            .into_iter()
            .filter(|&worker| self.suits_key(worker) && self.context.has_room(worker, self.now))
            .map(|worker| (self.cost(worker), worker))
            .min_by(|left, right| left.0.total_cmp(&right.0))?;
        self.context.would_be_useful(self.request, best, self.now, self.is_most_urgent).then_some(best)
    }

    /// Returns whether a worker is likely to have the request's key, since a fetch costs more than a wait.
    /// In a large zone, any free worker will do.
    fn suits_key(&self, worker: WorkerId) -> bool {
        let key = self.request.affinity_key;
        key == 0
            || self.affinity_set.contains(&worker)
            || self.context.workers.get(worker).has_key(key)
            || self.context.workers.excess_zone_groups() > 0.0 && self.is_free_for(worker)
    }
}
