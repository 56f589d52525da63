//! Decides when discovery is called, and which calls stay open. Free of I/O: time is an argument.
//!
//! A call that is answered slowly can't be distinguished from one that was lost, so it stays open while further calls
//! begin beside it. The first call that shows the current list replaces all others.

use crate::discovery_timing::{CallFailure, DiscoveryTiming};
use std::time::{Duration, Instant};

/// The most calls that are open at once, the watch included.
pub const MAX_OPEN_CALLS: usize = 4;
/// The oldest call stays open for this long, if it is not answered. A discovery that is slower is never heard.
const MAX_CALL_AGE: Duration = Duration::from_secs(60);

/// Identifies a call; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// Why a call begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReason {
    /// Nothing was heard yet at this address.
    Start,
    /// An earlier call has failed.
    Retry,
    /// The watch is silent, or its list is not complete.
    WatchSilent,
    /// The last call is not answered.
    Unanswered,
}

/// What follows from the failure of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// How long the call was the watch; `None` if it was not.
    pub watched_for: Option<Duration>,
    /// The time until the next call.
    pub retry_in: Duration,
}

struct OpenCall {
    id: CallId,
    begun_at: Instant,
    /// Whether discovery's machine has accepted the connection.
    is_connected: bool,
}

/// The call that has shown the current list.
struct Watch {
    id: CallId,
    since: Instant,
    /// When it has last shown that nothing is missing.
    current_at: Instant,
}

/// The open calls of one node, and when it calls next.
pub struct DiscoveryPlan {
    timing: DiscoveryTiming,
    rng: fastrand::Rng,
    /// The oldest first.
    open: Vec<OpenCall>,
    watch: Option<Watch>,
    next_call_at: Instant,
    next_reason: CallReason,
    /// Until when the watch is not silent.
    watch_current_until: Option<Instant>,
    /// Whether discovery's address has changed and it was not heard there yet.
    moved: bool,
    next_id: u64,
}

impl DiscoveryPlan {
    /// Creates a plan that calls at once: the configured list may be old.
    pub fn new(timing: DiscoveryTiming, rng: fastrand::Rng, now: Instant) -> DiscoveryPlan {
        DiscoveryPlan {
            timing,
            rng,
            open: Vec::new(),
            watch: None,
            next_call_at: now,
            next_reason: CallReason::Start,
            watch_current_until: None,
            moved: false,
            next_id: 0,
        }
    }

    /// When the next call is due, unless an event comes first.
    pub fn next_call_at(&self) -> Instant {
        self.next_call_at
    }

    /// Whether a call is open. If not, its connection must be closed.
    pub fn is_open(&self, id: CallId) -> bool {
        self.open.iter().any(|call| call.id == id)
    }

    /// How many calls are open, the watch included.
    pub fn open_call_count(&self) -> usize {
        self.open.len()
    }

    /// Begins a call that is due. If too many are open, closes another one.
    pub fn begin_call(&mut self, now: Instant) -> (CallId, CallReason) {
        let reason = self.next_reason;
        if self.open.len() == MAX_OPEN_CALLS {
            self.close_one(now);
        }
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.open.push(OpenCall { id, begun_at: now, is_connected: false });
        self.next_call_at = now + self.timing.connect_interval(&mut self.rng);
        self.next_reason = CallReason::Unanswered;
        (id, reason)
    }

    /// Records that discovery's machine has accepted the connection of a call. Calls that are not connected are closed:
    /// they can do no better.
    pub fn call_connected(&mut self, id: CallId, now: Instant) {
        for call in &mut self.open {
            call.is_connected |= call.id == id;
        }
        self.open.retain(|call| call.is_connected);
        if self.watch_is_silent(now) {
            self.next_call_at = now + self.timing.answer_interval(self.moved, &mut self.rng);
            self.next_reason = CallReason::Unanswered;
        }
    }

    /// Records that the response to a call has begun. It is waited for as for a line on a watch: another call would only
    /// have the same list sent and read again, which a node with little processor time can't afford.
    pub fn call_responding(&mut self, now: Instant) {
        if self.watch_is_silent(now) {
            self.next_call_at = now + self.timing.silence_limit(&mut self.rng);
            self.next_reason = CallReason::Unanswered;
        }
    }

    /// Records that a call has shown the current list, or that nothing in it has changed.
    ///
    /// All other calls are closed if it was not the watch before. If it was, calls that have begun since it fell silent
    /// stay open: a watch on which lines arrive rarely must not prevent a better one.
    pub fn call_is_current(&mut self, id: CallId, now: Instant) {
        match &mut self.watch {
            Some(watch) if watch.id == id => watch.current_at = now,
            _ => {
                self.open.retain(|call| call.id == id);
                self.watch = Some(Watch { id, since: now, current_at: now });
            }
        }
        self.moved = false;
        self.next_call_at = now + self.timing.silence_limit(&mut self.rng);
        self.next_reason = CallReason::WatchSilent;
        self.watch_current_until = Some(self.next_call_at);
    }

    /// Records that a call has failed, and decides when the next one is due. `rejected`: discovery has answered it, or
    /// has closed its connection.
    pub fn call_failed(&mut self, id: CallId, rejected: bool, now: Instant) -> FailedCall {
        self.open.retain(|call| call.id != id);
        let watched_for = self.end_watch(id, now);
        let failure = match (watched_for, rejected) {
            (Some(_), _) => CallFailure::WatchEnded,
            (None, true) => CallFailure::Rejected,
            (None, false) => CallFailure::Unreachable,
        };
        let retry_at = now + self.timing.retry_delay(failure, &mut self.rng);
        if self.watch_is_silent(now) && !(failure == CallFailure::Rejected && self.has_recent_call(now)) {
            let has_unanswered = self.open.iter().any(|call| !self.is_watch(call.id));
            if !has_unanswered || retry_at < self.next_call_at {
                self.next_call_at = retry_at;
                self.next_reason = CallReason::Retry;
            }
        }
        FailedCall { watched_for, retry_in: self.next_call_at.saturating_duration_since(now) }
    }

    /// Closes all calls, since discovery's address has changed, and calls at once.
    pub fn address_changed(&mut self, now: Instant) {
        self.open.clear();
        self.watch = None;
        self.watch_current_until = None;
        self.moved = true;
        self.next_call_at = now;
        self.next_reason = CallReason::Start;
    }

    /// Whether discovery may still answer an open call in time. One that rejects another call meanwhile is not called
    /// sooner for that.
    fn has_recent_call(&self, now: Instant) -> bool {
        let is_recent =
            |call: &OpenCall| now.saturating_duration_since(call.begun_at) < self.timing.answer_limit();
        self.open.iter().any(|call| call.is_connected && !self.is_watch(call.id) && is_recent(call))
    }

    /// Whether there is no watch, or only one that is silent.
    fn watch_is_silent(&self, now: Instant) -> bool {
        self.watch_current_until.is_none_or(|until| now >= until)
    }

    fn is_watch(&self, id: CallId) -> bool {
        self.watch.as_ref().is_some_and(|watch| watch.id == id)
    }

    /// Removes the watch if it is this call, and returns how long it was the watch.
    fn end_watch(&mut self, id: CallId, now: Instant) -> Option<Duration> {
        let watch = self.watch.take_if(|watch| watch.id == id)?;
        self.watch_current_until = None;
        Some(now.saturating_duration_since(watch.since))
    }

    /// Closes the oldest call if it is too old, otherwise the one that began after it. The oldest call may be the only
    /// one that a very slow discovery will answer. Of several calls that are not connected, closes the oldest one rather
    /// than a call that discovery has accepted.
    fn close_one(&mut self, now: Instant) {
        let oldest = &self.open[0];
        let unheard_since = match &self.watch {
            Some(watch) if watch.id == oldest.id => watch.current_at,
            _ => oldest.begun_at,
        };
        let is_too_old = now.saturating_duration_since(unheard_since) >= MAX_CALL_AGE;
        let unconnected: Vec<usize> =
            (1..self.open.len()).filter(|&index| !self.open[index].is_connected).collect();
        let index = match unconnected[..] {
            _ if is_too_old => 0,
            [first, _, ..] => first,
            _ => 1,
        };
        let closed = self.open.remove(index);
        self.end_watch(closed.id, now);
    }
}
