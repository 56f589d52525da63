//! Requests that wait for a worker, and the timers that are set for them.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;

#[test]
fn request_without_any_worker_is_rejected_within_its_objective() {
    let mut harness = DispatcherHarness::new(settings(), 0);
    let (request, actions) = harness.arrive(SEC, 1, 100 * MS);
    let Some(&Action::SetTimer { delay, token }) = actions.first() else { panic!("no timer: {actions:?}") };
    assert!(delay <= 450 * MS);
    let actions = harness.dispatch(SEC + delay, Event::Timer(token));
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Reject { request: rejected, .. } if *rejected == request))
    );
}

/// A job that can still be in time goes before one that is late anyway, though that one has less time left:
/// else a backlog makes each job wait until it is late. One that could be in time only if nothing errs,
/// least of all its hint, would mostly be late as well.
#[test]
fn pending_job_that_is_late_goes_after_those_that_can_be_in_time() {
    for freed_at in [900 * MS, 320 * MS] {
        let mut settings = settings();
        settings.classes[0].late_value_fraction = 0.5;
        let mut harness = DispatcherHarness::new(settings, 1);
        let (running, actions) = harness.arrive(0, 0, 100 * MS);
        let worker = sends(&actions).first().expect("it is sent").worker;
        let (late, actions) = harness.arrive(MS, 0, 100 * MS);
        assert!(sends(&actions).is_empty(), "it waits behind the first");
        let (recent, actions) = harness.arrive(freed_at - 10 * MS, 0, 100 * MS);
        assert!(sends(&actions).is_empty(), "it waits as well");
        let served = attempt_ended(running, (worker, 0), Outcome::Ok, 100 * MS);
        let actions = harness.dispatch(freed_at, served);
        let first = sends(&actions).first().map(|send| send.request);
        assert_eq!(first, Some(recent), "not {late:?} at {freed_at}");
    }
}

/// A timer that was overtaken by an earlier one sets no further timer.
#[test]
fn overtaken_timers_do_not_multiply() {
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
    assert!(count < 2_500, "{count} timers for 400 requests");
}

/// A timer may fire too early: an earlier one was set in the meantime, or its request is gone.
#[test]
fn timer_that_fires_before_the_next_check_sets_no_further_timer() {
    let mut harness = DispatcherHarness::new(settings(), 0);
    let (_, actions) = harness.arrive(SEC, 1, 100 * MS);
    let Some(&Action::SetTimer { delay, token }) = actions.first() else { panic!("no timer: {actions:?}") };
    assert!(delay > MS);
    assert_eq!(harness.dispatch(SEC + MS, Event::Timer(token)), []);
    assert!(!harness.dispatch(SEC + delay, Event::Timer(token)).is_empty(), "the check takes place");
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
        let Some(&Action::SetTimer { delay, token }) = actions.first() else { panic!("no timer") };
        assert!(delay > last_delay);
        last_delay = delay;
        assert!(harness.dispatch(SEC + delay, Event::Timer(token)).contains(&Action::WatchWorkerList));
    }
}
