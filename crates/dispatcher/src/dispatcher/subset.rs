//! The subset of workers that this dispatcher uses: the paper's top N, but different for each dispatcher.
//!
//! A worker is in the subset with a probability in proportion to its effective weight. A small subset keeps
//! estimates from being outdated, limits the number of connections, and keeps all dispatchers from sending to
//! the same worker during its slow start.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::arrival_statistics::ArrivalStatistics;
use crate::dispatcher::rendezvous::{Candidate, limit_choices};
use crate::interface::{Micros, WorkerId};

/// Lower bound of the subset's size. In a smaller subset, one failed worker is a large part of it, and large
/// and small jobs share size intervals.
const MIN_SIZE: f64 = 8.0;
/// Size of the subset before the first arrival.
const INITIAL_SIZE: usize = 2 * MIN_SIZE as usize;
/// Number of workers in the subset for each running job. With fewer, estimates are based on queues that have
/// changed since they were measured.
const WORKERS_PER_RUNNING_JOB: f64 = 3.0;
/// The subset shrinks if the load requires less than this fraction of its target size.
const SHRINK_THRESHOLD: f64 = 0.7;
/// The subset grows if the load requires more than this multiple of its target size.
const GROW_THRESHOLD: f64 = 1.3;
/// Interval at which the nearest workers are looked up, in microseconds, since weights change during slow
/// start.
const REFRESH_INTERVAL: Micros = 1_000_000;
/// Number of workers looked up for each member, so that ejected ones can be replaced.
const CANDIDATES_PER_MEMBER: usize = 3;
/// Range in which ejected workers are replaced: the nearest workers, up to this multiple of the subset's
/// size.
const REPLACEMENT_RANGE: usize = 2;

/// Lower bound of the total weight, which is used as a divisor.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// Result of a lookup of the nearest workers.
pub(super) struct NearestWorkers {
    /// Workers of all kinds, the nearest to this dispatcher first.
    pub(super) of_all_kinds: Vec<WorkerId>,
    /// By class: workers of the kind that runs it, the nearest first; empty if all kinds run it.
    pub(super) by_class: Vec<Vec<WorkerId>>,
    /// Total effective weight of all workers that accept new work.
    pub(super) total_weight: f64,
}

/// The subset, and the workers from which it is chosen.
pub(super) struct WorkerSubset {
    target_size: usize,
    members: Vec<WorkerId>,
    members_stale: bool,
    nearest: Vec<WorkerId>,
    nearest_by_class: Vec<Vec<WorkerId>>,
    nearest_stale: bool,
    refresh_at: Micros,
    /// Probability of being in a dispatcher's subset, per unit of effective weight.
    probability_per_weight: f64,
}

impl Default for WorkerSubset {
    fn default() -> Self {
        WorkerSubset {
            target_size: INITIAL_SIZE,
            members: Vec::new(),
            members_stale: false,
            nearest: Vec::new(),
            nearest_by_class: Vec::new(),
            nearest_stale: false,
            refresh_at: 0,
            probability_per_weight: 0.0,
        }
    }
}

impl WorkerSubset {
    /// Returns the workers to use, the nearest first.
    pub(super) fn members(&self) -> &[WorkerId] {
        &self.members
    }

    /// Returns the nearest workers that run a class that only one kind runs.
    pub(super) fn nearest_of_class(&self, class: usize) -> &[WorkerId] {
        &self.nearest_by_class[class]
    }

    /// Returns the probability that a given dispatcher has a worker of this effective weight in its subset; 1
    /// for a worker that is not in this dispatcher's subset.
    pub(super) fn membership_probability(&self, id: WorkerId, weight: f64) -> f64 {
        if self.members.contains(&id) { self.probability_per_weight * weight } else { 1.0 }
    }

    /// Adapts the target size to the load. Small changes of the load do not change it.
    pub(super) fn resize_for_load(&mut self, arrivals: &ArrivalStatistics) {
        let size =
            (WORKERS_PER_RUNNING_JOB * arrivals.mean_size() / arrivals.mean_gap()).max(MIN_SIZE).ceil();
        let current = self.target_size as f64;
        if size > GROW_THRESHOLD * current || size < SHRINK_THRESHOLD * current {
            self.target_size = size as usize;
            self.nearest_stale = true;
        }
    }

    /// Marks the nearest workers as outdated, after the worker list has changed.
    pub(super) fn invalidate_nearest(&mut self) {
        self.nearest_stale = true;
    }

    /// Marks the members as outdated, after a worker has failed, recovered or rejected a job.
    pub(super) fn invalidate_members(&mut self) {
        self.members_stale = true;
    }

    /// Returns whether the nearest workers must be looked up again, and clears the mark.
    pub(super) fn take_nearest_due(&mut self, now: Micros) -> bool {
        std::mem::take(&mut self.nearest_stale) || now >= self.refresh_at
    }

    /// Returns whether the members must be chosen again, and clears the mark.
    pub(super) fn take_members_due(&mut self) -> bool {
        std::mem::take(&mut self.members_stale)
    }

    /// Returns how many of the nearest workers to look up in a list of this length.
    pub(super) fn lookup_size(&self, workers: usize) -> usize {
        CANDIDATES_PER_MEMBER * self.target_size.min(workers)
    }

    /// Stores the result of a lookup in a list of this length.
    pub(super) fn set_nearest(&mut self, now: Micros, workers: usize, nearest: NearestWorkers) {
        let size = self.target_size.min(workers);
        self.probability_per_weight = size as f64 / nearest.total_weight.max(MIN_TOTAL_WEIGHT);
        self.nearest = nearest.of_all_kinds;
        self.nearest_by_class = nearest.by_class;
        self.refresh_at = now + REFRESH_INTERVAL;
    }

    /// Chooses the members in a list of this length. Ejected workers do not count towards the size.
    pub(super) fn choose_members(&mut self, workers: usize, is_ejected: impl Fn(WorkerId) -> bool) {
        let size = self.target_size.min(workers);
        let ejected =
            self.nearest.iter().take(REPLACEMENT_RANGE * size).filter(|&&id| is_ejected(id)).count();
        self.members = self.nearest.iter().take(size + ejected).copied().collect();
    }
}

impl Dispatcher {
    /// Looks up the workers nearest to this dispatcher among all ready workers. That is expensive in long
    /// lists, so it is not done for every request.
    pub(super) fn look_up_nearest_workers(&mut self, now: Micros) {
        let context = self.context();
        let candidate = |&id: &WorkerId| Candidate {
            id,
            name_hash: context.workers.get(id).entry.name_hash,
            weight: context.effective_weight(id, now),
        };
        let candidates: Vec<Candidate> = context.workers.ready().iter().map(candidate).collect();
        let total_weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let workers = candidates.len();
        self.affinity.set_candidates(candidates);
        let limit = self.subset.lookup_size(workers);
        let of_all_kinds = self.affinity.nearest_to_instance(limit, |_| true);
        let limit_of_class = limit_choices(workers, workers).max(limit);
        let classes = 0..self.settings.classes.len();
        let by_class = classes.map(|class| self.nearest_of_class(class, limit_of_class)).collect();
        let nearest = NearestWorkers { of_all_kinds, by_class, total_weight };
        for &id in nearest.of_all_kinds.iter().chain(nearest.by_class.iter().flatten()) {
            self.capacity.estimate(&mut self.workers, id);
        }
        self.subset.set_nearest(now, workers, nearest);
    }

    /// Returns the nearest workers that run a class, if only one kind does: the subset may contain none of
    /// them.
    fn nearest_of_class(&self, class: usize, limit: usize) -> Vec<WorkerId> {
        if self.settings.classes[class].worker_kind.is_none() {
            return Vec::new();
        }
        let context = self.context();
        self.affinity.nearest_to_instance(limit, |id| context.runs_class(id, class))
    }

    /// Chooses the subset from the nearest workers. A worker with a recent rejection counts as ejected here.
    pub(super) fn choose_subset(&mut self, now: Micros) {
        let (workers, health) = (&self.workers, &self.health);
        let is_ejected = |id| {
            let worker = workers.get(id);
            !health.is_healthy(worker) || worker.health.has_recent_rejection(now)
        };
        self.subset.choose_members(workers.ready().len(), is_ejected);
    }
}
