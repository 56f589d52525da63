//! The workers nearest to a key: weighted rendezvous hashing over a snapshot of the list.
//!
//! Looking at every worker for every request costs more the longer the list is, so it is done once for a key
//! and snapshot; whoever asks again gets the remembered order. A snapshot is taken anew when the list changes
//! and once a second, for weights change as workers warm up.

use crate::interface::WorkerId;
use std::collections::HashMap;

/// Workers of one key that are remembered beyond those asked for: some of them may not fit a request.
const SPARE: usize = 8;
/// The most workers that one dispatcher looks at for a key. A key that many jobs share has more homes in a
/// long list than one dispatcher's jobs can make use of; each dispatcher keeps to its own part of them.
const HOMES_MOST: usize = 32;
/// Up to so many workers the whole order of a key is remembered.
const SHORT_LIST: usize = 256;

/// A worker as it counts for the snapshot.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The worker.
    pub id: WorkerId,
    /// The number that every dispatcher draws alike for it.
    pub key: u64,
    /// What it can do beside others.
    pub weight: f64,
}

/// The workers that may be chosen, with their weights at one moment.
#[derive(Default)]
pub struct Snapshot {
    candidates: Vec<Candidate>,
    remembered: HashMap<u64, Homes>,
}

/// The remembered order of one key.
struct Homes {
    /// Up to so many homes this order serves.
    enough_for: usize,
    order: Vec<WorkerId>,
}

impl Snapshot {
    /// A snapshot of these workers.
    pub fn new(candidates: Vec<Candidate>) -> Snapshot {
        Snapshot { candidates, remembered: HashMap::new() }
    }

    /// Up to `most` workers, the nearest to a key first: each worker is the nearest to a share of all keys
    /// that goes by its weight, at every dispatcher the same.
    pub fn nearest(&self, key: u64, most: usize) -> Vec<WorkerId> {
        self.nearest_of(key, most, |_| true)
    }

    /// As [`Snapshot::nearest`], of those that `fit`.
    pub fn nearest_of(&self, key: u64, most: usize, fit: impl Fn(&WorkerId) -> bool) -> Vec<WorkerId> {
        if most == 0 {
            return Vec::new();
        }
        let by_distance = |a: &(f64, WorkerId), b: &(f64, WorkerId)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
        let room = 2 * most.max(SPARE);
        let mut near: Vec<(f64, WorkerId)> = Vec::with_capacity(room);
        let mut bound = f64::INFINITY;
        for candidate in self.candidates.iter().filter(|candidate| fit(&candidate.id)) {
            let draw = draw(key, candidate.key);
            let weight = candidate.weight.max(1e-6);
            // -ln(x) is at least 1 - x: most candidates are too far by that alone.
            if 1.0 - draw > bound * weight {
                continue;
            }
            near.push((-draw.ln() / weight, candidate.id));
            if near.len() == room {
                near.select_nth_unstable_by(most - 1, by_distance);
                near.truncate(most);
                bound = near[most - 1].0;
            }
        }
        near.sort_unstable_by(by_distance);
        near.truncate(most);
        near.into_iter().map(|(_, id)| id).collect()
    }

    /// The workers in which the `homes` homes of a key are to be looked for, the first choice first, with
    /// spare ones for those that do not fit; and whether they were not remembered yet. Where a key has more
    /// than [`HOMES_MOST`] homes, each dispatcher `me` has its own part of them.
    pub fn homes(&mut self, key: u64, homes: usize, me: u64) -> (&[WorkerId], bool) {
        let known = self.remembered.get(&key).is_some_and(|known| homes <= known.enough_for);
        if !known {
            let homes = self.order_of(key, homes, me);
            self.remembered.insert(key, homes);
        }
        (self.remembered.get(&key).map_or(&[], |known| &known.order), !known)
    }

    fn order_of(&self, key: u64, homes: usize, me: u64) -> Homes {
        if self.candidates.len() <= SHORT_LIST {
            return Homes { enough_for: usize::MAX, order: self.nearest(key, self.candidates.len()) };
        }
        // Some more than asked for, as the share of a popular key goes up and down a little all the time.
        let enough_for = homes + homes / 4;
        let near = self.nearest(key, enough_for + SPARE);
        if homes <= HOMES_MOST {
            return Homes { enough_for, order: near };
        }
        let mut own: Vec<(f64, WorkerId)> =
            near.iter().map(|&id| (draw(key ^ me, u64::from(id.0)), id)).collect();
        own.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        own.truncate(2 * HOMES_MOST);
        Homes { enough_for, order: own.into_iter().map(|(_, id)| id).collect() }
    }
}

/// How many of so many choices one dispatcher looks at in a list of so many workers: all of them in a short
/// list.
pub fn looked_at(choices: usize, workers: usize) -> usize {
    if workers <= SHORT_LIST { choices } else { choices.min(HOMES_MOST) }
}

/// A draw above 0 and up to 1 that every dispatcher makes alike for a key and a worker.
fn draw(key: u64, worker: u64) -> f64 {
    let mut x = key ^ worker.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for _ in 0..2 {
        x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
#[path = "../tests/unit/nearest.rs"]
mod tests;
