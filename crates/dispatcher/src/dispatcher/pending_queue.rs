//! The queue of requests that wait until a worker has room.

use crate::interface::{Micros, RequestId};

/// Added to the start time of a request that is unlikely to be in time, so that it sorts after all others.
const LATE_OFFSET: Micros = 1 << 60;

/// A request in the queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingRequest {
    /// The latest useful start, plus [`LATE_OFFSET`] if the request is unlikely to be in time.
    start_by: Micros,
    request: RequestId,
}

/// Requests that wait for room, the most urgent first.
#[derive(Default)]
pub(super) struct PendingQueue {
    by_urgency: Vec<PendingRequest>,
}

impl PendingQueue {
    /// Queues a request that must start by `start_by` to be in time, within an error of `margin`. A request
    /// that is likely late already goes after all others: in a backlog, every request would otherwise wait
    /// until it is late.
    pub(super) fn enqueue(&mut self, now: Micros, request: RequestId, start_by: Micros, margin: Micros) {
        let conservative_start_by = start_by - margin;
        let start_by = if conservative_start_by > now {
            conservative_start_by
        } else {
            start_by.saturating_add(LATE_OFFSET)
        };
        let pending = PendingRequest { start_by, request };
        let position = self.by_urgency.partition_point(|other| *other < pending);
        self.by_urgency.insert(position, pending);
    }

    /// Removes and returns the first request whose start time has passed since it was queued.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<RequestId> {
        self.by_urgency.first().filter(|pending| pending.start_by <= now)?;
        Some(self.by_urgency.remove(0).request)
    }

    /// Returns the request at a position; 0 is the most urgent.
    pub(super) fn get(&self, position: usize) -> Option<RequestId> {
        self.by_urgency.get(position).map(|pending| pending.request)
    }

    /// Removes the request at a position, which must be in the queue.
    pub(super) fn remove_at(&mut self, position: usize) {
        self.by_urgency.remove(position);
    }

    /// Removes a request, if it is queued.
    pub(super) fn remove(&mut self, request: RequestId) {
        self.by_urgency.retain(|pending| pending.request != request);
    }

    /// Returns whether no other request is more urgent than this one.
    pub(super) fn is_most_urgent(&self, request: RequestId) -> bool {
        self.get(0).is_none_or(|first| first == request)
    }
}
