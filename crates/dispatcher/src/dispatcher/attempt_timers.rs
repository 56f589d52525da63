//! The time at which each request is checked next, and the single host timer that serves them all.

use crate::interface::{Micros, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// The longest delay that the host is asked for; a later time needs several timers.
const MAX_TIMER_DELAY: Micros = 3_600_000_000;

/// The next check of each request, ordered by time; at most one per request.
pub(super) struct AttemptTimers {
    by_time: BTreeSet<(Micros, RequestId)>,
    by_request: BTreeMap<RequestId, Micros>,
    /// When the host's timer fires; [`Micros::MAX`] while none is set.
    armed_for: Micros,
}

impl Default for AttemptTimers {
    fn default() -> Self {
        AttemptTimers { by_time: BTreeSet::new(), by_request: BTreeMap::new(), armed_for: Micros::MAX }
    }
}

impl AttemptTimers {
    /// Sets the time of a request's next check, in place of an earlier one.
    pub(super) fn schedule(&mut self, request: RequestId, at: Micros) {
        self.cancel(request);
        self.by_time.insert((at, request));
        self.by_request.insert(request, at);
    }

    /// Removes the next check of a request, if one is set.
    pub(super) fn cancel(&mut self, request: RequestId) {
        if let Some(at) = self.by_request.remove(&request) {
            self.by_time.remove(&(at, request));
        }
    }

    /// Records that a host timer fired. Returns false if the timer was superseded by an earlier one: it
    /// must not set a further timer then, or timers would multiply.
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

    /// Returns the delay of the host timer to set, at least `min_delay`; none if the one that is set
    /// suffices.
    pub(super) fn arm(&mut self, now: Micros, min_delay: Micros) -> Option<Micros> {
        let &(at, _) = self.by_time.first().filter(|(at, _)| *at < self.armed_for)?;
        self.armed_for = at;
        Some((at - now).clamp(min_delay.max(1), MAX_TIMER_DELAY))
    }
}
