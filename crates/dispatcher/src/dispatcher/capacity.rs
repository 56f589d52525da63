//! Estimates of the processing capacity of each worker.

use crate::dispatcher::decayed_mean::{DecayedMean, HISTORY_OBSERVATIONS};
use crate::dispatcher::worker_table::WorkerTable;
use crate::interface::WorkerId;

/// Lower bound of an estimate, in standard cores.
const MIN_CAPACITY: f64 = 1e-3;
/// Lower bound of the factor by which a worker's weight changes the mean capacity.
const MIN_WEIGHT_FACTOR: f64 = 0.5;
/// Upper bound of the factor by which a worker's weight changes the mean capacity.
const MAX_WEIGHT_FACTOR: f64 = 2.0;
/// Number of observations averaged for a worker kind, as a multiple of that for one worker.
const KIND_HISTORY_FACTOR: f64 = 2.0;
/// Number of observations averaged for all workers together, as a multiple of that for one worker.
const ALL_WORKERS_HISTORY_FACTOR: f64 = 4.0;

/// Estimated Processing Capacity (EPC) of one worker outside slow start, in standard cores: the average of a
/// job's running time on a standard core over the time that the worker needed for it. 1 is a standard core
/// without a queue.
#[derive(Default)]
pub(super) struct EstimatedCapacity {
    /// Observations by class.
    observed: Vec<DecayedMean>,
    /// Estimates by class.
    estimates: Vec<f64>,
}

impl EstimatedCapacity {
    /// Sets the number of classes.
    pub(super) fn resize(&mut self, classes: usize) {
        self.observed.resize(classes, DecayedMean::default());
    }

    /// Returns the estimate for jobs of a class; 1 before there is any.
    pub(super) fn of_class(&self, class: usize) -> f64 {
        self.estimates.get(class).copied().unwrap_or(1.0)
    }

    /// Returns the lowest estimate of all classes; 1 before there is any.
    pub(super) fn lowest(&self) -> f64 {
        self.estimates.iter().copied().reduce(f64::min).unwrap_or(1.0)
    }

    /// Recomputes the estimate of each class from its observations and those of all classes; `prior` replaces
    /// missing observations.
    fn update(&mut self, prior: f64) {
        let overall = DecayedMean::combined(&self.observed).mean(prior);
        self.estimates.clear();
        self.estimates.extend(self.observed.iter().map(|class| class.mean(overall).max(MIN_CAPACITY)));
    }
}

/// Estimates the capacity of workers from their own observations, those of their kind, and their weight.
#[derive(Default)]
pub(super) struct CapacityEstimator {
    all_workers: DecayedMean,
}

impl CapacityEstimator {
    /// Records the capacity that a worker showed with one job. `at_full_capacity` is false in slow start,
    /// when the observation does not apply to other workers.
    pub(super) fn observe(
        &mut self,
        workers: &mut WorkerTable,
        id: WorkerId,
        class: usize,
        capacity: f64,
        at_full_capacity: bool,
    ) {
        if let Some(observed) = workers.get_mut(id).capacity.observed.get_mut(class) {
            observed.add(capacity, HISTORY_OBSERVATIONS);
        }
        if at_full_capacity {
            self.all_workers.add(capacity, ALL_WORKERS_HISTORY_FACTOR * HISTORY_OBSERVATIONS);
            workers.kind_mut(id).capacity.add(capacity, KIND_HISTORY_FACTOR * HISTORY_OBSERVATIONS);
        }
        self.estimate(workers, id);
    }

    /// Recomputes the estimates of a worker.
    pub(super) fn estimate(&self, workers: &mut WorkerTable, id: WorkerId) {
        let worker = workers.get(id);
        let relative_weight =
            workers.unloaded_weight(worker) * workers.ready().len() as f64 / workers.total_weight();
        let weight_factor = relative_weight.sqrt().clamp(MIN_WEIGHT_FACTOR, MAX_WEIGHT_FACTOR);
        let by_weight = self.all_workers.mean(1.0) * weight_factor;
        let by_kind = workers.kind(worker).capacity.mean(by_weight);
        workers.get_mut(id).capacity.update(by_kind);
    }
}
