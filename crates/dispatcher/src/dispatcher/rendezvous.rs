//! Weighted rendezvous hashing: finds the workers nearest to a key in a snapshot of the worker list.
//!
//! Computing the distance of every worker for every request is expensive in long lists. The order is
//! therefore computed once for each key and snapshot, and cached. A new snapshot is taken when the list
//! changes, and at intervals, since weights change during slow start.

use crate::interface::WorkerId;
use std::collections::HashMap;

/// Number of workers cached for a key in addition to its affinity set, since some may not be eligible for a
/// request.
const SPARE_WORKERS: usize = 8;
/// Largest number of workers that one dispatcher considers for a key. The affinity set of a popular key may
/// have more workers than one dispatcher can use; each dispatcher then uses its own part of the set.
const MAX_WORKERS_PER_KEY: usize = 32;
/// Largest length of a short list, in workers. For a short list, the complete order of a key is cached, and a
/// dispatcher considers all workers of an affinity set.
const SHORT_LIST_WORKERS: usize = 256;
/// A cached order is long enough for sets that exceed the requested size by up to 1/`GROWTH_DIVISOR` of it.
const GROWTH_DIVISOR: usize = 4;
/// Lower bound of a weight, which is used as a divisor.
const MIN_WEIGHT: f64 = 1e-6;

/// A worker that may be chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) id: WorkerId,
    /// Hash of the worker's name, the same at every dispatcher.
    pub(super) name_hash: u64,
    /// Effective weight.
    pub(super) weight: f64,
}

/// Workers that may be chosen, with their weights at the time of the snapshot.
#[derive(Default)]
pub(super) struct Snapshot {
    candidates: Vec<Candidate>,
    cache: HashMap<u64, CachedOrder>,
}

/// Workers nearest to one key.
struct CachedOrder {
    /// Size of the largest affinity set for which the order is long enough.
    max_set_size: usize,
    order: Vec<WorkerId>,
}

/// Workers from which the affinity set of a key is taken.
pub(super) struct AffinityOrder<'a> {
    /// The nearest first, including spare ones that replace those not eligible for a request.
    pub(super) workers: &'a [WorkerId],
    /// Whether the order was not in the cache.
    pub(super) is_new: bool,
}

/// A worker and its distance to a key.
struct WorkerDistance {
    distance: f64,
    worker: WorkerId,
}

impl WorkerDistance {
    fn compare(&self, other: &WorkerDistance) -> std::cmp::Ordering {
        self.distance.total_cmp(&other.distance).then(self.worker.cmp(&other.worker))
    }
}

impl Snapshot {
    pub(super) fn new(candidates: Vec<Candidate>) -> Snapshot {
        Snapshot { candidates, cache: HashMap::new() }
    }

    /// Returns up to `limit` workers, the nearest to a key first. Each worker is the nearest to a share of
    /// all keys in proportion to its weight, and to the same keys at every dispatcher with the same weights.
    pub(super) fn nearest(&self, key: u64, limit: usize) -> Vec<WorkerId> {
        self.nearest_matching(key, limit, |_| true)
    }

    /// Like [`Snapshot::nearest`], for matching workers only.
    pub(super) fn nearest_matching(
        &self,
        key: u64,
        limit: usize,
        matches: impl Fn(WorkerId) -> bool,
    ) -> Vec<WorkerId> {
        if limit == 0 {
            return Vec::new();
        }
        let buffer_len = 2 * limit.max(SPARE_WORKERS);
        let mut nearest: Vec<WorkerDistance> = Vec::with_capacity(buffer_len);
        let mut max_distance = f64::INFINITY;
        for candidate in self.candidates.iter().filter(|candidate| matches(candidate.id)) {
            let hash_fraction = uniform_hash(key, candidate.name_hash);
            let weight = candidate.weight.max(MIN_WEIGHT);
            // -ln(x) is at least 1 - x, which excludes most candidates without computing a logarithm.
            if 1.0 - hash_fraction > max_distance * weight {
                continue;
            }
            nearest.push(WorkerDistance { distance: -hash_fraction.ln() / weight, worker: candidate.id });
            if nearest.len() == buffer_len {
                nearest.select_nth_unstable_by(limit - 1, WorkerDistance::compare);
                nearest.truncate(limit);
                max_distance = nearest[limit - 1].distance;
            }
        }
        into_nearest(nearest, limit)
    }

    /// Returns the workers from which to take a key's affinity set of `set_size` workers. If the set is
    /// larger than [`MAX_WORKERS_PER_KEY`], the dispatcher with the rendezvous key `instance` gets its own
    /// part of it.
    pub(super) fn affinity_order(&mut self, key: u64, set_size: usize, instance: u64) -> AffinityOrder<'_> {
        let is_cached = self.cache.get(&key).is_some_and(|cached| set_size <= cached.max_set_size);
        if !is_cached {
            let order = self.compute_order(key, set_size, instance);
            self.cache.insert(key, order);
        }
        let workers = self.cache.get(&key).map_or(&[][..], |cached| &cached.order);
        AffinityOrder { workers, is_new: !is_cached }
    }

    fn compute_order(&self, key: u64, set_size: usize, instance: u64) -> CachedOrder {
        if self.candidates.len() <= SHORT_LIST_WORKERS {
            return CachedOrder { max_set_size: usize::MAX, order: self.nearest(key, self.candidates.len()) };
        }
        // More than requested, since the share of a popular key changes slightly with every arrival.
        let max_set_size = set_size + set_size / GROWTH_DIVISOR;
        let nearest = self.nearest(key, max_set_size + SPARE_WORKERS);
        if set_size <= MAX_WORKERS_PER_KEY {
            return CachedOrder { max_set_size, order: nearest };
        }
        let by_instance = nearest
            .iter()
            .map(|&worker| WorkerDistance {
                distance: uniform_hash(key ^ instance, u64::from(worker.0)),
                worker,
            })
            .collect();
        CachedOrder { max_set_size, order: into_nearest(by_instance, 2 * MAX_WORKERS_PER_KEY) }
    }
}

/// Returns the workers with the smallest distances, the nearest first.
fn into_nearest(mut distances: Vec<WorkerDistance>, limit: usize) -> Vec<WorkerId> {
    distances.sort_unstable_by(WorkerDistance::compare);
    distances.truncate(limit);
    distances.into_iter().map(|distance| distance.worker).collect()
}

/// Returns how many of `choices` one dispatcher considers in a list of `workers`: all of them in a short
/// list, otherwise at most [`MAX_WORKERS_PER_KEY`].
pub(super) fn limit_choices(choices: usize, workers: usize) -> usize {
    if workers <= SHORT_LIST_WORKERS { choices } else { choices.min(MAX_WORKERS_PER_KEY) }
}

/// Returns a pseudo-random number above 0 and up to 1, always the same for equal arguments. In an order of
/// workers, `worker` is the hash of a worker's name or, for one dispatcher only, its id.
pub(super) fn uniform_hash(key: u64, worker: u64) -> f64 {
    let mut hash = key ^ worker.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for _ in 0..2 {
        hash = (hash ^ (hash >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    ((hash >> 11) + 1) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
#[path = "../../tests/unit/rendezvous.rs"]
mod tests;
