//! Which workers get no work, for how long, and what the end of an attempt shows about its worker.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;

/// Guards against invalid requests of one client that eject workers for all clients. Each of them fails
/// without a retry, since no other worker would accept it.
#[test]
fn invalid_request_ends_at_once_and_does_not_eject_its_worker() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    for second in 1..20 {
        let (request, actions) = harness.arrive(second * SEC, 1, 50 * MS);
        let sent = sends(&actions);
        assert_eq!(sent.len(), 1, "sends to the worker after invalid requests only");
        let actions =
            harness.end_attempt(second * SEC + MS, request, (sent[0].worker, 0), Outcome::InvalidRequest);
        assert_eq!(actions, [Action::Fail { request }]);
    }
}

/// A connection can break although its worker has not failed: a worker that was active recently must not be
/// ejected for that.
#[test]
fn reset_does_not_eject_a_worker_that_served_recently() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    let mut now = SEC;
    for _ in 0..10 {
        assert_eq!(harness.serve(now, 50 * MS, |_| 1.0), Some(WorkerId(0)));
        now += 100 * MS;
        let (request, actions) = harness.arrive(now, 1, 50 * MS);
        assert_eq!(sends(&actions).len(), 1, "sends to a worker that has just served a job");
        harness.end_attempt(now + MS, request, (WorkerId(0), 0), Outcome::Reset);
        now += 100 * MS;
    }
    // A worker without recent activity is ejected after a reset.
    now += 10 * SEC;
    let (request, _) = harness.arrive(now, 1, 50 * MS);
    harness.end_attempt(now + MS, request, (WorkerId(0), 0), Outcome::Reset);
    assert!(sends(&harness.arrive(now + 2 * MS, 1, 50 * MS).1).is_empty());
}

#[test]
fn draining_worker_gets_no_new_work() {
    let mut harness = DispatcherHarness::new(settings(), 2);
    let draining = WorkerEntry { lifecycle: Lifecycle::Draining, ..entry(0) };
    harness.dispatch(SEC, list_delta([draining]));
    for second in 2..52 {
        let worker = harness.serve(second * SEC, 50 * MS, |_| 1.0);
        assert_eq!(worker, Some(WorkerId(1)));
    }
}

/// Guards against jobs that are sent repeatedly to a worker whose queue is full.
#[test]
fn worker_that_rejected_a_job_gets_no_more_for_a_while() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    let (request, actions) = harness.arrive(SEC, 0, 50 * MS);
    assert_eq!(sends(&actions).len(), 1);
    let again = sends(&harness.end_attempt(SEC + 10 * MS, request, (WorkerId(0), 0), Outcome::Rejected));
    assert!(again.is_empty());
    assert!(sends(&harness.arrive(SEC + 20 * MS, 0, 50 * MS).1).is_empty());
    assert_eq!(
        sends(&harness.arrive(SEC + 2 * SEC, 0, 50 * MS).1).len(),
        1,
        "sends to the worker after its backoff"
    );
}

/// Guards against fast rejections that make a worker with a full queue look idle: after the backoff, it gets
/// only a job that has time to wait in a queue.
#[test]
fn probe_after_a_rejection_is_a_job_that_can_wait_for_the_queue() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    let (request, _) = harness.arrive(SEC, 0, 100 * MS);
    harness.end_attempt(SEC + 10 * MS, request, (WorkerId(0), 0), Outcome::Rejected);
    let (_, actions) = harness.arrive(SEC + 600 * MS, 0, 10 * MS);
    assert!(sends(&actions).is_empty(), "a job without time to wait in a queue is sent");
    let (request, actions) = harness.arrive(SEC + 610 * MS, 0, 400 * MS);
    assert_eq!(sends(&actions), [SentRequest { request, worker: WorkerId(0) }]);
}

/// A worker that rejects one class may accept the others. If the rejected job can't be retried, since it may
/// have been executed, the backoff of its class is longer.
#[test]
fn rejection_starts_a_backoff_of_its_own_class_and_no_other() {
    let mut settings = settings();
    settings.limits.rejection_may_have_run = true;
    let mut harness = DispatcherHarness::new(settings, 1);
    let (request, _) = harness.arrive(SEC, 1, 100 * MS);
    let answer = harness.end_attempt(SEC + 10 * MS, request, (WorkerId(0), 0), Outcome::Rejected);
    assert!(answer.contains(&Action::Fail { request }));
    let (other, actions) = harness.arrive(2 * SEC, 0, 400 * MS);
    let expected = SentRequest { request: other, worker: WorkerId(0) };
    assert_eq!(sends(&actions), [expected], "sends of class 0 during the backoff of class 1");
    harness.end_attempt(2 * SEC + 400 * MS, other, (WorkerId(0), 0), Outcome::Ok);
    assert!(
        sends(&harness.arrive(4 * SEC, 1, 400 * MS).1).is_empty(),
        "class 1 is sent to the worker during its backoff"
    );
    assert_eq!(sends(&harness.arrive(8 * SEC, 1, 400 * MS).1).len(), 1, "sends of class 1 after its backoff");
}

/// Guards against the ejection of a worker whose response was lost on the way, although the worker has served
/// another job after the lost one should have ended.
#[test]
fn lost_response_does_not_eject_a_worker_that_served_since() {
    let ejected_where = |served_since: bool| {
        let mut harness = DispatcherHarness::new(settings(), 1);
        let (request, _) = harness.arrive(SEC, 0, 50 * MS);
        harness.dispatch(SEC + MS, Event::AttemptStarted { request, attempt: 0, worker: WorkerId(0) });
        if served_since {
            assert!(
                harness.serve(3 * SEC, 50 * MS, |_| 1.0).is_some(),
                "the worker does not serve another job meanwhile"
            );
        }
        harness.end_attempt(6 * SEC, request, (WorkerId(0), 0), Outcome::Timeout);
        sends(&harness.arrive(6 * SEC + 10 * MS, 0, 50 * MS).1).is_empty()
    };
    assert!(!ejected_where(true), "a worker that has served since is ejected for a lost response");
    assert!(ejected_where(false), "a silent worker is not ejected");
}

/// Guards against counting the time to send a long body as a wait in the worker's queue: all workers would
/// look slow.
#[test]
fn time_to_send_a_long_body_does_not_count_as_a_wait() {
    let mut harness = DispatcherHarness::new(settings(), 4);
    for second in 1..60 {
        let now = second * SEC;
        let (request, actions) = harness.arrive(now, 0, 50 * MS);
        let worker = sends(&actions)[0].worker;
        harness.dispatch(now + 600 * MS, Event::RequestSent { request, attempt: 0, worker });
        harness.dispatch(now + 601 * MS, Event::AttemptStarted { request, attempt: 0, worker });
        harness.dispatch(now + 651 * MS, attempt_ended(request, (worker, 0), Outcome::Ok, 50 * MS));
    }
    // A small job with 500 ms left is sent immediately. If the 600 ms of each transfer counted as a wait, no
    // worker could serve it in time.
    let now = 61 * SEC;
    let small = arrival(RequestId(9_000), 0, now + 500 * MS, 50 * MS);
    assert_eq!(sends(&harness.dispatch(now, Event::Arrival(small))).len(), 1);
}

/// Guards against counts for operators that disagree with the decisions: a worker gets no new work for as
/// long as it is counted as draining, ejected or saturated.
#[test]
fn worker_counts_agree_with_which_workers_get_work() {
    let mut harness = DispatcherHarness::new(settings(), 6);
    let worker_counts = |harness: &DispatcherHarness, now| harness.dispatcher.worker_counts(now);
    assert_eq!(worker_counts(&harness, 0), WorkerCounts { known: 6, ..WorkerCounts::default() });
    let draining = WorkerEntry { lifecycle: Lifecycle::Draining, ..entry(0) };
    let gone = WorkerEntry { lifecycle: Lifecycle::Gone, ..entry(1) };
    harness.dispatch(SEC, list_delta([draining, gone]));
    assert_eq!(
        worker_counts(&harness, SEC),
        WorkerCounts { known: 5, draining: 1, ..WorkerCounts::default() }
    );
    // A worker that can't be connected to is ejected until a half-open probe shows that it has recovered.
    let (request, actions) = harness.arrive(SEC, 1, 40 * MS);
    let worker = sends(&actions)[0].worker;
    harness.end_attempt(SEC + MS, request, (worker, 0), Outcome::ConnectFailed);
    let counts = worker_counts(&harness, SEC + MS);
    assert_eq!((counts.known, counts.ejected, counts.unavailable()), (5, 1, 2));
    for offset in 0..40 {
        let (_, actions) = harness.arrive(SEC + 2 * MS + offset, 1, 40 * MS);
        assert!(
            sends(&actions).iter().all(|send| send.worker != worker && send.worker != WorkerId(0)),
            "a draining or ejected worker gets a job"
        );
    }
    // Failures of the old process do not count for a new one.
    let restarted = WorkerEntry { started_at: 2 * SEC, ..entry(worker.0) };
    harness.dispatch(2 * SEC, list_delta([restarted]));
    assert_eq!(
        worker_counts(&harness, 2 * SEC),
        WorkerCounts { known: 5, draining: 1, ..WorkerCounts::default() }
    );
    // A worker is saturated only after rejections of every class.
    let mut harness = DispatcherHarness::new(settings(), 1);
    for class in 0..5 {
        assert_eq!(
            worker_counts(&harness, SEC).unavailable(),
            0,
            "unavailable workers before the rejection of class {class}"
        );
        let (request, _) = harness.arrive(SEC, class, 40 * MS);
        harness.end_attempt(SEC, request, (WorkerId(0), 0), Outcome::Rejected);
    }
    assert_eq!(
        worker_counts(&harness, SEC),
        WorkerCounts { known: 1, saturated: 1, ..WorkerCounts::default() }
    );
    assert_eq!(worker_counts(&harness, 60 * SEC).unavailable(), 0, "unavailable workers after the backoff");
}
