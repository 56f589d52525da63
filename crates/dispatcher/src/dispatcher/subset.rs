//! The subset of workers that this dispatcher uses: the paper's top N, but different for each dispatcher.
//!
//! A worker is in the subset with a probability in proportion to its effective weight. A small subset keeps
//! estimates from being outdated, limits the number of connections, and keeps all dispatchers from sending to
//! the same worker during its slow start.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::arrival_statistics::ArrivalStatistics;
use crate::dispatcher::rendezvous::{Candidate, limit_choices};
use crate::dispatcher::slow_start::capacity_fraction;
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

/// Lower bound of a sum of weights, which is used as a divisor.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;
/// Largest number of steps in the search for the distance of the nearest workers.
const MAX_DISTANCE_STEPS: usize = 12;
/// The search ends when the expected number of workers within the distance is right to this fraction.
const DISTANCE_PRECISION: f64 = 0.01;

/// Result of a lookup of the nearest workers.
pub(super) struct NearestWorkers {
    /// Workers of all kinds, the nearest to this dispatcher first.
    pub(super) of_all_kinds: Vec<WorkerId>,
    /// By class: workers of the kind that runs it, the nearest first; empty if all kinds run it.
    pub(super) by_class: Vec<Vec<WorkerId>>,
    /// Distance within which a dispatcher's nearest workers are expected, see [`distance_of_nearest`].
    pub(super) distance: f64,
}

/// The subset, and the workers from which it is chosen.
pub(super) struct WorkerSubset {
    target_size: usize,
    /// Number of members unless some are ejected: the target size, or the length of the list if that is less.
    size: usize,
    members: Vec<WorkerId>,
    members_stale: bool,
    nearest: Vec<WorkerId>,
    nearest_by_class: Vec<Vec<WorkerId>>,
    nearest_stale: bool,
    refresh_at: Micros,
    /// Distance within which a dispatcher's nearest workers are expected, see [`distance_of_nearest`].
    nearest_distance: f64,
}

impl Default for WorkerSubset {
    fn default() -> Self {
        WorkerSubset {
            target_size: INITIAL_SIZE,
            size: 0,
            members: Vec::new(),
            members_stale: false,
            nearest: Vec::new(),
            nearest_by_class: Vec::new(),
            nearest_stale: false,
            refresh_at: 0,
            nearest_distance: 0.0,
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

    /// Returns the probability that a worker of this effective weight is among the nearest ones of a given
    /// dispatcher, as many as the subset's size. Workers that replace ejected ones are not counted.
    pub(super) fn probability_of_nearest(&self, weight: f64) -> f64 {
        1.0 - (-weight * self.nearest_distance).exp()
    }

    /// Returns whether a worker is among the nearest ones of this dispatcher, as many as the subset's size.
    pub(super) fn is_nearest(&self, id: WorkerId) -> bool {
        self.nearest.iter().take(self.size).any(|&nearest| nearest == id)
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
        self.size = self.target_size.min(workers);
        self.nearest_distance = nearest.distance;
        self.nearest = nearest.of_all_kinds;
        self.nearest_by_class = nearest.by_class;
        self.refresh_at = now + REFRESH_INTERVAL;
    }

    /// Chooses the members: the nearest workers, and for each ejected one the next nearest. A worker that
    /// accepts only a part of its work (`is_limited`) replaces none.
    pub(super) fn choose_members(
        &mut self,
        is_ejected: impl Fn(WorkerId) -> bool,
        is_limited: impl Fn(WorkerId) -> bool,
    ) {
        let in_range = self.nearest.iter().take(REPLACEMENT_RANGE * self.size);
        let ejected = in_range.filter(|&&id| is_ejected(id)).count();
        let (nearest, replacements) = self.nearest.split_at(self.size.min(self.nearest.len()));
        let replacements = replacements.iter().take(ejected).filter(|&&id| !is_limited(id));
        self.members = nearest.iter().chain(replacements).copied().collect();
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
        let workers = candidates.len();
        let weights = candidates.iter().map(|candidate| candidate.weight);
        let distance = distance_of_nearest(self.subset.target_size, &weights.collect::<Vec<_>>());
        self.affinity.set_candidates(candidates);
        let limit = self.subset.lookup_size(workers);
        let of_all_kinds = self.affinity.nearest_to_instance(limit, |_| true);
        let limit_of_class = limit_choices(workers, workers).max(limit);
        let classes = 0..self.settings.classes.len();
        let by_class = classes.map(|class| self.nearest_of_class(class, limit_of_class)).collect();
        let nearest = NearestWorkers { of_all_kinds, by_class, distance };
        for &id in nearest.of_all_kinds.iter().chain(nearest.by_class.iter().flatten()) {
            self.capacity.estimate(&mut self.workers, id);
        }
        self.subset.set_nearest(now, workers, nearest);
        self.update_throughput_weight(now);
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
        let rules = &self.settings.slow_start;
        let is_ejected = |id| {
            let worker = workers.get(id);
            !health.is_healthy(worker) || worker.health.has_recent_rejection(now)
        };
        let is_limited = |id| capacity_fraction(rules, workers.get(id).entry.started_at, now) < 1.0;
        self.subset.choose_members(is_ejected, is_limited);
    }
}

/// Returns the distance within which a dispatcher finds `count` workers of these weights on average. In
/// weighted rendezvous hashing, the distance of a worker is exponentially distributed with the rate of its
/// weight, so it is within a distance d with the probability 1 - exp(-weight * d).
fn distance_of_nearest(count: usize, weights: &[f64]) -> f64 {
    if count >= weights.len() {
        return f64::INFINITY;
    }
    let total: f64 = weights.iter().sum();
    let mut distance = count as f64 / total.max(MIN_TOTAL_WEIGHT);
    // Newton's method; the number is concave in the distance, so every step ends below the solution.
    for _ in 0..MAX_DISTANCE_STEPS {
        let (mut expected, mut slope) = (0.0, 0.0);
        for weight in weights {
            let beyond = (-weight * distance).exp();
            expected += 1.0 - beyond;
            slope += weight * beyond;
        }
        let missing = count as f64 - expected;
        if missing <= DISTANCE_PRECISION * count as f64 {
            break;
        }
        distance += missing / slope.max(MIN_TOTAL_WEIGHT);
    }
    distance
}
