//! Requests that are held until a worker has room.

use super::*;

/// Pending requests that may find no room before the search stops: the next would mostly find none either.
const MAX_FAILED_PLACEMENTS: usize = 3;

impl Dispatcher {
    /// Queues a request; its times may err by what a hint may.
    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let start_by = self.latest_start(id);
        let margin = r.wanted - r.aim + ((HINT_ERROR - 1.0) * (r.wanted - start_by) as f64) as Micros;
        self.pending.enqueue(now, id, start_by, margin);
    }

    /// The last moment at which a held request could be sent and be in time.
    pub(super) fn latest_start(&self, id: RequestId) -> Micros {
        let Some(r) = self.requests.get(&id) else { return 0 };
        let best = self.order[r.class].first().map_or(1.0, |&w| self.epc(self.worker(w), r.class));
        (r.wanted - (r.size / best) as Micros).min(r.due)
    }

    /// Sends pending requests to workers that have room, the most urgent first, until some find none.
    pub(super) fn place_pending(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.set.iter().any(|&id| self.room(id, now)) {
            return;
        }
        while let Some(id) = self.pending.pop_late(now) {
            self.enqueue(now, id);
        }
        let mut position = 0;
        while position < MAX_FAILED_PLACEMENTS
            && let Some(id) = self.pending.get(position)
        {
            if let Some(worker) = self.pick(id, now) {
                self.pending.remove_at(position);
                self.send(now, id, worker, actions);
            } else {
                position += 1;
            }
        }
    }
}
