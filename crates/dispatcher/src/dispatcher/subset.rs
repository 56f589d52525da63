//! The subset of workers that this dispatcher uses: the paper's top N, different for each dispatcher.
//!
//! A worker is in the subset with a probability in proportion to its present weight. Small subsets guard
//! against outdated estimates, large numbers of connections, and all dispatchers using the same worker in
//! slow start.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::arrival_statistics::ArrivalStatistics;
use crate::dispatcher::rendezvous::{Candidate, limit_choices};
use crate::interface::{Micros, WorkerId};

/// The least size: in a smaller one, a failed worker is too large a share, and large and small jobs share
/// lanes.
const MIN_SIZE: f64 = 8.0;
/// The size before the first arrival.
const INITIAL_SIZE: usize = 2 * MIN_SIZE as usize;
/// The number of workers for each running job. With fewer, estimates are based on queues that have changed
/// since.
const WORKERS_PER_RUNNING_JOB: f64 = 3.0;
/// The subset shrinks if the load requires less than this multiple of its size.
const SHRINK_THRESHOLD: f64 = 0.7;
/// The subset grows if the load requires more than this multiple of its size.
const GROW_THRESHOLD: f64 = 1.3;
/// The nearest workers are looked up at this interval, since weights change during slow start.
const REFRESH_INTERVAL: Micros = 1_000_000;
/// The number of workers looked up for each member, so that ejected ones can be replaced.
const CANDIDATES_PER_MEMBER: usize = 3;
/// Ejected workers are replaced if they are among the nearest, up to this multiple of the subset's size.
const REPLACEMENT_RANGE: usize = 2;

/// Lower bound of a total weight that is divided by.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// The result of a lookup of the nearest workers.
pub(super) struct NearestWorkers {
    /// The nearest to this dispatcher, for all classes.
    pub(super) of_all_kinds: Vec<WorkerId>,
    /// By class: the nearest of the kind that runs it, if only one kind does.
    pub(super) by_class: Vec<Vec<WorkerId>>,
    /// The total present weight of all workers that accept new work.
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
    /// The probability of being in a subset, per weight.
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

    /// Returns the nearest workers that run a class which only one kind of machine runs.
    pub(super) fn nearest_of_class(&self, class: usize) -> &[WorkerId] {
        &self.nearest_by_class[class]
    }

    /// Returns the probability that a given dispatcher has a worker of this weight in its subset; 1 for a
    /// worker that is not in this subset.
    pub(super) fn membership_probability(&self, id: WorkerId, weight: f64) -> f64 {
        if self.members.contains(&id) { self.probability_per_weight * weight } else { 1.0 }
    }

    /// Adapts the size of the subset to the load.
    pub(super) fn resize_for_load(&mut self, arrivals: &ArrivalStatistics) {
        let size =
            (WORKERS_PER_RUNNING_JOB * arrivals.mean_size() / arrivals.mean_gap()).max(MIN_SIZE).ceil();
        let current = self.target_size as f64;
        if size > GROW_THRESHOLD * current || size < SHRINK_THRESHOLD * current {
            self.target_size = size as usize;
            self.nearest_stale = true;
        }
    }

    /// Marks the nearest workers as out of date, since the worker list has changed.
    pub(super) fn invalidate_nearest(&mut self) {
        self.nearest_stale = true;
    }

    /// Marks the members as out of date, since a worker has failed, recovered or rejected work.
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

    /// Chooses the members in a list of this length; ejected workers do not count towards the size.
    pub(super) fn choose_members(&mut self, workers: usize, is_ejected: impl Fn(WorkerId) -> bool) {
        let size = self.target_size.min(workers);
        let ejected =
            self.nearest.iter().take(REPLACEMENT_RANGE * size).filter(|&&id| is_ejected(id)).count();
        self.members = self.nearest.iter().take(size + ejected).copied().collect();
    }
}

impl Dispatcher {
    /// Looks up the workers that are nearest to this dispatcher among all workers. That is expensive in
    /// long lists, so it is not done for every request.
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

    /// Returns the nearest workers that run a class, if only one kind of machine does: the subset may
    /// contain none of them.
    fn nearest_of_class(&self, class: usize, limit: usize) -> Vec<WorkerId> {
        if self.settings.classes[class].worker_kind.is_none() {
            return Vec::new();
        }
        let context = self.context();
        self.affinity.nearest_to_instance(limit, |id| context.runs_class(id, class))
    }

    /// Chooses the subset from the nearest workers.
    pub(super) fn choose_subset(&mut self, now: Micros) {
        let (workers, health) = (&self.workers, &self.health);
        let is_ejected = |id| {
            let worker = workers.get(id);
            !health.is_healthy(worker) || worker.health.has_recent_rejection(now)
        };
        self.subset.choose_members(workers.ready().len(), is_ejected);
    }
}
