//! Which requests are retried, at which workers, and how the others are answered.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;

#[test]
fn non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    let mut harness = DispatcherHarness::new(settings(), 3);
    let (request, actions) = harness.arrive(SEC, 1, 50 * MS);
    let worker = sends(&actions)[0].worker;
    let actions = harness.end_attempt(SEC + 10 * MS, request, (worker, 0), Outcome::Reset);
    assert!(actions.contains(&Action::Fail { request }));
    assert!(sends(&actions).is_empty());
}

#[test]
fn non_idempotent_request_that_was_rejected_is_retried_at_another_worker() {
    let mut harness = DispatcherHarness::new(settings(), 3);
    let (request, actions) = harness.arrive(SEC, 1, 50 * MS);
    let worker = sends(&actions)[0].worker;
    let again = sends(&harness.end_attempt(SEC + 10 * MS, request, (worker, 0), Outcome::Rejected));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].worker, worker);
}

#[test]
fn non_idempotent_request_fails_where_a_rejection_may_have_run() {
    let mut settings = settings();
    settings.limits.rejection_may_have_run = true;
    let mut harness = DispatcherHarness::new(settings, 3);
    let (request, actions) = harness.arrive(SEC, 1, 50 * MS);
    let worker = sends(&actions)[0].worker;
    let actions = harness.end_attempt(SEC + 10 * MS, request, (worker, 0), Outcome::Rejected);
    assert!(actions.contains(&Action::Fail { request }));
}

#[test]
fn zone_keyed_request_is_retried_in_its_zone() {
    let mut harness = DispatcherHarness::new(settings(), 6);
    let (request, actions) = harness.arrive(SEC, 2, 50 * MS);
    let first = sends(&actions)[0].worker;
    let again = sends(&harness.end_attempt(SEC + 10 * MS, request, (first, 0), Outcome::Reset));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].worker.0 % 2, first.0 % 2);
    assert_ne!(again[0].worker, first);
}

#[test]
fn zone_keyed_request_whose_rejection_may_have_run_stays_in_its_zone_and_is_not_rejected() {
    let mut settings = settings();
    settings.limits.rejection_may_have_run = true;
    let mut harness = DispatcherHarness::new(settings, 4);
    let (request, actions) = harness.arrive(SEC, 2, 50 * MS);
    let first = sends(&actions)[0].worker;
    let again = sends(&harness.end_attempt(SEC + 5 * MS, request, (first, 0), Outcome::Rejected));
    assert_eq!(again[0].worker.0 % 2, first.0 % 2);
    let actions = harness.end_attempt(SEC + 10 * MS, request, (again[0].worker, 1), Outcome::Rejected);
    assert!(!actions.iter().any(|action| matches!(action, Action::Reject { .. })), "{actions:?}");
}

/// A body that was sent and is not stored can't be sent again, whatever the class: the request fails if it
/// may have been executed, and is rejected only if it was not.
#[test]
fn request_with_a_consumed_body_is_not_retried() {
    for class in 0..5 {
        for (outcome, never_ran) in [
            (Outcome::ConnectFailed, true),
            (Outcome::Rejected, true),
            (Outcome::NotSent, true),
            (Outcome::Error, false),
            (Outcome::Reset, false),
            (Outcome::Timeout, false),
            (Outcome::Cancelled, false),
        ] {
            let mut harness = DispatcherHarness::new(settings(), 3);
            let (request, actions) = harness.arrive(SEC, class, 50 * MS);
            let worker = sends(&actions)[0].worker;
            assert_eq!(sends(&harness.dispatch(SEC + MS, Event::BodyConsumed(request))), []);
            let actions = harness.end_attempt(SEC + 2 * MS, request, (worker, 0), outcome);
            let answer = match never_ran {
                true => Action::Reject { request, retry_after: 2 * SEC },
                false => Action::Fail { request },
            };
            assert_eq!(actions, [answer], "class {class}, {outcome:?}");
        }
    }
}

/// If a body could not be stored, the dispatcher rejects the request and sends nothing.
#[test]
fn request_without_a_sendable_body_is_rejected_at_once() {
    let mut harness = DispatcherHarness::new(settings(), 3);
    for class in 0..5 {
        let request = RequestId(900 + class as u64);
        let arrival = Arrival { body_sendable: false, ..arrival(request, class, 6 * SEC, 50 * MS) };
        let actions = harness.dispatch(SEC, Event::Arrival(arrival));
        assert_eq!(actions, [Action::Reject { request, retry_after: 2 * SEC }], "class {class}");
    }
}

/// Guards against requests with a short client timeout that are taken for retries: a request is sent unless
/// it is marked as a retry and its latency objective has passed.
#[test]
fn first_attempt_with_a_short_deadline_is_not_taken_for_a_retry() {
    let mut harness = DispatcherHarness::new(settings(), 2);
    harness.serve(SEC, 100 * MS, |_| 1.0);
    let first = arrival(RequestId(90), 0, 3 * SEC + 300 * MS, 100 * MS);
    let retry = Arrival { request: RequestId(91), is_retry: true, ..first.clone() };
    assert_eq!(sends(&harness.dispatch(3 * SEC, Event::Arrival(first))).len(), 1);
    let sent_retries = sends(&harness.dispatch(3 * SEC, Event::Arrival(retry)));
    assert!(
        sent_retries.is_empty(),
        "a retry is sent after its latency objective has passed: {sent_retries:?}"
    );
}

/// Returns the expiry and the token of the first timer that these actions set.
fn timer_of(actions: &[Action], now: Micros) -> Option<(Micros, u64)> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer { delay, token } => Some((now + delay, *token)),
        _ => None,
    })
}

#[test]
fn attempt_at_a_silent_worker_is_cancelled_and_retried_in_time() {
    let mut harness = DispatcherHarness::new(settings(), 3);
    let (request, actions) = harness.arrive(SEC, 0, 200 * MS);
    let worker = sends(&actions)[0].worker;
    let mut timer = timer_of(&actions, SEC);
    while let Some((now, token)) = timer.take() {
        assert!(now < SEC + 700 * MS, "the attempt is not cancelled within 700 ms");
        let actions = harness.dispatch(now, Event::Timer(token));
        if actions.contains(&Action::Cancel { request, attempt: 0 }) {
            let again = sends(&harness.end_attempt(now + MS, request, (worker, 0), Outcome::Cancelled));
            assert_eq!(again.len(), 1);
            assert_ne!(again[0].worker, worker);
            return;
        }
        timer = timer_of(&actions, now);
    }
    panic!("the attempt is not cancelled, and no further check of it is scheduled");
}
