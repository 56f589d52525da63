//! Choice of a worker for a request: compares the worker for the job's size with one random candidate and the
//! affinity set of the request's key.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::cached_keys::KEY_FETCH_COST;
use crate::dispatcher::context::DecisionContext;
use crate::dispatcher::request::Request;
use crate::interface::{Idempotency, Micros, RequestId, WorkerId};

/// Upper bound of the fraction of a key's fetch time that does not count in the cost of a worker in the
/// affinity set. The actual fraction grows with the zone: in a large zone, other dispatchers have probably
/// sent the worker jobs with the same key, so it has fetched the data already.
const MAX_AFFINITY_FETCH_DISCOUNT: f64 = 0.9;

impl Dispatcher {
    /// Chooses the worker for a request; returns none if the request has to wait.
    pub(super) fn choose_worker(&mut self, id: RequestId, now: Micros) -> Option<WorkerId> {
        let class = self.requests.get(&id)?.class;
        let uniform_sample = self.rng.f64();
        self.refresh_ranking(class, now);
        let affinity_set = self.affinity_set(id, now);
        let selection = Selection {
            context: self.context(),
            request: self.requests.get(&id)?,
            affinity_set: &affinity_set,
            is_most_urgent: self.pending.is_most_urgent(id),
            now,
        };
        selection.choose(self.ranking.of_class(class), uniform_sample)
    }
}

/// Inputs of the choice.
struct Selection<'a> {
    context: DecisionContext<'a>,
    request: &'a Request,
    affinity_set: &'a [WorkerId],
    /// Whether the request is the first of the pending ones, or no request is pending.
    is_most_urgent: bool,
    now: Micros,
}

impl Selection<'_> {
    /// Chooses among the ranked workers, fastest first. `uniform_sample` is uniformly distributed in 0..1 and
    /// picks the random candidate.
    fn choose(&self, ranked: &[WorkerId], uniform_sample: f64) -> Option<WorkerId> {
        let permitted = self.permitted(ranked);
        if let Some(probed) = self.worker_to_probe(&permitted) {
            return Some(probed);
        }
        let candidates = self.candidates(permitted);
        let random_candidate = *candidates.get((uniform_sample * candidates.len() as f64) as usize)?;
        let worker_for_size = candidates[candidates.len() - 1 - self.size_interval(candidates.len())];
        let best = self.cheapest_choice(worker_for_size, random_candidate);
        if self.can_serve_immediately(best) {
            return Some(best);
        }
        self.best_with_room(candidates)
    }

    /// Returns the workers to which the request may be sent. Those that it was sent to before are included
    /// only if there are no others.
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

    /// Returns a failed worker that is due for a half-open probe, if this is the first attempt of a request
    /// that may be repeated: it can be sent again when the probe fails.
    fn worker_to_probe(&self, permitted: &[WorkerId]) -> Option<WorkerId> {
        let may_repeat = self.context.class(self.request).idempotency != Idempotency::NotIdempotent;
        if !may_repeat || self.request.attempts > 0 {
            return None;
        }
        permitted.iter().copied().find(|&worker| self.is_probe_due(worker))
    }

    /// Returns whether the request may be used as a half-open probe of a failed worker: only a job can show
    /// that the worker has recovered.
    fn is_probe_due(&self, id: WorkerId) -> bool {
        let worker = self.context.workers.get(id);
        let class = self.request.class;
        let time_left = self.request.value_deadline.saturating_sub(self.now) as f64
            - self.request.size / worker.capacity.of_class(class);
        self.context.health.excess_failures(worker) > 0
            && worker.health.probe_backoff_elapsed(self.now)
            && worker.outstanding().is_empty()
            && worker.current_wait(class, self.now, 0.0) <= time_left.max(0.0)
    }

    /// Returns the workers that are healthy and accept the class; if there are none, those that are due for a
    /// probe.
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

    /// Returns the size interval of the job among `intervals`, 0 for the smallest jobs, by the paper's
    /// thresholds w_r = (1+…+r)/(1+…+n)·S_max. Larger jobs go to faster workers. A job without a work hint is
    /// in the middle interval.
    fn size_interval(&self, intervals: usize) -> usize {
        if !self.request.has_work_hint {
            return intervals / 2;
        }
        let all = (intervals * (intervals + 1) / 2) as f64;
        let threshold = |interval: usize| {
            (interval * (interval + 1) / 2) as f64 / all * self.context.arrivals.size_quantile()
        };
        (1..intervals)
            .find(|&interval| self.request.size <= threshold(interval))
            .map_or(intervals - 1, |interval| interval - 1)
    }

    /// Returns the cheapest of the worker for the job's size, the random candidate and the affinity set.
    fn cheapest_choice(&self, worker_for_size: WorkerId, random_candidate: WorkerId) -> WorkerId {
        let mut best = self.cheaper(worker_for_size, random_candidate);
        for &worker in self.affinity_set {
            best = self.cheaper(worker, best);
        }
        best
    }

    /// Returns the cheaper of two workers, including the load of other dispatchers; the first if the costs
    /// are equal.
    fn cheaper(&self, first: WorkerId, second: WorkerId) -> WorkerId {
        if self.cost_with_external_wait(second) < self.cost_with_external_wait(first) {
            second
        } else {
            first
        }
    }

    /// Returns the cost including the wait for jobs of other dispatchers. That wait is known only with a
    /// delay, and all dispatchers see the same one. It is therefore used only to compare the few workers
    /// picked for this request: if it ranked all workers, all dispatchers would send to the same ones at once
    /// (herding).
    fn cost_with_external_wait(&self, worker: WorkerId) -> f64 {
        self.cost(worker) + self.context.external_wait(self.request, worker, self.now)
    }

    /// Returns the cost of sending the request to a worker, in microseconds, with a discount if the worker
    /// has probably fetched the key for other dispatchers.
    fn cost(&self, worker: WorkerId) -> f64 {
        let cost = self.context.cost_of_send(self.request, worker, self.now);
        let known_cached = || self.context.workers.get(worker).has_key(self.request.affinity_key);
        let assumed_cached = self.affinity_set.contains(&worker) && !known_cached();
        cost - if assumed_cached { self.fetch_discount() } else { 0.0 }
    }

    fn fetch_discount(&self) -> f64 {
        let workers = self.context.workers;
        MAX_AFFINITY_FETCH_DISCOUNT * workers.groups_above_small_zone() / workers.zone_groups()
            * KEY_FETCH_COST
            * self.context.arrivals.mean_size()
    }

    /// Returns whether a worker would start the request immediately and respond in time.
    fn can_serve_immediately(&self, id: WorkerId) -> bool {
        let worker = self.context.workers.get(id);
        let expected_wait = self.context.expected_wait(worker, self.request.class, self.now);
        self.context.starts_immediately(self.request, id, self.now, expected_wait)
            && self.context.would_be_in_time(self.request, id, self.now, false)
    }

    /// Returns the cheapest worker, among the candidates and the affinity set, that has room and satisfies
    /// the affinity. If it would respond late, it is returned only if the request is the most urgent one,
    /// would start immediately, and could be in time within the error of its work hint.
    fn best_with_room(&self, mut candidates: Vec<WorkerId>) -> Option<WorkerId> {
        let members = self.context.subset.members();
        candidates.extend(self.affinity_set.iter().filter(|worker| !members.contains(worker)));
        let (_, best) = candidates
            .into_iter()
            .filter(|&worker| self.satisfies_affinity(worker) && self.context.has_room(worker, self.now))
            .map(|worker| (self.cost(worker), worker))
            .min_by(|left, right| left.0.total_cmp(&right.0))?;
        self.context.would_be_in_time(self.request, best, self.now, self.is_most_urgent).then_some(best)
    }

    /// Returns whether a worker is acceptable for the request's affinity key: it probably has the data. To
    /// fetch the data costs more than to wait for such a worker. In a large zone, a worker that can serve the
    /// request immediately is acceptable without the data.
    fn satisfies_affinity(&self, worker: WorkerId) -> bool {
        let key = self.request.affinity_key;
        key == 0
            || self.affinity_set.contains(&worker)
            || self.context.workers.get(worker).has_key(key)
            || self.context.workers.groups_above_small_zone() > 0.0 && self.can_serve_immediately(worker)
    }
}
