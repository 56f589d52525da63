//! A guard that finds nothing proves nothing: each invariant, kept and then broken.

use crate::attempt_end::AttemptEnd;
use crate::invariants::{Drain, Invariant, Invariants, RequestGuard, SentAttempt};
use std::time::{Duration, Instant};

fn sent_in_time() -> SentAttempt {
    SentAttempt { client_left_at: None, send_by: Instant::now() + Duration::from_secs(1), drain: None }
}

/// What is violated by a request that goes through this.
fn violated(single_run: bool, life: impl Fn(&RequestGuard, &Invariants)) -> Vec<&'static str> {
    let (guard, invariants) = (RequestGuard::new(single_run, false), Invariants::default());
    life(&guard, &invariants);
    invariants.counts().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
}

#[test]
fn each_invariant_is_counted_where_it_is_broken_and_only_there() {
    let ago = |ms| Instant::now().checked_sub(Duration::from_millis(ms));
    let write = |change: fn(&mut SentAttempt, Option<Instant>), ms| {
        violated(true, move |guard, invariants| {
            let mut attempt = sent_in_time();
            change(&mut attempt, ago(ms));
            guard.request_sent(invariants, "r1", &attempt);
        })
    };
    assert_eq!(write(|_, _| {}, 0), [""; 0]);
    assert_eq!(write(|sent, at| sent.client_left_at = at, 50), [""; 0]);
    assert_eq!(write(|sent, at| sent.client_left_at = at, 120), ["no_attempt_for_gone_client"]);
    assert_eq!(
        write(|sent, at| sent.send_by = at.expect("a time"), 100),
        [""; 0],
        "a process may be held up"
    );
    assert_eq!(write(|sent, at| sent.send_by = at.expect("a time"), 200), ["no_attempt_after_deadline"]);
    let drain = |sent: &mut SentAttempt, since: Option<Instant>| {
        sent.drain = since.map(|since| Drain { since, grace: Duration::from_secs(1) });
    };
    assert_eq!(write(drain, 900), [""; 0]);
    assert_eq!(write(drain, 1_100), ["nothing_to_drained"]);
}

#[test]
fn a_single_run_that_may_have_run_is_neither_sent_again_nor_refused() {
    let twice = |single, between: AttemptEnd| {
        violated(single, move |guard, invariants| {
            guard.request_sent(invariants, "r1", &sent_in_time());
            guard.attempt_ended(&between, true);
            guard.request_sent(invariants, "r1", &sent_in_time());
        })
    };
    assert_eq!(twice(true, AttemptEnd::Rejected), [""; 0]);
    assert_eq!(twice(false, AttemptEnd::Reset), [""; 0]);
    assert_eq!(twice(true, AttemptEnd::Reset), ["single_run_once"]);
    assert_eq!(twice(true, AttemptEnd::StaleConnection), ["single_run_once"]);
    let refused = |ending: AttemptEnd| {
        violated(true, move |guard, invariants| {
            guard.request_sent(invariants, "r1", &sent_in_time());
            guard.attempt_ended(&ending, true);
            guard.request_rejected(invariants, "r1");
        })
    };
    assert_eq!(refused(AttemptEnd::Rejected), [""; 0]);
    assert_eq!(refused(AttemptEnd::ResponseTimeout), ["no_refusal_after_run"]);
}

#[test]
fn every_invariant_has_a_count_of_its_own() {
    let invariants = Invariants::default();
    for invariant in Invariant::ALL {
        invariants.check(invariant, "r1", true);
        invariants.check(invariant, "r1", false);
    }
    assert!(invariants.counts().all(|(_, count)| count == 1));
    assert_eq!(invariants.total(), Invariant::ALL.len() as u64);
}
