//! Invariants of requests and attempts, checked while the node runs.
//!
//! Each invariant has a name, one place that checks it, and a count of violations: the metric
//! `node_invariant_violations{name}`, and in sum the counter `invariant_violations`. The log names each
//! violation with the request's id. A violation changes nothing for its request; the soak and the tests fail
//! on any.

use crate::attempt_end::AttemptEnd;
use crate::metric::Counter;
use sorrelhaven_dispatcher::Outcome;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tracing::error;

/// How long the operating system may suspend the process between its look at the clock and its write.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// A request that is sent this long after its client disconnected, or later, is sent too late.
pub const MAX_SEND_AFTER_DISCONNECT: Duration = Duration::from_millis(100);

/// A property that holds for every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request has one final answer, or its client has disconnected.
    OneFinalAnswer,
    /// No attempt is fully sent `MAX_SEND_AFTER_DISCONNECT` or more after its client disconnected.
    NothingSentAfterDisconnect,
    /// No attempt is fully sent after its deadline or its idempotency window.
    NothingSentAfterDeadline,
    /// An at-most-once request is sent once, unless the attempts before are proven not to have run.
    AtMostOnceSentOnce,
    /// An at-most-once request that may have run is not rejected, since a rejection invites a retry.
    NoRejectionAfterRun,
    /// No attempt is fully sent to a worker that has been draining for longer than its grace period.
    NothingSentToDrainedWorker,
    /// Each attempt has one outcome before its request ends.
    OneOutcomePerAttempt,
}

impl Invariant {
    /// All invariants, in the order of their discriminants.
    pub const ALL: [Invariant; 7] = [
        Invariant::OneFinalAnswer,
        Invariant::NothingSentAfterDisconnect,
        Invariant::NothingSentAfterDeadline,
        Invariant::AtMostOnceSentOnce,
        Invariant::NoRejectionAfterRun,
        Invariant::NothingSentToDrainedWorker,
        Invariant::OneOutcomePerAttempt,
    ];

    /// The invariant's name in logs and metrics, which does not follow renames in the code.
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
    /// Counts and logs a violation by `request` where the invariant does not hold.
    pub fn check(&self, invariant: Invariant, request: &str, holds: bool) {
        if holds {
            return;
        }
        self.violations[invariant as usize].increment();
        error!(invariant = invariant.name(), request, "invariant violated");
    }

    /// The violations of each invariant so far, by its name.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        Invariant::ALL.iter().map(|invariant| (invariant.name(), self.violations[*invariant as usize].get()))
    }

    /// The violations of all invariants so far.
    pub fn total(&self) -> u64 {
        self.counts().map(|(_, count)| count).sum()
    }
}

/// Tracks one request as far as the invariants need: how often it was sent, and how often it is proven not to
/// have run.
#[derive(Default)]
pub struct RequestChecks {
    at_most_once: bool,
    rejection_may_have_run: bool,
    attempts_sent: Cell<u32>,
    attempts_proven_not_run: Cell<u32>,
}

/// An attempt at the moment in which its last byte was written.
pub struct SentAttempt {
    /// When its client disconnected, if it has.
    pub client_disconnected_at: Option<Instant>,
    /// From when on it must not be sent.
    pub send_by: Instant,
    /// The drain of its worker, if the worker is draining.
    pub drain: Option<WorkerDrain>,
}

/// A worker's drain.
pub struct WorkerDrain {
    /// When the node learnt of the drain.
    pub since: Instant,
    /// How long after that requests may still be sent to the worker.
    pub grace: Duration,
}

impl RequestChecks {
    /// A guard for a request of which nothing was sent.
    ///
    /// `at_most_once`: the request must not run twice. `rejection_may_have_run`: a worker's rejection does
    /// not prove that the attempt never ran.
    pub fn new(at_most_once: bool, rejection_may_have_run: bool) -> RequestChecks {
        RequestChecks { at_most_once, rejection_may_have_run, ..RequestChecks::default() }
    }

    /// Records that an attempt's last byte was written just now, and checks that it was allowed to be.
    pub fn request_sent(&self, invariants: &Invariants, request: &str, attempt: &SentAttempt) {
        let now = Instant::now();
        let soon_after_disconnect = attempt
            .client_disconnected_at
            .is_none_or(|at| now.saturating_duration_since(at) < MAX_SEND_AFTER_DISCONNECT);
        invariants.check(Invariant::NothingSentAfterDisconnect, request, soon_after_disconnect);

        let in_time = now < attempt.send_by + MAX_SCHEDULING_DELAY;
        invariants.check(Invariant::NothingSentAfterDeadline, request, in_time);

        let worker_gone = attempt.drain.as_ref().is_some_and(|drain| now > drain.since + drain.grace);
        invariants.check(Invariant::NothingSentToDrainedWorker, request, !worker_gone);

        let may_have_run = self.may_have_run();
        self.attempts_sent.set(self.attempts_sent.get() + 1);
        invariants.check(Invariant::AtMostOnceSentOnce, request, !(self.at_most_once && may_have_run));
    }

    /// Records the end of an attempt; `fully_sent`: its last byte was written.
    pub fn attempt_ended(&self, end: &AttemptEnd, fully_sent: bool) {
        if fully_sent && end.outcome() == Outcome::Rejected && !self.rejection_may_have_run {
            self.attempts_proven_not_run.set(self.attempts_proven_not_run.get() + 1);
        }
    }

    /// Checks that the request may be rejected, which tells the client that a retry is harmless.
    pub fn request_rejected(&self, invariants: &Invariants, request: &str) {
        let retry_is_harmless = !(self.at_most_once && self.may_have_run());
        invariants.check(Invariant::NoRejectionAfterRun, request, retry_is_harmless);
    }

    fn may_have_run(&self) -> bool {
        self.attempts_sent.get() > self.attempts_proven_not_run.get()
    }
}
