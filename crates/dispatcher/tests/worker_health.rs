//! Which workers get no work, for how long, and what the end of an attempt says of its worker.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;

/// Requests of one client that no worker can use must not eject workers for everyone else; and each ends at
/// once, for any other worker would answer the same.
#[test]
fn invalid_request_ends_at_once_and_does_not_eject_its_worker() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    for second in 1..20 {
        let (request, actions) = harness.arrive(second * SEC, 1, 50 * MS);
        let sent = sends(&actions);
        assert_eq!(sent.len(), 1, "the worker still gets work");
        let actions =
            harness.end_attempt(second * SEC + MS, request, (sent[0].worker, 0), Outcome::InvalidRequest);
        assert_eq!(actions, [Action::Fail { request }]);
    }
}

/// Connections break for reasons of their own: a worker that goes on serving must not be ejected for it.
#[test]
fn reset_does_not_eject_a_worker_that_answered_recently() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    let mut now = SEC;
    for _ in 0..10 {
        assert_eq!(harness.serve(now, 50 * MS, |_| 1.0), Some(WorkerId(0)));
        now += 100 * MS;
        let (request, actions) = harness.arrive(now, 1, 50 * MS);
        assert_eq!(sends(&actions).len(), 1, "it has just served");
        harness.end_attempt(now + MS, request, (WorkerId(0), 0), Outcome::Reset);
        now += 100 * MS;
    }
    // One that has not answered for a while is ejected by a reset.
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

/// Guards against jobs that are sent again and again into full queues.
#[test]
fn worker_that_rejected_a_job_gets_no_more_for_a_while() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    let (request, actions) = harness.arrive(SEC, 0, 50 * MS);
    assert_eq!(sends(&actions).len(), 1);
    let again = sends(&harness.end_attempt(SEC + 10 * MS, request, (WorkerId(0), 0), Outcome::Rejected));
    assert!(again.is_empty());
    assert!(sends(&harness.arrive(SEC + 20 * MS, 0, 50 * MS).1).is_empty());
    assert_eq!(sends(&harness.arrive(SEC + 2 * SEC, 0, 50 * MS).1).len(), 1, "and is probed later");
}

/// Fast rejections must not make a full worker look idle.
#[test]
fn probe_after_a_rejection_is_a_job_that_can_wait_for_the_queue() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    let (request, _) = harness.arrive(SEC, 0, 100 * MS);
    harness.end_attempt(SEC + 10 * MS, request, (WorkerId(0), 0), Outcome::Rejected);
    let (_, actions) = harness.arrive(SEC + 600 * MS, 0, 10 * MS);
    assert!(sends(&actions).is_empty(), "too little time for the queue");
    let (request, actions) = harness.arrive(SEC + 610 * MS, 0, 400 * MS);
    assert_eq!(sends(&actions), [SentRequest { request, worker: WorkerId(0) }]);
}

/// A worker that is full for one class serves the others. A class whose jobs are lost by a rejection stays
/// away for longer.
#[test]
fn rejection_keeps_its_own_class_away_and_no_other() {
    let mut settings = settings();
    settings.limits.rejection_may_have_run = true;
    let mut harness = DispatcherHarness::new(settings, 1);
    let (request, _) = harness.arrive(SEC, 1, 100 * MS);
    let answer = harness.end_attempt(SEC + 10 * MS, request, (WorkerId(0), 0), Outcome::Rejected);
    assert!(answer.contains(&Action::Fail { request }));
    let (other, actions) = harness.arrive(2 * SEC, 0, 400 * MS);
    let expected = SentRequest { request: other, worker: WorkerId(0) };
    assert_eq!(sends(&actions), [expected], "another class is served");
    harness.end_attempt(2 * SEC + 400 * MS, other, (WorkerId(0), 0), Outcome::Ok);
    assert!(sends(&harness.arrive(4 * SEC, 1, 400 * MS).1).is_empty(), "this class stays away");
    assert_eq!(sends(&harness.arrive(8 * SEC, 1, 400 * MS).1).len(), 1, "and is probed later");
}

/// The job ran and its answer was lost: the worker has served others since.
#[test]
fn lost_answer_does_not_eject_a_worker_that_served_since() {
    let ejected_where = |served_since: bool| {
        let mut harness = DispatcherHarness::new(settings(), 1);
        let (request, _) = harness.arrive(SEC, 0, 50 * MS);
        harness.dispatch(SEC + MS, Event::AttemptStarted { request, attempt: 0, worker: WorkerId(0) });
        if served_since {
            assert!(harness.serve(3 * SEC, 50 * MS, |_| 1.0).is_some(), "another job is served meanwhile");
        }
        harness.end_attempt(6 * SEC, request, (WorkerId(0), 0), Outcome::Timeout);
        sends(&harness.arrive(6 * SEC + 10 * MS, 0, 50 * MS).1).is_empty()
    };
    assert!(!ejected_where(true), "its answer was lost");
    assert!(ejected_where(false), "a silent worker is ejected");
}

/// A long body takes time to send: that is no queue at the worker, and must not make all workers look slow.
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
    // A small job that has 500 ms is sent at once: had the waits counted, none could be in time.
    let now = 61 * SEC;
    let small = arrival(RequestId(9_000), 0, now + 500 * MS, 50 * MS);
    assert_eq!(sends(&harness.dispatch(now, Event::Arrival(small))).len(), 1);
}

/// What operators see is what the decisions go by: draining, failed and full workers get no work for as
/// long as they are counted so.
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
    // One that cannot be connected to is ejected until a probe shows that it is back.
    let (request, actions) = harness.arrive(SEC, 1, 40 * MS);
    let worker = sends(&actions)[0].worker;
    harness.end_attempt(SEC + MS, request, (worker, 0), Outcome::ConnectFailed);
    let counts = worker_counts(&harness, SEC + MS);
    assert_eq!((counts.known, counts.ejected, counts.unavailable()), (5, 1, 2));
    for offset in 0..40 {
        let (_, actions) = harness.arrive(SEC + 2 * MS + offset, 1, 40 * MS);
        assert!(
            sends(&actions).iter().all(|send| send.worker != worker && send.worker != WorkerId(0)),
            "neither gets work"
        );
    }
    // A new process in its place has not failed.
    let restarted = WorkerEntry { started_at: 2 * SEC, ..entry(worker.0) };
    harness.dispatch(2 * SEC, list_delta([restarted]));
    assert_eq!(
        worker_counts(&harness, 2 * SEC),
        WorkerCounts { known: 5, draining: 1, ..WorkerCounts::default() }
    );
    // A rejection of one class leaves the others; with a rejection of each class the worker is saturated.
    let mut harness = DispatcherHarness::new(settings(), 1);
    for class in 0..5 {
        assert_eq!(worker_counts(&harness, SEC).unavailable(), 0, "class {class}");
        let (request, _) = harness.arrive(SEC, class, 40 * MS);
        harness.end_attempt(SEC, request, (WorkerId(0), 0), Outcome::Rejected);
    }
    assert_eq!(
        worker_counts(&harness, SEC),
        WorkerCounts { known: 1, saturated: 1, ..WorkerCounts::default() }
    );
    assert_eq!(worker_counts(&harness, 60 * SEC).unavailable(), 0, "for a while");
}
