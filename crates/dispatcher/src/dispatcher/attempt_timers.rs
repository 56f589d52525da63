//! Schedule of the next check of each request, which uses a single timer of the host.

use crate::interface::{Micros, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// Upper bound of the delay of a host timer. If the first check is due later, its timer expires too early,
/// and no other is set for it until an earlier check has been scheduled and made.
const MAX_TIMER_DELAY: Micros = 3_600_000_000;

/// Next check of each request, ordered by time; at most one per request.
pub(super) struct AttemptTimers {
    by_time: BTreeSet<(Micros, RequestId)>,
    by_request: BTreeMap<RequestId, Micros>,
    /// Time at which the host's timer expires; [`Micros::MAX`] if none is set.
    armed_for: Micros,
}

impl Default for AttemptTimers {
    fn default() -> Self {
        AttemptTimers { by_time: BTreeSet::new(), by_request: BTreeMap::new(), armed_for: Micros::MAX }
    }
}

impl AttemptTimers {
    /// Schedules the next check of a request and replaces an earlier schedule.
    pub(super) fn schedule(&mut self, request: RequestId, at: Micros) {
        self.cancel(request);
        self.by_time.insert((at, request));
        self.by_request.insert(request, at);
    }

    /// Removes the scheduled check of a request, if there is one.
    pub(super) fn cancel(&mut self, request: RequestId) {
        if let Some(at) = self.by_request.remove(&request) {
            self.by_time.remove(&(at, request));
        }
    }

    /// Records that a host timer has expired. Returns false if an earlier timer has replaced it: such a timer
    /// must not lead to a new one, or the number of timers would grow.
    pub(super) fn on_fired(&mut self, now: Micros) -> bool {
        if now < self.armed_for {
            return false;
        }
        self.armed_for = Micros::MAX;
        true
    }

    /// Removes and returns the request whose check is due first, if any is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<RequestId> {
        let &(_, request) = self.by_time.first().filter(|(at, _)| *at <= now)?;
        self.cancel(request);
        Some(request)
    }

    /// Returns the delay of the host timer to set, at least `min_delay`; none if no check is scheduled, or if
    /// the timer that is set expires early enough.
    pub(super) fn arm(&mut self, now: Micros, min_delay: Micros) -> Option<Micros> {
        let &(at, _) = self.by_time.first().filter(|(at, _)| *at < self.armed_for)?;
        self.armed_for = at;
        Some((at - now).clamp(min_delay.max(1), MAX_TIMER_DELAY))
    }
}
