//! The affinity set of a key: the workers of a zone at which the jobs of one key meet, so that few of them
//! fetch what it needs.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::rendezvous::{AffinityOrder, Candidate, Snapshot, limit_choices};
use crate::dispatcher::request::Request;
use crate::dispatcher::worker_table::ZONE_GROUP_WORKERS;
use crate::interface::{Micros, RequestId, WorkerId};
use std::collections::VecDeque;

/// The arrivals over which the share of a key is taken.
const SHARE_HISTORY_ARRIVALS: usize = 100;
/// The arrivals that a share is taken of at least: fewer say little.
const MIN_SHARE_ARRIVALS: usize = SHARE_HISTORY_ARRIVALS / 5;
/// The size of an affinity set in a large zone, relative to the workers that the key's jobs would fill there.
const SET_SIZE_FACTOR: f64 = 3.0;

/// Finds the workers nearest to a key or to this dispatcher, and follows the share of each key.
#[derive(Default)]
pub(super) struct AffinityIndex {
    snapshot: Snapshot,
    recent_keys: VecDeque<u64>,
    /// The key of this dispatcher, not 0.
    instance_key: u64,
}

impl AffinityIndex {
    /// An index without workers, of the dispatcher of this number.
    pub(super) fn new(instance: u32) -> Self {
        AffinityIndex { instance_key: u64::from(instance) + 1, ..AffinityIndex::default() }
    }

    /// Takes the key of an arriving request in, 0 for none.
    pub(super) fn record_arrival(&mut self, key: u64) {
        self.recent_keys.push_back(key);
        self.recent_keys.drain(..self.recent_keys.len().saturating_sub(SHARE_HISTORY_ARRIVALS));
    }

    /// Replaces the workers that may be chosen.
    pub(super) fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        self.snapshot = Snapshot::new(candidates);
    }

    /// Up to `limit` workers that match, the nearest to this dispatcher first.
    pub(super) fn nearest_to_instance(
        &self,
        limit: usize,
        matches: impl Fn(WorkerId) -> bool,
    ) -> Vec<WorkerId> {
        self.snapshot.nearest_matching(self.instance_key, limit, matches)
    }

    /// The share of this key in the other recent requests.
    fn share_of(&self, key: u64) -> f64 {
        let others = self.recent_keys.iter().filter(|&&recent| recent == key).count().saturating_sub(1);
        others as f64 / self.recent_keys.len().max(MIN_SHARE_ARRIVALS) as f64
    }

    fn order(&mut self, key: u64, set_size: usize) -> AffinityOrder<'_> {
        self.snapshot.affinity_order(key, set_size, self.instance_key)
    }
}

impl Dispatcher {
    /// The affinity set of a request's key, the nearest worker first, of those that may get the request
    /// now. All dispatchers of a zone look for the same workers, as few as the key's jobs fill.
    pub(super) fn affinity_set(&mut self, request: RequestId, now: Micros) -> Vec<WorkerId> {
        let Some(request) = self.requests.get(&request).filter(|request| request.affinity_key != 0) else {
            return Vec::new();
        };
        let key = request.affinity_key;
        let share = self.affinity.share_of(key);
        let zone_workers = share_of_zone(share, self.workers.excess_zone_groups());
        let set_size = zone_workers.ceil().max(1.0) as usize;
        let order = self.affinity.order(key, set_size);
        if order.is_new {
            for &worker in order.workers {
                self.capacity.estimate(&mut self.workers, worker);
            }
        }
        let order = order.workers.to_vec();
        let limit = limit_choices(set_size, self.workers.ready().len());
        let fits = |&worker: &WorkerId| self.fits_affinity_set(request, worker, now);
        order.into_iter().filter(fits).take(limit).collect()
    }

    fn fits_affinity_set(&self, request: &Request, worker: WorkerId, now: Micros) -> bool {
        let context = self.context();
        context.is_healthy(worker)
            && context.accepts_class(worker, request.class, now)
            && context.may_send(request, worker, now)
            && !request.tried.contains(&worker)
    }
}

/// The workers that the jobs of this share of all should spread over; 0 in a small zone.
fn share_of_zone(share: f64, excess_zone_groups: f64) -> f64 {
    SET_SIZE_FACTOR * share * excess_zone_groups * ZONE_GROUP_WORKERS
}
