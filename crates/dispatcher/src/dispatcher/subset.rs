//! The workers that this dispatcher works with: the paper's top N, chosen per dispatcher.
//!
//! Each dispatcher has its own subset, in which a worker is the more likely the more it can do at present.
//! This guards against estimates that are out of date, many connections, and all dispatchers at one worker
//! in slow start.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::arrival_statistics::ArrivalStatistics;
use crate::dispatcher::rendezvous::{Candidate, limit_choices};
use crate::interface::{Micros, WorkerId};

/// The least size: below it one failed worker would be too large a share, and big and small jobs share lanes.
const MIN_SIZE: f64 = 8.0;
/// The size before anything has arrived.
const INITIAL_SIZE: usize = 2 * MIN_SIZE as usize;
/// Workers for each job that runs: a longer queue would be known for so long that it has changed.
const WORKERS_PER_RUNNING_JOB: f64 = 3.0;
/// The subset shrinks where the size that the load asks for is below this multiple of its size.
const SHRINK_BELOW: f64 = 0.7;
/// The subset grows where the size that the load asks for is above this multiple of its size.
const GROW_ABOVE: f64 = 1.3;
/// The nearest workers are looked up again after this time, since weights change in slow start.
const REFRESH_INTERVAL: Micros = 1_000_000;
/// How many times the size of the subset is looked up, so that ejected workers can be replaced.
const CANDIDATES_PER_MEMBER: usize = 3;
/// The nearest workers, in subset sizes, among which ejected ones are replaced by further ones.
const REPLACED_RANGE: usize = 2;

/// The least total that a weight is divided by.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// The nearest workers at one moment.
pub(super) struct NearestWorkers {
    /// The nearest to this dispatcher, for all classes.
    pub(super) for_all: Vec<WorkerId>,
    /// For each class that only one kind of machine runs, the nearest of that kind.
    pub(super) by_class: Vec<Vec<WorkerId>>,
    /// The total weight of all workers that take new work.
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
    /// The probability of a worker to be nearest, per weight.
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
    /// The workers to work with, the nearest first.
    pub(super) fn members(&self) -> &[WorkerId] {
        &self.members
    }

    /// The nearest workers that run a class which only one kind of machine does.
    pub(super) fn nearest_of_class(&self, class: usize) -> &[WorkerId] {
        &self.nearest_by_class[class]
    }

    /// The probability with which any one dispatcher has a worker of this weight in its subset; 1 for a
    /// worker outside of this one.
    pub(super) fn probability_of(&self, id: WorkerId, weight: f64) -> f64 {
        if self.members.contains(&id) { self.probability_per_weight * weight } else { 1.0 }
    }

    /// Follows the load with the size of the subset.
    pub(super) fn follow_load(&mut self, arrivals: &ArrivalStatistics) {
        let size =
            (WORKERS_PER_RUNNING_JOB * arrivals.mean_size() / arrivals.mean_gap()).max(MIN_SIZE).ceil();
        let current = self.target_size as f64;
        if size > GROW_ABOVE * current || size < SHRINK_BELOW * current {
            self.target_size = size as usize;
            self.nearest_stale = true;
        }
    }

    /// The worker list or a weight in it has changed.
    pub(super) fn invalidate_nearest(&mut self) {
        self.nearest_stale = true;
    }

    /// A worker has failed, recovered or rejected work.
    pub(super) fn invalidate_members(&mut self) {
        self.members_stale = true;
    }

    /// Whether the nearest workers must be looked up again; it is taken to be done then.
    pub(super) fn take_nearest_due(&mut self, now: Micros) -> bool {
        std::mem::take(&mut self.nearest_stale) || now >= self.refresh_at
    }

    /// Whether the members must be chosen again; it is taken to be done then.
    pub(super) fn take_members_due(&mut self) -> bool {
        std::mem::take(&mut self.members_stale)
    }

    /// How many nearest workers to look up in a list of so many.
    pub(super) fn lookup_size(&self, workers: usize) -> usize {
        CANDIDATES_PER_MEMBER * self.target_size.min(workers)
    }

    /// Sets what was looked up in a list of so many workers.
    pub(super) fn set_nearest(&mut self, now: Micros, workers: usize, nearest: NearestWorkers) {
        let size = self.target_size.min(workers);
        self.probability_per_weight = size as f64 / nearest.total_weight.max(MIN_TOTAL_WEIGHT);
        self.nearest = nearest.for_all;
        self.nearest_by_class = nearest.by_class;
        self.refresh_at = now + REFRESH_INTERVAL;
    }

    /// Chooses the members of a list of so many workers; one that is ejected takes no place of them.
    pub(super) fn choose_members(&mut self, workers: usize, is_ejected: impl Fn(WorkerId) -> bool) {
        let size = self.target_size.min(workers);
        let ejected = self.nearest.iter().take(REPLACED_RANGE * size).filter(|&&id| is_ejected(id)).count();
        self.members = self.nearest.iter().take(size + ejected).copied().collect();
    }
}

impl Dispatcher {
    /// Looks at all workers in the list: which are the nearest to this dispatcher, and how much they weigh.
    /// It costs more the longer the list is, so it is not done for every request.
    pub(super) fn look_up_nearest_workers(&mut self, now: Micros) {
        let context = self.context();
        let candidate = |&id: &WorkerId| Candidate {
            id,
            name_hash: context.workers.get(id).entry.name_hash,
            weight: context.present_weight(id, now),
        };
        let candidates: Vec<Candidate> = context.workers.ready().iter().map(candidate).collect();
        let total_weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let workers = candidates.len();
        self.affinity.set_candidates(candidates);
        let limit = self.subset.lookup_size(workers);
        let for_all = self.affinity.nearest_to_instance(limit, |_| true);
        let limit_of_class = limit_choices(workers, workers).max(limit);
        let classes = 0..self.settings.classes.len();
        let by_class = classes.map(|class| self.nearest_of_class(class, limit_of_class)).collect();
        let nearest = NearestWorkers { for_all, by_class, total_weight };
        for &id in nearest.for_all.iter().chain(nearest.by_class.iter().flatten()) {
            self.capacity.estimate(&mut self.workers, id);
        }
        self.subset.set_nearest(now, workers, nearest);
    }

    /// The nearest workers that run a class, if only one kind of machine does: the subset may have none of
    /// them.
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
            !health.is_healthy(worker) || worker.health.has_rejected(now)
        };
        self.subset.choose_members(workers.ready().len(), is_ejected);
    }
}
