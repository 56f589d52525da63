//! Requests that are held until a worker has room.

use super::*;

/// Held requests that may find no room before the search stops: the next ones would mostly find none either.
const HELD_TRIES: usize = 3;
/// Puts a held request that can hardly meet its aim behind those that can.
const LATE: Micros = 1 << 60;

impl Dispatcher {
    /// Queues a request, the most urgent first; one that can hardly meet its aim goes behind all that can, as
    /// a hint may err. Guards against a backlog in which each job waits for its deadline until it is late.
    pub(super) fn hold(&mut self, now: Micros, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let at = self.latest_start(id);
        let spare = r.wanted - r.aim + ((HINT_ERROR - 1.0) * (r.wanted - at) as f64) as Micros;
        let at = if at - spare > now { at - spare } else { at.saturating_add(LATE) };
        let i = self.held.partition_point(|&h| h < (at, id));
        self.held.insert(i, (at, id));
    }

    /// The last moment at which a held request could be sent and be in time.
    pub(super) fn latest_start(&self, id: RequestId) -> Micros {
        let Some(r) = self.requests.get(&id) else { return 0 };
        let best = self.order[r.class].first().map_or(1.0, |&w| self.epc(self.worker(w), r.class));
        (r.wanted - (r.size / best) as Micros).min(r.due)
    }

    /// Sends what is held as soon as there is room, the most urgent first, with few tries that find none.
    pub(super) fn place_held(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut i = 0;
        if !self.set.iter().any(|&id| self.room(id, now)) {
            return;
        }
        while let Some(&(_, id)) = self.held.first().filter(|h| h.0 <= now) {
            self.held.remove(0);
            self.hold(now, id);
        }
        while i < self.held.len().min(HELD_TRIES) {
            let id = self.held[i].1;
            if let Some(worker) = self.pick(id, now) {
                self.held.remove(i);
                self.send(now, id, worker, actions);
            } else {
                i += 1;
            }
        }
    }
}
