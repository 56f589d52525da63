//! Queue of requests that wait until a worker has room.

use crate::interface::{Micros, RequestId};

/// Added to the sort key of a request that is unlikely to be answered in time, in microseconds: it then
/// follows all others.
const LATE_OFFSET: Micros = 1 << 60;

/// Entry of the queue, ordered by urgency.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingRequest {
    /// Latest start that leaves a margin for errors. If that has already passed, latest start plus
    /// [`LATE_OFFSET`].
    start_by: Micros,
    request: RequestId,
}

/// Requests that wait for a worker, the most urgent first.
#[derive(Default)]
pub(super) struct PendingQueue {
    by_urgency: Vec<PendingRequest>,
}

impl PendingQueue {
    /// Queues a request that must start by `start_by` to be answered in time, where `start_by` may be wrong
    /// by `margin`. A request that is probably late already goes behind all others: if it went first, each
    /// request in a backlog would wait until it is late.
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

    /// Removes and returns the first request if its time to start has passed while it was queued.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<RequestId> {
        self.by_urgency.first().filter(|pending| pending.start_by <= now)?;
        Some(self.by_urgency.remove(0).request)
    }

    /// Returns the request at a position; 0 is the most urgent.
    pub(super) fn get(&self, position: usize) -> Option<RequestId> {
        self.by_urgency.get(position).map(|pending| pending.request)
    }

    /// Removes the request at a position, which must be below the length of the queue.
    pub(super) fn remove_at(&mut self, position: usize) {
        self.by_urgency.remove(position);
    }

    /// Removes a request if it is queued.
    pub(super) fn remove(&mut self, request: RequestId) {
        self.by_urgency.retain(|pending| pending.request != request);
    }

    /// Returns whether the request is the first of the queue, or the queue is empty.
    pub(super) fn is_most_urgent(&self, request: RequestId) -> bool {
        self.get(0).is_none_or(|first| first == request)
    }
}
