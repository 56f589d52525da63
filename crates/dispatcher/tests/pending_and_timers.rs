//! Requests that wait for a worker, the timers for their checks, and the backoff of the discovery watch.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;

#[test]
fn request_without_any_worker_is_rejected_within_its_objective() {
    let mut harness = DispatcherHarness::new(settings(), 0);
    let (request, actions) = harness.arrive(SEC, 1, 100 * MS);
    let Some(&Action::SetTimer { delay, token }) = actions.first() else {
        panic!("the arrival of a waiting request sets no timer: {actions:?}")
    };
    assert!(delay <= 450 * MS);
    let actions = harness.dispatch(SEC + delay, Event::Timer(token));
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Reject { request: rejected, .. } if *rejected == request))
    );
}

/// Guards against a backlog in which each job waits until it is late: a job that can be answered in time must
/// go before one that is late already, although that one has less time left. A job that would be in time only
/// if its work hint were exact counts as late, since most such jobs are.
#[test]
fn pending_job_that_is_late_goes_after_those_that_can_be_in_time() {
    for freed_at in [900 * MS, 320 * MS] {
        let mut settings = settings();
        settings.classes[0].late_value_fraction = 0.5;
        let mut harness = DispatcherHarness::new(settings, 1);
        let (running, actions) = harness.arrive(0, 0, 100 * MS);
        let worker = sends(&actions).first().expect("the idle worker gets the first job").worker;
        let (late, actions) = harness.arrive(MS, 0, 100 * MS);
        assert!(sends(&actions).is_empty(), "the second job waits until the first has ended");
        let (recent, actions) = harness.arrive(freed_at - 10 * MS, 0, 100 * MS);
        assert!(sends(&actions).is_empty(), "the third job waits until the first has ended");
        let served = attempt_ended(running, (worker, 0), Outcome::Ok, 100 * MS);
        let actions = harness.dispatch(freed_at, served);
        let first = sends(&actions).first().map(|send| send.request);
        assert_eq!(
            first,
            Some(recent),
            "first request sent after the worker is free at {freed_at} µs; {late:?} is late"
        );
    }
}

/// Guards against a growing number of timers: a timer that fires after an earlier one has replaced it must
/// not set a further one.
#[test]
fn timer_that_an_earlier_one_has_replaced_sets_no_further_timer() {
    let mut harness = DispatcherHarness::new(settings(), 4);
    let mut timers: Vec<(Micros, u64)> = Vec::new();
    let mut count = 0;
    for tick in 0..4_000 {
        let now = SEC + tick * 5 * MS;
        let mut actions = Vec::new();
        let (due, later): (Vec<_>, Vec<_>) = timers.into_iter().partition(|timer| timer.0 <= now);
        timers = later;
        for (_, token) in due {
            actions.extend(harness.dispatch(now, Event::Timer(token)));
        }
        if tick % 10 == 0 {
            actions.extend(harness.arrive(now, 1, (600 - tick % 500) * MS).1);
        }
        for action in actions {
            if let Action::SetTimer { delay, token } = action {
                count += 1;
                timers.push((now + delay, token));
            }
        }
    }
    assert!(count < 2_500, "{count} timers were set for 400 requests");
}

/// A timer may fire before the next check is due, since an earlier timer has replaced it or its request was
/// removed.
#[test]
fn timer_that_fires_before_the_next_check_sets_no_further_timer() {
    let mut harness = DispatcherHarness::new(settings(), 0);
    let (_, actions) = harness.arrive(SEC, 1, 100 * MS);
    let Some(&Action::SetTimer { delay, token }) = actions.first() else {
        panic!("the arrival of a waiting request sets no timer: {actions:?}")
    };
    assert!(delay > MS);
    assert_eq!(harness.dispatch(SEC + MS, Event::Timer(token)), []);
    assert!(
        !harness.dispatch(SEC + delay, Event::Timer(token)).is_empty(),
        "the request is checked when the check is due"
    );
}

#[test]
fn failed_discovery_watch_is_renewed_with_backoff() {
    let mut settings = settings();
    settings.worker_list_needs_watch = true;
    let mut harness = DispatcherHarness::new(settings, 0);
    assert!(
        harness
            .dispatch(0, Event::WorkerList(WorkerListUpdate::Cached(vec![entry(0)])))
            .contains(&Action::WatchWorkerList)
    );
    let mut last_delay = 0;
    for _ in 0..4 {
        let actions = harness.dispatch(SEC, Event::WorkerList(WorkerListUpdate::Failed));
        let Some(&Action::SetTimer { delay, token }) = actions.first() else {
            panic!("the failure of the watch sets no timer: {actions:?}")
        };
        assert!(delay > last_delay);
        last_delay = delay;
        assert!(harness.dispatch(SEC + delay, Event::Timer(token)).contains(&Action::WatchWorkerList));
    }
}
