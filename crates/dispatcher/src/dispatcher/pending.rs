//! Queueing of requests for which no worker has room, and sending them once one has.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::request::MAX_HINT_ERROR;
use crate::interface::{Action, Micros, RequestId};

/// A search of the queue stops after this number of requests for which there is no worker, since the requests
/// behind them rarely find one.
const MAX_REQUESTS_WITHOUT_WORKER: usize = 3;

impl Dispatcher {
    /// Queues a request by its latest start. The margin covers the error of its work hint and, if late
    /// answers keep part of their value, the time between the latency objective and the value deadline.
    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let start_by = self.latest_start(id);
        let hint_margin = (MAX_HINT_ERROR - 1.0) * (request.value_deadline - start_by) as f64;
        let margin = request.value_deadline - request.objective_deadline + hint_margin as Micros;
        self.pending.enqueue(now, id, start_by, margin);
    }

    /// Returns the latest time at which a request must start for the fastest worker to respond before its
    /// value deadline.
    pub(super) fn latest_start(&self, id: RequestId) -> Micros {
        let Some(request) = self.requests.get(&id) else { return 0 };
        let fastest = self.ranking.of_class(request.class).first();
        let capacity =
            fastest.map_or(1.0, |&worker| self.workers.get(worker).capacity.of_class(request.class));
        (request.value_deadline - (request.size / capacity) as Micros).min(request.deadline)
    }

    /// Sends pending requests to workers that have room, the most urgent first.
    pub(super) fn send_pending(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let context = self.context();
        if !self.subset.members().iter().any(|&worker| context.has_room(worker, now)) {
            return;
        }
        while let Some(id) = self.pending.pop_expired(now) {
            self.enqueue(now, id);
        }
        let mut position = 0;
        while position < MAX_REQUESTS_WITHOUT_WORKER
            && let Some(id) = self.pending.get(position)
        {
            if let Some(worker) = self.choose_worker(id, now) {
                self.pending.remove_at(position);
                self.send(now, id, worker, actions);
            } else {
                position += 1;
            }
        }
    }
}
