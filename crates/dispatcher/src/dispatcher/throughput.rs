//! Work that workers outside slow start serve, in relation to their weight.
//!
//! The rate of arrivals shows the capacity of the workers only while they can serve all of them: in a burst,
//! more arrives than they can do.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::decayed_mean::DecayedMean;
use crate::interface::{Micros, WorkerId};

/// Number of served jobs over which the work and the time between two of them are averaged.
const HISTORY_JOBS: f64 = 50.0;
/// Upper bound of the time between two updates, in microseconds; a longer one is reduced to it.
const MAX_GAP: Micros = 10_000_000;

/// Served work and the time that it took.
#[derive(Clone, Copy)]
pub(super) struct ServedWork {
    /// Running time on a standard core, in microseconds.
    pub(super) work: f64,
    /// Time, in microseconds, multiplied by the weight of the workers that served the work.
    pub(super) weighted_time: f64,
}

/// Throughput of the workers outside slow start, from the requests of this dispatcher.
#[derive(Default)]
pub(super) struct Throughput {
    /// Work of a served job.
    work: DecayedMean,
    /// Time between two served jobs, multiplied by the weight of the workers.
    weighted_time: DecayedMean,
    /// Weighted time since the last served job.
    since_last_job: f64,
    updated_at: Micros,
    /// Total weight of the workers outside slow start.
    weight: f64,
}

impl Throughput {
    /// Sets the total weight of the workers outside slow start from now on.
    pub(super) fn set_weight(&mut self, now: Micros, weight: f64) {
        self.advance(now);
        self.weight = weight;
    }

    /// Records a job that a worker outside slow start has served, in microseconds on a standard core.
    pub(super) fn record_served(&mut self, now: Micros, work: f64) {
        self.advance(now);
        self.work.add(work, HISTORY_JOBS);
        self.weighted_time.add(std::mem::take(&mut self.since_last_job), HISTORY_JOBS);
    }

    /// Returns the work served per microsecond and unit of weight. `expected` stands for the first jobs.
    pub(super) fn served_per_weight(&self, expected: ServedWork) -> f64 {
        self.work.mean(expected.work) / self.weighted_time.mean(expected.weighted_time)
    }

    fn advance(&mut self, now: Micros) {
        let elapsed = (now - self.updated_at).clamp(0, MAX_GAP);
        self.since_last_job += elapsed as f64 * self.weight;
        self.updated_at = now;
    }
}

impl Dispatcher {
    /// Recomputes the total weight of the workers outside slow start.
    pub(super) fn update_throughput_weight(&mut self, now: Micros) {
        let context = self.context();
        let at_full_capacity = |id: &WorkerId| {
            let worker = self.workers.get(*id);
            (context.capacity_fraction(worker, now) >= 1.0).then(|| self.workers.unloaded_weight(worker))
        };
        let weight = self.workers.ready().iter().filter_map(at_full_capacity).sum();
        self.throughput.set_weight(now, weight);
    }
}
