//! Counters of requests, attempts, connections and discovery since the node started.

use crate::invariants::{Invariants, MAX_SEND_AFTER_DISCONNECT};
use crate::metric::Counter;
use crate::responsiveness::Responsiveness;
use sorrelhaven_dispatcher::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The requests of one class since the node started.
#[derive(Default)]
pub struct ClassCounters {
    /// Requests admitted.
    pub admitted: Counter,
    /// Requests answered with a worker's result.
    pub served: Counter,
    /// Requests answered with a rejection.
    pub rejected: Counter,
    /// Requests answered with a failure, or that ended without an answer because of a fault in the node.
    pub failed: Counter,
    /// Requests whose client disconnected before the answer was available.
    pub client_gone: Counter,
}

/// The node's counters since it started.
///
/// An admitted request is in progress until it is served, rejected or failed, or its client disconnects.
#[derive(Default)]
pub struct Counters {
    classes: Vec<(String, ClassCounters)>,
    in_progress: Cell<u64>,
    /// Requests refused because their id was in progress, or must not run twice and may have run.
    pub duplicate_ids: Counter,
    /// Requests failed because the table of claimed ids could not be used.
    pub claims_unavailable: Counter,
    /// Attempts started, including those that were never sent.
    pub attempts: Counter,
    /// Attempts whose request was written up to the last byte.
    pub requests_sent: Counter,
    /// Requests whose client disconnected before any attempt was written up to the last byte.
    pub client_gone_waiting: Counter,
    /// Attempts whose last byte was written after the client's disconnect was reported.
    pub sent_after_client_gone: Counter,
    /// Attempts whose last byte was written `MAX_SEND_AFTER_DISCONNECT` (100 ms) or more after that.
    pub sent_late_after_client_gone: Counter,
    /// Load reports received and parsed.
    pub load_reports: Counter,
    /// Load reports dropped because they were malformed.
    pub load_reports_malformed: Counter,
    /// New connections to workers that were attempted. Reuse of a pooled connection is not counted.
    pub upstream_connections: Counter,
    /// Probes started.
    pub probes: Counter,
    /// Worker lists from discovery that were applied, both complete lists and updates.
    pub worker_lists: Counter,
    /// Calls of discovery that were begun.
    pub discovery_calls: Counter,
    /// Calls of discovery that failed for any reason, and watches and calls that were not answered in time.
    pub discovery_watches_failed: Counter,
    /// Violations of each invariant.
    pub invariants: Invariants,
    /// Event loop delays.
    pub responsiveness: Rc<Responsiveness>,
    /// Requests answered after their deadline.
    pub answered_late: Counter,
    /// Requests that their own task failed because no answer was available shortly after their deadline.
    pub answered_by_deadline_guard: Counter,
    /// Attempts ended, by [`outcome_index`].
    outcomes: [Counter; OUTCOME_NAMES.len()],
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered with a worker's result.
    Served,
    /// It was answered with a rejection.
    Rejected,
    /// It was answered as failed, or its task ended without an answer.
    Failed,
    /// Its client disconnected before the answer.
    ClientDisconnected,
}

impl Counters {
    /// Creates counters for the classes with these names, in the order of the settings.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Counters {
        let classes = classes.into_iter().map(|name| (name, ClassCounters::default())).collect();
        Counters { classes, ..Counters::default() }
    }

    /// The name and the counters of each class, in the order of the settings.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &ClassCounters)> {
        self.classes.iter().map(|(name, counters)| (name.as_str(), counters))
    }

    /// The number of admitted requests that have not ended.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.get()
    }

    /// Counts a request of the class with this index as admitted and in progress.
    pub fn request_admitted(&self, class: usize) {
        self.in_progress.set(self.in_progress.get() + 1);
        if let Some((_, counters)) = self.classes.get(class) {
            counters.admitted.increment();
        }
    }

    /// Counts how an admitted request ended; it is no longer in progress.
    pub fn request_concluded(&self, class: usize, end: RequestEnd) {
        self.in_progress.set(self.in_progress.get() - 1);
        let Some((_, counters)) = self.classes.get(class) else { return };
        match end {
            RequestEnd::Served => counters.served.increment(),
            RequestEnd::Rejected => counters.rejected.increment(),
            RequestEnd::Failed => counters.failed.increment(),
            RequestEnd::ClientDisconnected => counters.client_gone.increment(),
        }
    }

    /// The sum of `counter` over all classes.
    pub fn total(&self, counter: impl Fn(&ClassCounters) -> &Counter) -> u64 {
        self.classes.iter().map(|(_, counters)| counter(counters).get()).sum()
    }

    /// Counts an attempt whose last byte was written just now. `client_disconnected_at`: when the client's
    /// disconnect was reported, if it was.
    pub fn request_sent(&self, client_disconnected_at: Option<Instant>) {
        self.requests_sent.increment();
        let Some(disconnected_at) = client_disconnected_at else { return };
        self.sent_after_client_gone.increment();
        if disconnected_at.elapsed() >= MAX_SEND_AFTER_DISCONNECT {
            self.sent_late_after_client_gone.increment();
        }
    }

    /// Counts the end of an attempt by its outcome.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.outcomes[outcome_index(outcome)].increment();
    }

    /// The name and value of each counter, in the order in which they are shown.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        let mut metrics = vec![
            ("admitted", self.total(|class| &class.admitted)),
            ("served", self.total(|class| &class.served)),
            ("rejected", self.total(|class| &class.rejected)),
            ("failed", self.total(|class| &class.failed)),
            ("client_gone", self.total(|class| &class.client_gone)),
            ("in_progress", self.in_progress()),
            ("duplicate_ids", self.duplicate_ids.get()),
            ("claims_unavailable", self.claims_unavailable.get()),
            ("attempts", self.attempts.get()),
        ];
        metrics.extend(OUTCOME_NAMES.iter().zip(&self.outcomes).map(|(name, count)| (*name, count.get())));
        metrics.extend([
            ("requests_sent", self.requests_sent.get()),
            ("client_gone_waiting", self.client_gone_waiting.get()),
            ("sent_after_client_gone", self.sent_after_client_gone.get()),
            ("sent_late_after_client_gone", self.sent_late_after_client_gone.get()),
            ("load_reports", self.load_reports.get()),
            ("load_reports_malformed", self.load_reports_malformed.get()),
            ("upstream_connections", self.upstream_connections.get()),
            ("probes", self.probes.get()),
            ("worker_lists", self.worker_lists.get()),
            ("discovery_calls", self.discovery_calls.get()),
            ("discovery_watches_failed", self.discovery_watches_failed.get()),
            ("invariant_violations", self.invariants.total()),
            ("answered_late", self.answered_late.get()),
            ("answered_by_deadline_guard", self.answered_by_deadline_guard.get()),
            ("long_steps", self.responsiveness.long_steps.get()),
            ("longest_step_us", self.responsiveness.longest_step.as_micros()),
            ("longest_timer_lag_us", self.responsiveness.longest_timer_lag.as_micros()),
        ]);
        metrics
    }
}

/// The names of the outcome counters, in the order of [`outcome_index`].
const OUTCOME_NAMES: [&str; 9] = [
    "ok",
    "error",
    "worker_rejected",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "not_sent",
    "invalid_request",
];

fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Rejected => 2,
        Outcome::Timeout => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
        Outcome::InvalidRequest => 8,
    }
}
