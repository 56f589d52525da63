//! A check that finds nothing proves nothing: each invariant, held and then violated.

use crate::attempt_end::AttemptEnd;
use crate::invariants::{Drain, Invariant, Invariants, RequestGuard, SentAttempt};
use std::time::{Duration, Instant};

fn sent_in_time() -> SentAttempt {
    SentAttempt { client_left_at: None, send_by: Instant::now() + Duration::from_secs(1), drain: None }
}

/// The invariants that a request violates whose guard sees these steps.
fn violations(at_most_once: bool, steps: impl Fn(&RequestGuard, &Invariants)) -> Vec<&'static str> {
    let guard = RequestGuard::new(at_most_once, false);
    let invariants = Invariants::default();
    steps(&guard, &invariants);
    invariants.counts().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
}

#[test]
fn each_invariant_is_counted_where_it_is_violated_and_only_there() {
    let ago = |ms| Instant::now().checked_sub(Duration::from_millis(ms));
    let send = |change: fn(&mut SentAttempt, Option<Instant>), ms| {
        violations(true, move |guard, invariants| {
            let mut attempt = sent_in_time();
            change(&mut attempt, ago(ms));
            guard.request_sent(invariants, "r1", &attempt);
        })
    };
    assert_eq!(send(|_, _| {}, 0), [""; 0]);
    assert_eq!(send(|sent, at| sent.client_left_at = at, 50), [""; 0]);
    assert_eq!(send(|sent, at| sent.client_left_at = at, 120), ["no_attempt_for_gone_client"]);
    assert_eq!(
        send(|sent, at| sent.send_by = at.expect("a time"), 100),
        [""; 0],
        "the process may have been suspended"
    );
    assert_eq!(send(|sent, at| sent.send_by = at.expect("a time"), 200), ["no_attempt_after_deadline"]);
    let drain = |sent: &mut SentAttempt, since: Option<Instant>| {
        sent.drain = since.map(|since| Drain { since, grace: Duration::from_secs(1) });
    };
    assert_eq!(send(drain, 900), [""; 0]);
    assert_eq!(send(drain, 1_100), ["nothing_to_drained"]);
}

#[test]
fn an_at_most_once_request_that_may_have_run_is_neither_sent_again_nor_rejected() {
    let sent_twice = |at_most_once, first_end: AttemptEnd| {
        violations(at_most_once, move |guard, invariants| {
            guard.request_sent(invariants, "r1", &sent_in_time());
            guard.attempt_ended(&first_end, true);
            guard.request_sent(invariants, "r1", &sent_in_time());
        })
    };
    assert_eq!(sent_twice(true, AttemptEnd::Rejected), [""; 0]);
    assert_eq!(sent_twice(false, AttemptEnd::Reset), [""; 0]);
    assert_eq!(sent_twice(true, AttemptEnd::Reset), ["single_run_once"]);
    assert_eq!(sent_twice(true, AttemptEnd::StaleConnection), ["single_run_once"]);
    let rejected_after = |end: AttemptEnd| {
        violations(true, move |guard, invariants| {
            guard.request_sent(invariants, "r1", &sent_in_time());
            guard.attempt_ended(&end, true);
            guard.request_rejected(invariants, "r1");
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
