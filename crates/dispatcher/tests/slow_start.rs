//! How much work a dispatcher sends to a worker in slow start.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;

#[test]
fn worker_in_slow_start_gets_no_more_than_its_budget() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    let restarted = WorkerEntry { started_at: 10 * SEC, ..entry(0) };
    harness.dispatch(10 * SEC, list_delta([restarted]));
    let mut sent_work = 0;
    for job in 0..100 {
        let now = 10 * SEC + job * 10 * MS;
        let (request, actions) = harness.arrive(now, 0, 40 * MS);
        if let Some(&SentRequest { worker, .. }) = sends(&actions).iter().find(|send| send.request == request)
        {
            sent_work += 40 * MS;
            harness.dispatch(now + MS, Event::AttemptStarted { request, attempt: 0, worker });
        }
    }
    // The worker has a fifth of one standard core. All dispatchers may send it three times that within 2 s,
    // which is 1.2 s of work, and this dispatcher is one of two.
    assert!(sent_work > 0 && sent_work <= 600 * MS, "{sent_work} µs of work were sent within 1 s");
}

/// Guards against an overload by jobs that run far longer than their work hints say: each must count as at
/// least a fraction of the mean job size.
#[test]
fn job_with_a_tiny_hint_still_counts_against_the_slow_start_budget() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    for second in 1..61 {
        harness.serve(second * SEC, 400 * MS, |_| 1.0);
    }
    let started_at = 70 * SEC;
    harness.dispatch(started_at, list_delta([WorkerEntry { started_at, ..entry(0) }]));
    let mut sent = 0;
    for job in 0..100 {
        let now = started_at + job * 10 * MS;
        let (request, actions) = harness.arrive(now, 0, 5 * MS);
        if let Some(&SentRequest { worker, .. }) = sends(&actions).iter().find(|send| send.request == request)
        {
            sent += 1;
            harness.dispatch(now + MS, Event::AttemptStarted { request, attempt: 0, worker });
        }
    }
    assert!((1..=4).contains(&sent), "{sent} jobs were sent within 1 s");
}

/// Guards against a metric and a log line that show workers in slow start for too long, not at all, or without
/// what was sent to them.
#[test]
fn status_of_a_worker_in_slow_start_shows_its_capacity_and_what_was_sent() {
    let mut harness = DispatcherHarness::new(settings(), 1);
    assert_eq!(harness.dispatcher.workers_in_slow_start(SEC), 0);
    let started_at = 10 * SEC;
    harness.dispatch(started_at, list_delta([WorkerEntry { started_at, ..entry(0) }]));
    let (_, actions) = harness.arrive(started_at + SEC, 0, 100 * MS);
    assert_eq!(sends(&actions).len(), 1, "the job is within the budget and sent at once");
    let status = harness.dispatcher.slow_start_status(WorkerId(0), started_at + SEC).expect("in slow start");
    assert_eq!(status.used, 100e3, "the work sent is that of one job");
    assert!(status.used <= status.budget && status.is_nearest, "{status:?}");
    // Both dispatchers have the only worker among their nearest ones. It has one slot and started 1 s ago with
    // a fifth of its capacity, which it regains within 10 s.
    assert_eq!((status.expected_users, status.subset_size), (2.0, 1));
    assert!((status.capacity - 0.28).abs() < 0.01, "{status:?}");
    assert_eq!(harness.dispatcher.workers_in_slow_start(started_at + SEC), 1);
    assert_eq!(harness.dispatcher.workers_in_slow_start(started_at + 10 * SEC), 0);
    assert_eq!(harness.dispatcher.slow_start_status(WorkerId(0), started_at + 10 * SEC), None);
}
