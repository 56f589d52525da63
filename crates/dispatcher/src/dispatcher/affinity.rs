//! Affinity sets: the jobs of one affinity key are sent to a few workers of a zone, so that few of them have
//! to fetch the data of the key.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::rendezvous::{AffinityOrder, Candidate, Snapshot, limit_choices};
use crate::dispatcher::request::Request;
use crate::dispatcher::worker_table::ZONE_GROUP_WORKERS;
use crate::interface::{Micros, RequestId, WorkerId};
use std::collections::VecDeque;

/// Number of recent arrivals from which the share of a key is computed.
const SHARE_HISTORY_ARRIVALS: usize = 100;
/// Lower bound of the number of arrivals that a key's arrivals are divided by: a share of fewer arrivals is
/// not significant.
const MIN_SHARE_ARRIVALS: usize = SHARE_HISTORY_ARRIVALS / 5;
/// Size of an affinity set in a large zone, as a multiple of the number of workers that the key's jobs would
/// keep busy.
const SET_SIZE_FACTOR: f64 = 3.0;

/// Finds the workers nearest to a key or to this dispatcher, and tracks the share of each key in recent
/// arrivals.
#[derive(Default)]
pub(super) struct AffinityIndex {
    snapshot: Snapshot,
    recent_keys: VecDeque<u64>,
    /// Rendezvous key of this dispatcher; never 0.
    instance_key: u64,
}

impl AffinityIndex {
    /// Creates an index without workers for the dispatcher with this index among all dispatchers.
    pub(super) fn new(instance: u32) -> Self {
        AffinityIndex { instance_key: u64::from(instance) + 1, ..AffinityIndex::default() }
    }

    /// Records the affinity key of an arriving request; 0 for none.
    pub(super) fn record_arrival(&mut self, key: u64) {
        self.recent_keys.push_back(key);
        self.recent_keys.drain(..self.recent_keys.len().saturating_sub(SHARE_HISTORY_ARRIVALS));
    }

    /// Replaces the workers that may be chosen.
    pub(super) fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        self.snapshot = Snapshot::new(candidates);
    }

    /// Returns up to `limit` matching workers, the nearest to this dispatcher first.
    pub(super) fn nearest_to_instance(
        &self,
        limit: usize,
        matches: impl Fn(WorkerId) -> bool,
    ) -> Vec<WorkerId> {
        self.snapshot.nearest_matching(self.instance_key, limit, matches)
    }

    /// Returns the share of a key in the recent arrivals. One arrival of the key, that of the request itself,
    /// is not counted.
    fn key_share(&self, key: u64) -> f64 {
        let others = self.recent_keys.iter().filter(|&&recent| recent == key).count().saturating_sub(1);
        others as f64 / self.recent_keys.len().max(MIN_SHARE_ARRIVALS) as f64
    }

    fn order(&mut self, key: u64, set_size: usize) -> AffinityOrder<'_> {
        self.snapshot.affinity_order(key, set_size, self.instance_key)
    }
}

impl Dispatcher {
    /// Returns the members of the affinity set to which the request may be sent now, the nearest first. The
    /// set is as small as the key's share of the load permits; the next workers replace those that are not
    /// eligible. All dispatchers of a zone take it from the same order of workers, except that each uses its
    /// own part of a large set ([`Snapshot::affinity_order`]).
    pub(super) fn affinity_set(&mut self, request: RequestId, now: Micros) -> Vec<WorkerId> {
        let Some(request) = self.requests.get(&request).filter(|request| request.affinity_key != 0) else {
            return Vec::new();
        };
        let key = request.affinity_key;
        let share = self.affinity.key_share(key);
        let target_size = workers_for_share(share, self.workers.groups_above_small_zone());
        let set_size = target_size.ceil().max(1.0) as usize;
        let order = self.affinity.order(key, set_size);
        if order.is_new {
            for &worker in order.workers {
                self.capacity.estimate(&mut self.workers, worker);
            }
        }
        let order = order.workers.to_vec();
        let limit = limit_choices(set_size, self.workers.ready().len());
        let in_set = order.iter().take(set_size);
        let replacements = order.iter().skip(set_size);
        let may_replace = |worker: &&WorkerId| self.context().may_replace_others(**worker, now);
        let is_eligible = |worker: &WorkerId| self.is_eligible_member(request, *worker, now);
        in_set.chain(replacements.filter(may_replace)).copied().filter(is_eligible).take(limit).collect()
    }

    fn is_eligible_member(&self, request: &Request, worker: WorkerId, now: Micros) -> bool {
        let context = self.context();
        context.is_healthy(worker)
            && context.accepts_class(worker, request.class, now)
            && context.may_send(request, worker, now)
            && !request.tried.contains(&worker)
    }
}

/// Returns the number of workers over which the jobs of a key with this share of the load are spread; 0 in a
/// small zone.
fn workers_for_share(share: f64, groups_above_small_zone: f64) -> f64 {
    SET_SIZE_FACTOR * share * groups_above_small_zone * ZONE_GROUP_WORKERS
}
