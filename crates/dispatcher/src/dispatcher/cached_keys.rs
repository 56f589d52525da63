//! Affinity keys whose data a worker is expected to have in its cache.

use std::collections::VecDeque;

/// Time that a worker takes to fetch the data of a key that it does not have, as a multiple of the mean job
/// size.
pub(super) const KEY_FETCH_COST: f64 = 0.45;
/// Number of keys that a worker is expected to cache for each of its slots.
const KEYS_PER_SLOT: f64 = 1.3;

/// Keys of the latest jobs that were sent to a worker, the most recent last.
#[derive(Default)]
pub(super) struct CachedKeys(VecDeque<u64>);

impl CachedKeys {
    /// Records that a job with this key, 0 for none, was sent to a worker with this number of slots.
    pub(super) fn record_sent(&mut self, key: u64, slots: f64) {
        if key == 0 {
            return;
        }
        let limit = (KEYS_PER_SLOT * slots).ceil() as usize;
        self.0.retain(|&cached| cached != key);
        self.0.push_back(key);
        self.0.drain(..self.0.len().saturating_sub(limit));
    }

    /// Returns whether the worker is expected to have the data of this key.
    pub(super) fn contains(&self, key: u64) -> bool {
        self.0.contains(&key)
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
