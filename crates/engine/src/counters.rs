//! What the node has taken in, sent and answered.

use crate::count::Count;
use crate::invariants::Invariants;
use crate::responsiveness::Responsiveness;
use sorrelhaven_dispatcher::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client that has left must not have its request sent on from so long after it left.
pub const LATE: Duration = Duration::from_millis(100);

/// The counts of one class since the start.
#[derive(Default)]
pub struct ClassCounters {
    /// Requests taken.
    pub admitted: Count,
    /// Answered with an executor's result.
    pub served: Count,
    /// Answered with a throttle.
    pub rejected: Count,
    /// Answered as failed, or ended without an answer by the node's own fault.
    pub failed: Count,
    /// Clients that left before their answer.
    pub client_gone: Count,
}

/// All counts since the start. A request is taken, and later one of served, throttled, failed or lapsed; until then it
/// is in progress.
#[derive(Default)]
pub struct Counters {
    classes: Vec<(String, ClassCounters)>,
    in_progress: Cell<u64>,
    /// Executions begun.
    pub sent: Count,
    /// Executions whose last byte was written.
    pub written: Count,
    /// Clients that left while their request waited: no execution's last byte had been written.
    pub client_gone_waiting: Count,
    /// Executions whose last byte was written after the client had left.
    pub sent_after_client_gone: Count,
    /// Those of them that came [`LATE`] after that, or later.
    pub sent_late_after_client_gone: Count,
    /// Load reports taken.
    pub loads: Count,
    /// Load reports that did not read, and were dropped.
    pub load_reports_malformed: Count,
    /// Server links opened.
    pub server_links: Count,
    /// Probes begun.
    pub probes: Count,
    /// Pieces of the host group's list taken.
    pub lists: Count,
    /// Watches on the host group that broke or fell silent.
    pub watches_broken: Count,
    /// What must hold, and how often it did not.
    pub invariants: Invariants,
    /// How long the event loop was held up.
    pub responsiveness: Rc<Responsiveness>,
    /// Answers given after their request's deadline.
    pub answered_late: Count,
    /// Requests that nothing had answered some time after their deadline, answered by that alone.
    pub answered_by_guard: Count,
    outcomes: [Count; 9],
}

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With an executor's result.
    Served,
    /// With a throttle.
    Rejected,
    /// As failed.
    Failed,
    /// Its client left.
    ClientGone,
}

impl Counters {
    /// Counts by these classes, in this order.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Counters {
        let classes = classes.into_iter().map(|name| (name, ClassCounters::default())).collect();
        Counters { classes, ..Counters::default() }
    }

    /// The counts of each class with its name, in the order of the settings.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &ClassCounters)> {
        self.classes.iter().map(|(name, counts)| (name.as_str(), counts))
    }

    /// Requests taken that have not ended.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.get()
    }

    /// Counts a request that is taken.
    pub fn request_admitted(&self, class: usize) {
        self.in_progress.set(self.in_progress.get() + 1);
        self.classes.get(class).into_iter().for_each(|(_, c)| c.admitted.add());
    }

    /// Counts how a request that was taken ends.
    pub fn request_concluded(&self, class: usize, end: RequestEnd) {
        self.in_progress.set(self.in_progress.get() - 1);
        let Some((_, counts)) = self.classes.get(class) else { return };
        match end {
            RequestEnd::Served => counts.served.add(),
            RequestEnd::Rejected => counts.rejected.add(),
            RequestEnd::Failed => counts.failed.add(),
            RequestEnd::ClientGone => counts.client_gone.add(),
        }
    }

    /// One count over all classes.
    pub fn total(&self, count: impl Fn(&ClassCounters) -> &Count) -> u64 {
        self.classes.iter().map(|(_, class)| count(class).get()).sum()
    }

    /// Counts an execution whose last byte was written just now, where its client `left` before.
    pub fn request_sent(&self, left: Option<Instant>) {
        self.written.add();
        if let Some(left) = left {
            self.sent_after_client_gone.add();
            if left.elapsed() >= LATE {
                self.sent_late_after_client_gone.add();
            }
        }
    }

    /// Counts how an execution ended.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.outcomes[place(outcome)].add();
    }
}

const OUTCOMES: [&str; 9] = [
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

fn place(outcome: Outcome) -> usize {
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

impl Counters {
    /// All counts with their names, in the order in which they are shown.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        let mut metrics = vec![
            ("admitted", self.total(|c| &c.admitted)),
            ("served", self.total(|c| &c.served)),
            ("rejected", self.total(|c| &c.rejected)),
            ("failed", self.total(|c| &c.failed)),
            ("client_gone", self.total(|c| &c.client_gone)),
            ("in_progress", self.in_progress()),
            ("attempts", self.sent.get()),
        ];
        metrics.extend(OUTCOMES.iter().zip(&self.outcomes).map(|(name, count)| (*name, count.get())));
        metrics.extend([
            ("requests_sent", self.written.get()),
            ("client_gone_waiting", self.client_gone_waiting.get()),
            ("sent_after_client_gone", self.sent_after_client_gone.get()),
            ("sent_late_after_client_gone", self.sent_late_after_client_gone.get()),
            ("load_reports", self.loads.get()),
            ("load_reports_malformed", self.load_reports_malformed.get()),
            ("upstream_connections", self.server_links.get()),
            ("probes", self.probes.get()),
            ("worker_lists", self.lists.get()),
            ("discovery_watches_failed", self.watches_broken.get()),
            ("invariant_violations", self.invariants.total()),
            ("answered_late", self.answered_late.get()),
            ("answered_by_deadline_guard", self.answered_by_guard.get()),
            ("long_steps", self.responsiveness.long_steps.get()),
            ("longest_step_us", self.responsiveness.longest_step.micros()),
            ("longest_timer_lag_us", self.responsiveness.longest_timer_lag.micros()),
        ]);
        metrics
    }
}
