//! Invariants of requests and attempts, checked at run time.
//!
//! Each invariant has a name and is checked in one place. Violations are counted by the metric
//! `node_invariant_violations{name}`, and their sum by the counter `invariant_violations`; each is logged
//! with the request's id. A violation does not change how the request continues. The soak run and the tests
//! fail on any violation.

use crate::attempt_end::AttemptEnd;
use crate::metric::Counter;
use sorrelhaven_dispatcher::Outcome;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tracing::error;

/// How long the operating system may suspend the process between reading the clock and writing to the socket.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// A request must not be fully sent this long after its client's disconnect was reported, or later.
pub const MAX_SEND_AFTER_DISCONNECT: Duration = Duration::from_millis(100);

/// A property that holds for every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Each request gets a final answer, unless its client disconnects.
    OneFinalAnswer,
    /// No attempt is fully sent `MAX_SEND_AFTER_DISCONNECT` or more after its client's disconnect was
    /// reported.
    NothingSentAfterDisconnect,
    /// No attempt is fully sent `MAX_SCHEDULING_DELAY` or more after its deadline or the end of its
    /// idempotency window.
    NothingSentAfterDeadline,
    /// An at-most-once request is sent again only if all earlier attempts are proven not to have run.
    AtMostOnceSentOnce,
    /// An at-most-once request that may have run is not rejected, because clients retry after a rejection.
    NoRejectionAfterRun,
    /// No attempt is fully sent to a worker that has been draining for longer than the drain grace.
    NothingSentToDrainedWorker,
    /// Each attempt has an outcome when the task of its request ends.
    OneOutcomePerAttempt,
}

impl Invariant {
    /// Every invariant, in the order of the discriminants, which index the violation counts.
    pub const ALL: [Invariant; 7] = [
        Invariant::OneFinalAnswer,
        Invariant::NothingSentAfterDisconnect,
        Invariant::NothingSentAfterDeadline,
        Invariant::AtMostOnceSentOnce,
        Invariant::NoRejectionAfterRun,
        Invariant::NothingSentToDrainedWorker,
        Invariant::OneOutcomePerAttempt,
    ];

    /// The invariant's name in logs and metrics. It stays the same if a variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::OneFinalAnswer => "one_final_answer",
            Invariant::NothingSentAfterDisconnect => "no_attempt_for_gone_client",
            Invariant::NothingSentAfterDeadline => "no_attempt_after_deadline",
            Invariant::AtMostOnceSentOnce => "single_run_once",
            Invariant::NoRejectionAfterRun => "no_refusal_after_run",
            Invariant::NothingSentToDrainedWorker => "nothing_to_drained",
            Invariant::OneOutcomePerAttempt => "one_outcome_per_attempt",
        }
    }
}

/// Counts the violations of each invariant.
#[derive(Default)]
pub struct Invariants {
    violations: [Counter; Invariant::ALL.len()],
}

impl Invariants {
    /// Counts and logs a violation by `request` unless `holds`.
    pub fn check(&self, invariant: Invariant, request: &str, holds: bool) {
        if holds {
            return;
        }
        self.violations[invariant as usize].increment();
        error!(invariant = invariant.name(), request, "invariant violated");
    }

    /// The name of each invariant and the number of its violations so far.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        Invariant::ALL.iter().map(|invariant| (invariant.name(), self.violations[*invariant as usize].get()))
    }

    /// The number of violations of all invariants so far.
    pub fn total(&self) -> u64 {
        self.counts().map(|(_, count)| count).sum()
    }
}

/// Checks the invariants of sending and rejecting for one request. Counts the attempts that were fully sent,
/// and those of them that are proven not to have run.
#[derive(Default)]
pub struct RequestChecks {
    at_most_once: bool,
    rejection_may_have_run: bool,
    attempts_sent: Cell<u32>,
    attempts_proven_not_run: Cell<u32>,
}

/// The limits that an attempt is checked against when its last byte has been written.
pub struct SentAttempt {
    /// When the client's disconnect was reported, if it was.
    pub client_disconnected_at: Option<Instant>,
    /// The attempt must not be sent at this time or later.
    pub send_by: Instant,
    /// Since when the worker has been draining, and its grace period; `None` if it is not draining.
    pub drain: Option<WorkerDrain>,
}

/// When a worker's drain began, and its grace period.
pub struct WorkerDrain {
    /// When the node applied the worker list that reported the drain.
    pub since: Instant,
    /// How long after `since` requests may still be sent to the worker.
    pub grace: Duration,
}

impl RequestChecks {
    /// Creates the checks of a new request.
    ///
    /// `at_most_once`: the request must not run twice. `rejection_may_have_run`: a worker's rejection does
    /// not prove that the attempt never ran.
    pub fn new(at_most_once: bool, rejection_may_have_run: bool) -> RequestChecks {
        RequestChecks { at_most_once, rejection_may_have_run, ..RequestChecks::default() }
    }

    /// Records that an attempt's last byte was written just now, and checks that it was allowed to be sent.
    pub fn request_sent(&self, invariants: &Invariants, request: &str, attempt: &SentAttempt) {
        let now = Instant::now();
        let within_disconnect_limit = attempt
            .client_disconnected_at
            .is_none_or(|at| now.saturating_duration_since(at) < MAX_SEND_AFTER_DISCONNECT);
        invariants.check(Invariant::NothingSentAfterDisconnect, request, within_disconnect_limit);

        let before_send_by = now < attempt.send_by + MAX_SCHEDULING_DELAY;
        invariants.check(Invariant::NothingSentAfterDeadline, request, before_send_by);

        let drain_grace_over = attempt.drain.as_ref().is_some_and(|drain| now > drain.since + drain.grace);
        invariants.check(Invariant::NothingSentToDrainedWorker, request, !drain_grace_over);

        let may_have_run = self.may_have_run();
        self.attempts_sent.set(self.attempts_sent.get() + 1);
        invariants.check(Invariant::AtMostOnceSentOnce, request, !(self.at_most_once && may_have_run));
    }

    /// Records the end of an attempt. `fully_sent`: its last byte was written.
    pub fn attempt_ended(&self, end: &AttemptEnd, fully_sent: bool) {
        if fully_sent && end.outcome() == Outcome::Rejected && !self.rejection_may_have_run {
            self.attempts_proven_not_run.set(self.attempts_proven_not_run.get() + 1);
        }
    }

    /// Checks that the request may be rejected. A rejection promises the client that a retry is harmless.
    pub fn request_rejected(&self, invariants: &Invariants, request: &str) {
        let retry_is_harmless = !(self.at_most_once && self.may_have_run());
        invariants.check(Invariant::NoRejectionAfterRun, request, retry_is_harmless);
    }

    /// Whether an attempt was fully sent and is not proven not to have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts_sent.get() > self.attempts_proven_not_run.get()
    }
}
