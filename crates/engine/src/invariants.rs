//! What must hold whatever happens, checked while the node runs.
//!
//! Each invariant has a name, one place that guards it, and a count of violations, which the operators see
//! (`node_invariant_violations{name}`), the line of counters sums up (`invariant_violations`), and the log names with the
//! request's id. A violation ends nothing: the request goes on as it would have. The soak and the tests fail on any.

use crate::attempt_end::AttemptEnd;
use crate::count::Count;
use sorrelhaven_dispatcher::Outcome;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tracing::error;

/// What a system that runs other work may hold a process up by, between its look at the clock and its write.
const HELD_UP: Duration = Duration::from_millis(150);
/// An attempt must not begin so long after its client closed.
const CLIENT_GONE: Duration = Duration::from_millis(100);

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request has one final answer, or its client has left.
    OneFinalAnswer,
    /// No attempt is written 0.1 s or more after its client left.
    NoAttemptForGoneClient,
    /// No attempt is written after its deadline, or after the time in which a repeat is dropped.
    NoAttemptAfterDeadline,
    /// A request that must not run twice is written once, unless the attempts before it are proven not to have run.
    SingleRunOnce,
    /// A request that must not run twice is not refused as harmless to try again when it may have run.
    NoRefusalAfterRun,
    /// Nothing is written to an executor whose drain was told longer ago than its grace.
    NothingToDrained,
    /// Each attempt has one outcome before its request ends.
    OneOutcomePerAttempt,
}

impl Invariant {
    /// All of them.
    pub const ALL: [Invariant; 7] = [
        Invariant::OneFinalAnswer,
        Invariant::NoAttemptForGoneClient,
        Invariant::NoAttemptAfterDeadline,
        Invariant::SingleRunOnce,
        Invariant::NoRefusalAfterRun,
        Invariant::NothingToDrained,
        Invariant::OneOutcomePerAttempt,
    ];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::OneFinalAnswer => "one_final_answer",
            Invariant::NoAttemptForGoneClient => "no_attempt_for_gone_client",
            Invariant::NoAttemptAfterDeadline => "no_attempt_after_deadline",
            Invariant::SingleRunOnce => "single_run_once",
            Invariant::NoRefusalAfterRun => "no_refusal_after_run",
            Invariant::NothingToDrained => "nothing_to_drained",
            Invariant::OneOutcomePerAttempt => "one_outcome_per_attempt",
        }
    }
}

/// The counts of violations.
#[derive(Default)]
pub struct Invariants {
    violations: [Count; Invariant::ALL.len()],
}

impl Invariants {
    /// Checks one invariant for a request; counts and logs where it does not hold.
    pub fn check(&self, invariant: Invariant, request: &str, holds: bool) {
        if !holds {
            self.violations[invariant as usize].add();
            error!(invariant = invariant.name(), request, "invariant violated");
        }
    }

    /// The count of each, by name.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        Invariant::ALL.iter().map(|i| (i.name(), self.violations[*i as usize].get()))
    }

    /// All violations.
    pub fn total(&self) -> u64 {
        self.counts().map(|(_, count)| count).sum()
    }
}

/// What one request has been through, as far as the invariants ask.
#[derive(Default)]
pub struct RequestGuard {
    at_most_once: bool,
    rejection_may_have_run: bool,
    written: Cell<u32>,
    proven_unrun: Cell<u32>,
}

/// An attempt at the moment in which its last byte was written.
pub struct Written {
    /// When its client left, if it has.
    pub client_left: Option<Instant>,
    /// From when on it must not be sent.
    pub send_by: Instant,
    /// Since when its executor is told to be draining, if it is, and the grace for that.
    pub draining: Option<(Instant, Duration)>,
}

impl RequestGuard {
    /// A request of which nothing was written. `single_run`: it must not run twice; `full_is_no_proof`: an executor's word
    /// that it is full does not prove that the attempt never ran.
    pub fn new(single_run: bool, full_is_no_proof: bool) -> RequestGuard {
        RequestGuard {
            at_most_once: single_run,
            rejection_may_have_run: full_is_no_proof,
            ..RequestGuard::default()
        }
    }

    /// An attempt's last byte was written just now.
    pub fn written(&self, invariants: &Invariants, request: &str, attempt: &Written) {
        let now = Instant::now();
        let since_left = attempt.client_left.map(|left| now.saturating_duration_since(left));
        invariants.check(
            Invariant::NoAttemptForGoneClient,
            request,
            since_left.is_none_or(|s| s < CLIENT_GONE),
        );
        invariants.check(Invariant::NoAttemptAfterDeadline, request, now < attempt.send_by + HELD_UP);
        let drained = attempt.draining.is_some_and(|(since, grace)| now > since + grace);
        invariants.check(Invariant::NothingToDrained, request, !drained);
        let may_have_run = self.may_have_run();
        self.written.set(self.written.get() + 1);
        invariants.check(Invariant::SingleRunOnce, request, !(self.at_most_once && may_have_run));
    }

    /// An attempt whose last byte was written has ended.
    pub fn attempt_ended(&self, ending: &AttemptEnd, was_written: bool) {
        if was_written && ending.outcome() == Outcome::Rejected && !self.rejection_may_have_run {
            self.proven_unrun.set(self.proven_unrun.get() + 1);
        }
    }

    /// The request is refused, with the word that trying again is harmless.
    pub fn request_rejected(&self, invariants: &Invariants, request: &str) {
        let harmless = !(self.at_most_once && self.may_have_run());
        invariants.check(Invariant::NoRefusalAfterRun, request, harmless);
    }

    fn may_have_run(&self) -> bool {
        self.written.get() > self.proven_unrun.get()
    }
}
