//! Counters of requests, attempts, connections and discovery since the start.

use crate::invariants::{Invariants, MAX_SEND_AFTER_DISCONNECT};
use crate::metric::Counter;
use crate::responsiveness::Responsiveness;
use sorrelhaven_dispatcher::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The requests of one class since the start.
#[derive(Default)]
pub struct ClassCounters {
    /// Requests admitted.
    pub admitted: Counter,
    /// Requests answered with a worker's result.
    pub served: Counter,
    /// Requests answered with a rejection.
    pub rejected: Counter,
    /// Requests answered as failed, or ended without an answer by a fault of the node.
    pub failed: Counter,
    /// Requests whose client disconnected before the answer.
    pub client_gone: Counter,
}

/// The node's counters since the start.
///
/// An admitted request is in progress until it is served, rejected, failed, or its client has gone.
#[derive(Default)]
pub struct Counters {
    classes: Vec<(String, ClassCounters)>,
    in_progress: Cell<u64>,
    /// Attempts begun.
    pub attempts: Counter,
    /// Attempts whose last byte was written.
    pub requests_sent: Counter,
    /// Clients that disconnected before the last byte of any attempt was written.
    pub client_gone_waiting: Counter,
    /// Attempts whose last byte was written after the client had disconnected.
    pub sent_after_client_gone: Counter,
    /// Those of them that were written `MAX_SEND_AFTER_DISCONNECT` after the disconnect, or later.
    pub sent_late_after_client_gone: Counter,
    /// Valid load reports.
    pub load_reports: Counter,
    /// Load reports that were malformed and dropped.
    pub load_reports_malformed: Counter,
    /// Upstream connections opened.
    pub upstream_connections: Counter,
    /// Probes begun.
    pub probes: Counter,
    /// Worker lists applied, complete or partial.
    pub worker_lists: Counter,
    /// Discovery watches that broke or fell silent.
    pub discovery_watches_failed: Counter,
    /// Violations of invariants.
    pub invariants: Invariants,
    /// Delays of the event loop.
    pub responsiveness: Rc<Responsiveness>,
    /// Answers given after their request's deadline.
    pub answered_late: Counter,
    /// Requests failed by their own task, since nothing else answered them by their deadline.
    pub answered_by_deadline_guard: Counter,
    outcomes: [Counter; OUTCOME_NAMES.len()],
}

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a worker's result.
    Served,
    /// With a rejection.
    Rejected,
    /// With a failure.
    Failed,
    /// Without an answer, since its client disconnected.
    ClientDisconnected,
}

impl Counters {
    /// Counters for these classes, in the order of the settings.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Counters {
        let classes = classes.into_iter().map(|name| (name, ClassCounters::default())).collect();
        Counters { classes, ..Counters::default() }
    }

    /// The counters of each class with its name, in the order of the settings.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &ClassCounters)> {
        self.classes.iter().map(|(name, counters)| (name.as_str(), counters))
    }

    /// Requests admitted that have not ended.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.get()
    }

    /// Counts a request that is admitted.
    pub fn request_admitted(&self, class: usize) {
        self.in_progress.set(self.in_progress.get() + 1);
        if let Some((_, counters)) = self.classes.get(class) {
            counters.admitted.increment();
        }
    }

    /// Counts the end of an admitted request.
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

    /// The sum of one counter over all classes.
    pub fn total(&self, counter: impl Fn(&ClassCounters) -> &Counter) -> u64 {
        self.classes.iter().map(|(_, counters)| counter(counters).get()).sum()
    }

    /// Counts an attempt whose last byte was written just now; `client_disconnected_at`: when its client
    /// disconnected, if it has.
    pub fn request_sent(&self, client_disconnected_at: Option<Instant>) {
        self.requests_sent.increment();
        let Some(disconnected_at) = client_disconnected_at else { return };
        self.sent_after_client_gone.increment();
        if disconnected_at.elapsed() >= MAX_SEND_AFTER_DISCONNECT {
            self.sent_late_after_client_gone.increment();
        }
    }

    /// Counts the outcome of an attempt.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.outcomes[outcome_index(outcome)].increment();
    }

    /// All counters with their names, in the order in which they are shown.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        let mut metrics = vec![
            ("admitted", self.total(|class| &class.admitted)),
            ("served", self.total(|class| &class.served)),
            ("rejected", self.total(|class| &class.rejected)),
            ("failed", self.total(|class| &class.failed)),
            ("client_gone", self.total(|class| &class.client_gone)),
            ("in_progress", self.in_progress()),
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

/// The names of the outcomes' counters, in the order of [`outcome_index`].
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
