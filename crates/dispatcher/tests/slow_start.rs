//! How much work a worker gets in slow start.

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
    // One standard core at a fifth: three times that over two seconds, of which this dispatcher has half.
    assert!(sent_work > 0 && sent_work <= 600 * MS, "{sent_work}");
}

/// Jobs with tiny hints that run far longer must not overload a worker in slow start.
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
    assert!((1..=4).contains(&sent), "{sent} jobs");
}
