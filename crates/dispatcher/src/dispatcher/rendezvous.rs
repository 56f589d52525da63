//! The workers nearest to a key: weighted rendezvous hashing over a snapshot of the worker list.
//!
//! Looking at every worker for every request costs more the longer the list is, so the order is worked out
//! once for a key and snapshot, and cached. A new snapshot is taken when the list changes, and at
//! intervals, since weights change while workers are in slow start.

use crate::interface::WorkerId;
use std::collections::HashMap;

/// Workers that are cached for a key beyond those asked for: some of them may not fit a request.
const SPARE_WORKERS: usize = 8;
/// The most workers that one dispatcher looks at for a key. The affinity set of a key that many jobs share
/// has more workers than one dispatcher's jobs can make use of; each dispatcher keeps to its own part of
/// them.
const MAX_WORKERS_PER_KEY: usize = 32;
/// Up to this many workers, the complete order of a key is cached.
const SHORT_LIST: usize = 256;
/// The least weight that a distance is divided by.
const MIN_WEIGHT: f64 = 1e-6;

/// A worker that may be chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// The worker.
    pub(super) id: WorkerId,
    /// The hash of the worker's name, the same at every dispatcher.
    pub(super) name_hash: u64,
    /// What it can do, relative to the others.
    pub(super) weight: f64,
}

/// The workers that may be chosen, with their weights at one moment.
#[derive(Default)]
pub(super) struct Snapshot {
    candidates: Vec<Candidate>,
    cache: HashMap<u64, CachedOrder>,
}

/// The workers nearest to one key.
struct CachedOrder {
    /// The largest affinity set that this order is long enough for.
    max_set_size: usize,
    order: Vec<WorkerId>,
}

/// The workers in which to look for the affinity set of a key.
pub(super) struct AffinityOrder<'a> {
    /// The nearest first, with spare ones for those that do not fit a request.
    pub(super) workers: &'a [WorkerId],
    /// The order was worked out for this call.
    pub(super) is_new: bool,
}

/// A worker and its distance to a key.
struct Distance {
    distance: f64,
    worker: WorkerId,
}

impl Distance {
    fn compare(&self, other: &Distance) -> std::cmp::Ordering {
        self.distance.total_cmp(&other.distance).then(self.worker.cmp(&other.worker))
    }
}

impl Snapshot {
    /// A snapshot of these workers.
    pub(super) fn new(candidates: Vec<Candidate>) -> Snapshot {
        Snapshot { candidates, cache: HashMap::new() }
    }

    /// Up to `limit` workers, the nearest to a key first: each worker is the nearest to a share of all keys
    /// that is in proportion to its weight, the same at every dispatcher.
    pub(super) fn nearest(&self, key: u64, limit: usize) -> Vec<WorkerId> {
        self.nearest_matching(key, limit, |_| true)
    }

    /// As [`Snapshot::nearest`], of the workers that match.
    pub(super) fn nearest_matching(
        &self,
        key: u64,
        limit: usize,
        matches: impl Fn(WorkerId) -> bool,
    ) -> Vec<WorkerId> {
        if limit == 0 {
            return Vec::new();
        }
        let room = 2 * limit.max(SPARE_WORKERS);
        let mut nearest: Vec<Distance> = Vec::with_capacity(room);
        let mut max_distance = f64::INFINITY;
        for candidate in self.candidates.iter().filter(|candidate| matches(candidate.id)) {
            let draw = uniform_hash(key, candidate.name_hash);
            let weight = candidate.weight.max(MIN_WEIGHT);
            // -ln(x) is at least 1 - x: most candidates are too far by that alone.
            if 1.0 - draw > max_distance * weight {
                continue;
            }
            nearest.push(Distance { distance: -draw.ln() / weight, worker: candidate.id });
            if nearest.len() == room {
                nearest.select_nth_unstable_by(limit - 1, Distance::compare);
                nearest.truncate(limit);
                max_distance = nearest[limit - 1].distance;
            }
        }
        into_nearest(nearest, limit)
    }

    /// The order in which to look for a key's affinity set of `set_size` workers. Where a set has more than
    /// [`MAX_WORKERS_PER_KEY`] workers, each dispatcher `instance` gets its own part of them.
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
        if self.candidates.len() <= SHORT_LIST {
            return CachedOrder { max_set_size: usize::MAX, order: self.nearest(key, self.candidates.len()) };
        }
        // More than asked for, as the share of a popular key goes up and down a little all the time.
        let max_set_size = set_size + set_size / 4;
        let nearest = self.nearest(key, max_set_size + SPARE_WORKERS);
        if set_size <= MAX_WORKERS_PER_KEY {
            return CachedOrder { max_set_size, order: nearest };
        }
        let by_instance = nearest
            .iter()
            .map(|&worker| Distance { distance: uniform_hash(key ^ instance, u64::from(worker.0)), worker })
            .collect();
        CachedOrder { max_set_size, order: into_nearest(by_instance, 2 * MAX_WORKERS_PER_KEY) }
    }
}

/// The workers of the smallest distances, the nearest first.
fn into_nearest(mut distances: Vec<Distance>, limit: usize) -> Vec<WorkerId> {
    distances.sort_unstable_by(Distance::compare);
    distances.truncate(limit);
    distances.into_iter().map(|distance| distance.worker).collect()
}

/// How many of `choices` one dispatcher looks at in a list of `workers`: all of them in a short list.
pub(super) fn limit_choices(choices: usize, workers: usize) -> usize {
    if workers <= SHORT_LIST { choices } else { choices.min(MAX_WORKERS_PER_KEY) }
}

/// A number above 0 and up to 1 that every dispatcher computes alike for a key and a worker.
fn uniform_hash(key: u64, worker: u64) -> f64 {
    let mut hash = key ^ worker.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for _ in 0..2 {
        hash = (hash ^ (hash >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    ((hash >> 11) + 1) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
#[path = "../../tests/unit/rendezvous.rs"]
mod tests;
