//! Tests the run-time checks of the invariants: each violation is counted, and nothing else is. Other tests
//! fail on any counted violation, so a check that counts none would go unnoticed there.

use crate::attempt_end::AttemptEnd;
use crate::invariants::{Invariant, Invariants, RequestChecks, SentAttempt, WorkerDrain};
use std::time::{Duration, Instant};

fn sent_in_time() -> SentAttempt {
    SentAttempt {
        client_disconnected_at: None,
        send_by: Instant::now() + Duration::from_secs(1),
        drain: None,
    }
}

/// Returns the names of the invariants that a request violates by `steps`.
fn violations(at_most_once: bool, steps: impl Fn(&RequestChecks, &Invariants)) -> Vec<&'static str> {
    let checks = RequestChecks::new(at_most_once, false);
    let invariants = Invariants::default();
    steps(&checks, &invariants);
    invariants.counts().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
}

#[test]
fn each_invariant_is_counted_where_it_is_violated_and_only_there() {
    let ago = |ms| Instant::now().checked_sub(Duration::from_millis(ms));
    let send = |change: fn(&mut SentAttempt, Option<Instant>), ms| {
        violations(true, move |checks, invariants| {
            let mut attempt = sent_in_time();
            change(&mut attempt, ago(ms));
            checks.request_sent(invariants, "r1", &attempt);
        })
    };
    assert_eq!(send(|_, _| {}, 0), [""; 0]);
    assert_eq!(send(|sent, at| sent.client_disconnected_at = at, 50), [""; 0]);
    assert_eq!(send(|sent, at| sent.client_disconnected_at = at, 120), ["no_attempt_for_gone_client"]);
    assert_eq!(
        send(|sent, at| sent.send_by = at.expect("the clock started before that"), 100),
        [""; 0],
        "within the time that the process may be suspended"
    );
    assert_eq!(
        send(|sent, at| sent.send_by = at.expect("the clock started before that"), 200),
        ["no_attempt_after_deadline"]
    );
    let drain = |sent: &mut SentAttempt, since: Option<Instant>| {
        sent.drain = since.map(|since| WorkerDrain { since, grace: Duration::from_secs(1) });
    };
    assert_eq!(send(drain, 900), [""; 0]);
    assert_eq!(send(drain, 1_100), ["nothing_to_drained"]);
}

#[test]
fn an_at_most_once_request_that_may_have_run_is_neither_sent_again_nor_rejected() {
    let sent_twice = |at_most_once, first_end: AttemptEnd| {
        violations(at_most_once, move |checks, invariants| {
            checks.request_sent(invariants, "r1", &sent_in_time());
            checks.attempt_ended(&first_end, true);
            checks.request_sent(invariants, "r1", &sent_in_time());
        })
    };
    assert_eq!(sent_twice(true, AttemptEnd::Rejected), [""; 0]);
    assert_eq!(sent_twice(false, AttemptEnd::Reset), [""; 0]);
    assert_eq!(sent_twice(true, AttemptEnd::Reset), ["single_run_once"]);
    assert_eq!(sent_twice(true, AttemptEnd::StaleConnection), ["single_run_once"]);
    let rejected_after = |end: AttemptEnd| {
        violations(true, move |checks, invariants| {
            checks.request_sent(invariants, "r1", &sent_in_time());
            checks.attempt_ended(&end, true);
            checks.request_rejected(invariants, "r1");
        })
    };
    assert_eq!(rejected_after(AttemptEnd::Rejected), [""; 0]);
    assert_eq!(rejected_after(AttemptEnd::ResponseTimeout), ["no_refusal_after_run"]);
}

#[test]
fn every_invariant_has_a_counter_of_its_own() {
    let invariants = Invariants::default();
    for invariant in Invariant::ALL {
        invariants.check(invariant, "r1", true);
        invariants.check(invariant, "r1", false);
    }
    assert!(invariants.counts().all(|(_, count)| count == 1));
    assert_eq!(invariants.total(), Invariant::ALL.len() as u64);
}
