//! The mechanism and one test for each failure found, through the public interface.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;

#[test]
fn bigger_jobs_go_to_faster_workers() {
    let mut desk = Desk::new(settings(), 6);
    let speed = |w: WorkerId| 0.5 + 0.4 * f64::from(w.0);
    let (mut small, mut big) = (Vec::new(), Vec::new());
    let mut now = S;
    for i in 0..600 {
        let hint = if i % 2 == 0 { 20 * MS } else { 400 * MS };
        let worker = desk.serve(now, hint, speed);
        now += S;
        if i >= 200 {
            let side = if i % 2 == 0 { &mut small } else { &mut big };
            side.push(speed(worker.expect("an idle fleet serves")));
        }
    }
    let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len() as f64;
    assert!(mean(&big) > mean(&small) + 0.4, "big {} small {}", mean(&big), mean(&small));
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    let mut desk = Desk::new(settings(), 3);
    let (request, actions) = desk.arrive(S, 1, 50 * MS);
    let worker = sends(&actions)[0].1;
    let actions = desk.end(S + 10 * MS, request, (worker, 0), Outcome::Reset);
    assert!(actions.contains(&Action::Fail { request }));
    assert!(sends(&actions).is_empty());
}

#[test]
fn an_unsafe_request_that_never_ran_goes_to_another_worker() {
    let mut desk = Desk::new(settings(), 3);
    let (request, actions) = desk.arrive(S, 1, 50 * MS);
    let worker = sends(&actions)[0].1;
    let again = sends(&desk.end(S + 10 * MS, request, (worker, 0), Outcome::Rejected));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, worker);
}

/// A stranger's jobs, which no worker can use, must not close the workers to everyone else's; and each is
/// over at once, for any other worker would say the same.
#[test]
fn an_unusable_job_ends_at_once_and_says_nothing_of_its_worker() {
    let mut desk = Desk::new(settings(), 1);
    for i in 1..20 {
        let (request, actions) = desk.arrive(i * S, 1, 50 * MS);
        let sent = sends(&actions);
        assert_eq!(sent.len(), 1, "the worker is as good as before");
        let actions = desk.end(i * S + MS, request, (sent[0].1, 0), Outcome::InvalidRequest);
        assert_eq!(actions, [Action::Fail { request }]);
    }
}

/// An arrival with a key, at a dispatcher of its own.
fn keyed_arrival(desk: &mut Desk, now: Micros, key: u64) -> Option<WorkerId> {
    let request = RequestId(desk.next);
    desk.next += 1;
    let (due, hint) = (now + 5 * S, Some(100 * MS));
    let arrival = Arrival {
        request,
        class: 0,
        deadline: due,
        work_hint: hint,
        slots: 1.0,
        is_retry: false,
        affinity_key: key,
        body_sendable: true,
    };
    sends(&desk.tell(now, Event::Arrival(arrival))).first().map(|s| s.1)
}

/// Guards against a fleet in which every worker fetches what every job needs: dispatchers that know nothing of
/// each other send a key to one worker, and another key elsewhere.
#[test]
fn a_key_has_one_home_at_all_dispatchers() {
    let home = |key: u64, seed: u64| {
        let mut desk = Desk { dispatcher: Dispatcher::new(settings(), seed), next: 0 };
        desk.tell(0, Event::WorkerList(WorkerListUpdate::Full((0..12).map(entry).collect())));
        keyed_arrival(&mut desk, S, key).expect("an idle fleet")
    };
    let homes: Vec<WorkerId> = (1..60).map(|key| home(key, 1)).collect();
    assert!((1..60).zip(&homes).all(|(key, &w)| home(key, 2) == w && home(key, 3) == w));
    // Also those that are not among the eight that a dispatcher works with at this rate.
    let used = (0..12).filter(|&w| homes.contains(&WorkerId(w))).count();
    assert_eq!(used, 12, "each is the home of some: {homes:?}");
}

/// A key's nearest worker may be of a kind that does not run the class: its home is among those that do.
#[test]
fn a_home_is_of_the_kind_that_runs_the_class() {
    for key in 1..40 {
        let mut settings = settings();
        settings.classes[0].worker_kind = Some(1);
        let mut desk = Desk { dispatcher: Dispatcher::new(settings, 1), next: 0 };
        let of = |n: u32| WorkerEntry { kind: n as usize % 2, ..entry(n) };
        desk.tell(0, Event::WorkerList(WorkerListUpdate::Full((0..12).map(of).collect())));
        let worker = keyed_arrival(&mut desk, S, key).expect("an idle fleet");
        assert_eq!(worker.0 % 2, 1, "key {key} went to {worker:?}");
    }
}

/// Where its worker is busy, a job waits for it rather than have another worker fetch what it needs.
#[test]
fn a_job_waits_for_the_worker_that_has_its_key() {
    let mut desk = Desk::new(settings(), 2);
    let home = keyed_arrival(&mut desk, S, 7).expect("an idle fleet");
    let other = WorkerId(1 - home.0);
    let mut now = S;
    // Both workers have work that has not started, and no job could start at once.
    for key in 8.. {
        now += MS;
        if keyed_arrival(&mut desk, now, key) == Some(other) {
            break;
        }
    }
    now += 30 * MS;
    desk.tell(now, Event::AttemptStarted { request: RequestId(desk.next - 1), attempt: 0, worker: other });
    assert_eq!(keyed_arrival(&mut desk, now, 7), None, "it is held, though the other has begun its job");
    let actions = desk.end(now + 50 * MS, RequestId(0), (home, 0), Outcome::Ok);
    assert_eq!(sends(&actions), [(RequestId(desk.next - 1), home)]);
}

/// Connections break for reasons of their own: a worker that goes on serving must not be left out for it.
#[test]
fn a_reset_says_nothing_of_a_worker_that_lives() {
    let mut desk = Desk::new(settings(), 1);
    let mut now = S;
    for _ in 0..10 {
        assert_eq!(desk.serve(now, 50 * MS, |_| 1.0), Some(WorkerId(0)));
        now += 100 * MS;
        let (request, actions) = desk.arrive(now, 1, 50 * MS);
        assert_eq!(sends(&actions).len(), 1, "it has just served");
        desk.end(now + MS, request, (WorkerId(0), 0), Outcome::Reset);
        now += 100 * MS;
    }
    // One that shows no life is left alone for a while.
    now += 10 * S;
    let (request, _) = desk.arrive(now, 1, 50 * MS);
    desk.end(now + MS, request, (WorkerId(0), 0), Outcome::Reset);
    assert!(sends(&desk.arrive(now + 2 * MS, 1, 50 * MS).1).is_empty());
}

#[test]
fn full_that_may_have_run_is_no_proof() {
    let mut settings = settings();
    settings.limits.rejection_may_have_run = true;
    let mut desk = Desk::new(settings, 3);
    let (request, actions) = desk.arrive(S, 1, 50 * MS);
    let worker = sends(&actions)[0].1;
    let actions = desk.end(S + 10 * MS, request, (worker, 0), Outcome::Rejected);
    assert!(actions.contains(&Action::Fail { request }));
}

#[test]
fn a_keyed_request_stays_in_its_zone() {
    let mut desk = Desk::new(settings(), 6);
    let (request, actions) = desk.arrive(S, 2, 50 * MS);
    let first = sends(&actions)[0].1;
    let again = sends(&desk.end(S + 10 * MS, request, (first, 0), Outcome::Reset));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.0 % 2, first.0 % 2);
    assert_ne!(again[0].1, first);
}

#[test]
fn a_draining_worker_gets_nothing_new() {
    let mut desk = Desk::new(settings(), 2);
    let draining = WorkerEntry { lifecycle: Lifecycle::Draining, ..entry(0) };
    desk.tell(S, Event::WorkerList(WorkerListUpdate::Delta(vec![draining])));
    for i in 0..50 {
        let worker = desk.serve(2 * S + i * S, 50 * MS, |_| 1.0);
        assert_eq!(worker, Some(WorkerId(1)));
    }
}

#[test]
fn a_cold_worker_is_held_to_its_budget() {
    let mut desk = Desk::new(settings(), 1);
    let cold = WorkerEntry { started_at: 10 * S, ..entry(0) };
    desk.tell(10 * S, Event::WorkerList(WorkerListUpdate::Delta(vec![cold])));
    let mut cost = 0;
    for i in 0..100 {
        let now = 10 * S + i * 10 * MS;
        let (request, actions) = desk.arrive(now, 0, 40 * MS);
        if let Some(&(_, worker)) = sends(&actions).iter().find(|s| s.0 == request) {
            cost += 40 * MS;
            desk.tell(now + MS, Event::AttemptStarted { request, attempt: 0, worker });
        }
    }
    // One core of speed 1 at a fifth: three times that over two seconds, of which this dispatcher has half.
    assert!(cost > 0 && cost <= 600 * MS, "{cost}");
}

#[test]
fn with_no_worker_a_request_is_refused_before_its_aim() {
    let mut desk = Desk::new(settings(), 0);
    let (request, actions) = desk.arrive(S, 1, 100 * MS);
    let Some(&Action::SetTimer { delay, token }) = actions.first() else { panic!("no timer: {actions:?}") };
    assert!(delay <= 450 * MS);
    let actions = desk.tell(S + delay, Event::Timer(token));
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { request: r, .. } if *r == request)));
}

/// Incident ica2d10: jobs were sent again and again into full queues.
#[test]
fn a_full_worker_is_left_alone_for_a_while() {
    let mut desk = Desk::new(settings(), 1);
    let (request, actions) = desk.arrive(S, 0, 50 * MS);
    assert_eq!(sends(&actions).len(), 1);
    let again = sends(&desk.end(S + 10 * MS, request, (WorkerId(0), 0), Outcome::Rejected));
    assert!(again.is_empty());
    assert!(sends(&desk.arrive(S + 20 * MS, 0, 50 * MS).1).is_empty());
    assert_eq!(sends(&desk.arrive(S + 2 * S, 0, 50 * MS).1).len(), 1, "and is tried again later");
}

/// Incident ica2d10: the fast answers of full workers made them look idle and drew trials.
#[test]
fn a_trial_fits_the_queue_that_a_full_answer_tells_of() {
    let mut desk = Desk::new(settings(), 1);
    let (request, _) = desk.arrive(S, 0, 100 * MS);
    desk.end(S + 10 * MS, request, (WorkerId(0), 0), Outcome::Rejected);
    let tight = desk.arrive(S + 600 * MS, 0, 10 * MS);
    assert!(sends(&tight.1).is_empty(), "too little time for the queue");
    let patient = desk.arrive(S + 610 * MS, 0, 400 * MS);
    assert_eq!(sends(&patient.1), vec![(patient.0, WorkerId(0))]);
}

/// Incident ica2d10: every timer overtaken by an earlier one set another, until the CPU was gone.
#[test]
fn overtaken_timers_do_not_multiply() {
    let mut desk = Desk::new(settings(), 4);
    let mut timers: Vec<(Micros, u64)> = Vec::new();
    let mut count = 0;
    for tick in 0..4_000 {
        let now = S + tick * 5 * MS;
        let mut actions = Vec::new();
        let (due, later): (Vec<_>, Vec<_>) = timers.into_iter().partition(|t| t.0 <= now);
        timers = later;
        for (_, token) in due {
            actions.extend(desk.tell(now, Event::Timer(token)));
        }
        if tick % 10 == 0 {
            actions.extend(desk.arrive(now, 1, (600 - tick % 500) * MS).1);
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

/// A silent worker: its job goes elsewhere in time to be of use.
#[test]
fn a_safe_job_leaves_a_worker_that_shows_no_life() {
    let mut desk = Desk::new(settings(), 3);
    let (request, actions) = desk.arrive(S, 0, 200 * MS);
    let worker = sends(&actions)[0].1;
    let mut timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { delay, token } => Some((S + delay, *token)),
        _ => None,
    });
    while let Some((now, token)) = timer.take() {
        assert!(now < S + 700 * MS, "no withdrawal in time");
        let actions = desk.tell(now, Event::Timer(token));
        if actions.contains(&Action::Cancel { request, attempt: 0 }) {
            let again = sends(&desk.end(now + MS, request, (worker, 0), Outcome::Cancelled));
            assert_eq!(again.len(), 1);
            assert_ne!(again[0].1, worker);
            return;
        }
        timer = actions.iter().find_map(|a| match a {
            Action::SetTimer { delay, token } => Some((now + delay, *token)),
            _ => None,
        });
    }
    panic!("the request was forgotten");
}

#[test]
fn a_broken_watch_is_renewed_with_backoff() {
    let mut settings = settings();
    settings.polls_discovery = true;
    let mut desk = Desk::new(settings, 0);
    assert!(
        desk.tell(0, Event::WorkerList(WorkerListUpdate::Cached(vec![entry(0)])))
            .contains(&Action::WatchWorkerList)
    );
    let mut last = 0;
    for _ in 0..4 {
        let actions = desk.tell(S, Event::WorkerList(WorkerListUpdate::Failed));
        let Some(&Action::SetTimer { delay, token }) = actions.first() else { panic!("no timer") };
        assert!(delay > last);
        last = delay;
        assert!(desk.tell(S + delay, Event::Timer(token)).contains(&Action::WatchWorkerList));
    }
}

/// The later deployments at full size: a dispatcher that meets a worker once a minute knows nothing of it.
#[test]
fn a_dispatcher_among_many_keeps_to_few_workers_and_all_cover_the_fleet() {
    let mut used = vec![0u32; 200];
    for me in 0..100 {
        let mut mine = std::collections::BTreeSet::new();
        let zone = me as usize % 2;
        let mut desk = Desk::new(Settings { instance: me, zone, instances: 100, ..settings() }, 200);
        for i in 0..60 {
            mine.extend(desk.serve(S + i * S, 50 * MS + i * MS, |_| 1.0));
        }
        assert!(mine.len() <= 8, "{} workers for one job a second", mine.len());
        mine.iter().for_each(|w| used[w.0 as usize] += 1);
    }
    assert!(used.iter().filter(|&&n| n > 0).count() > 150, "the fleet is covered: {used:?}");
    assert!(used.iter().all(|&n| n <= 16), "and evenly: {used:?}");
}

#[test]
fn a_busy_dispatcher_uses_the_whole_fleet() {
    let mut desk = Desk::new(settings(), 20);
    let mut mine = std::collections::BTreeSet::new();
    for i in 0..2_000 {
        mine.extend(desk.serve(S + i * 5 * MS, 10 * MS + i % 100 * MS, |_| 1.0));
    }
    assert!(mine.len() >= 18, "{}", mine.len());
}

/// Recife-forms-later, clients that give up early: a first try with little time left was taken for a late
/// repeat, wanted before it came, and refused.
#[test]
fn a_hurried_first_try_is_not_taken_for_a_repeat() {
    let mut desk = Desk::new(settings(), 2);
    desk.serve(S, 100 * MS, |_| 1.0);
    let request = RequestId(90);
    let due = 3 * S + 300 * MS;
    let hurried = Arrival {
        request,
        class: 0,
        deadline: due,
        work_hint: Some(100 * MS),
        slots: 1.0,
        is_retry: false,
        affinity_key: 0,
        body_sendable: true,
    };
    let repeat = Arrival { request: RequestId(91), is_retry: true, ..hurried.clone() };
    assert_eq!(sends(&desk.tell(3 * S, Event::Arrival(hurried))).len(), 1);
    assert!(sends(&desk.tell(3 * S, Event::Arrival(repeat))).is_empty(), "its wanted time is long past");
}

/// Recife-forms, a drawn overload day: thirty jobs with tiny hints, far longer in truth, pushed a cold worker over.
#[test]
fn a_tiny_hint_does_not_hide_a_job_from_the_cold_budget() {
    let mut desk = Desk::new(settings(), 1);
    for i in 0..60 {
        desk.serve(S + i * S, 400 * MS, |_| 1.0);
    }
    let born = 70 * S;
    desk.tell(
        born,
        Event::WorkerList(WorkerListUpdate::Delta(vec![WorkerEntry { started_at: born, ..entry(0) }])),
    );
    let mut sent = 0;
    for i in 0..100 {
        let now = born + i * 10 * MS;
        let (request, actions) = desk.arrive(now, 0, 5 * MS);
        if let Some(&(_, worker)) = sends(&actions).iter().find(|s| s.0 == request) {
            sent += 1;
            desk.tell(now + MS, Event::AttemptStarted { request, attempt: 0, worker });
        }
    }
    assert!((1..=4).contains(&sent), "{sent} jobs");
}

/// Throttled classes on the later deployments: a worker full for one class was closed to all, and unsafe jobs,
/// lost by such an answer, tried it again within a second.
#[test]
fn a_full_answer_keeps_its_class_away_and_no_other() {
    let mut settings = settings();
    settings.limits.rejection_may_have_run = true;
    let mut desk = Desk::new(settings, 1);
    let (request, _) = desk.arrive(S, 1, 100 * MS);
    let answer = desk.end(S + 10 * MS, request, (WorkerId(0), 0), Outcome::Rejected);
    assert!(answer.contains(&Action::Fail { request }));
    let other = desk.arrive(2 * S, 0, 400 * MS);
    assert_eq!(sends(&other.1), vec![(other.0, WorkerId(0))], "another class is served");
    desk.end(2 * S + 400 * MS, other.0, (WorkerId(0), 0), Outcome::Ok);
    assert!(sends(&desk.arrive(4 * S, 1, 400 * MS).1).is_empty(), "this one stays away");
    assert_eq!(sends(&desk.arrive(8 * S, 1, 400 * MS).1).len(), 1, "and is tried again later");
}

#[test]
fn a_keyed_request_that_full_may_have_run_stays_in_its_zone_and_is_not_refused() {
    let mut settings = settings();
    settings.limits.rejection_may_have_run = true;
    let mut desk = Desk::new(settings, 4);
    let (request, actions) = desk.arrive(S, 2, 50 * MS);
    let first = sends(&actions)[0].1;
    let again = sends(&desk.end(S + 5 * MS, request, (first, 0), Outcome::Rejected));
    assert_eq!(again[0].1.0 % 2, first.0 % 2);
    let actions = desk.end(S + 10 * MS, request, (again[0].1, 1), Outcome::Rejected);
    assert!(!actions.iter().any(|a| matches!(a, Action::Reject { .. })), "{actions:?}");
}

/// Lost answers on the later deployments: the job ran, the worker served others since, and its time-out closed it.
#[test]
fn a_lost_answer_closes_no_living_worker() {
    let closed_by = |life: bool| {
        let mut desk = Desk::new(settings(), 1);
        let (request, _) = desk.arrive(S, 0, 50 * MS);
        desk.tell(S + MS, Event::AttemptStarted { request, attempt: 0, worker: WorkerId(0) });
        if life {
            assert!(desk.serve(3 * S, 50 * MS, |_| 1.0).is_some(), "another job is served meanwhile");
        }
        desk.end(6 * S, request, (WorkerId(0), 0), Outcome::Timeout);
        sends(&desk.arrive(6 * S + 10 * MS, 0, 50 * MS).1).is_empty()
    };
    assert!(!closed_by(true), "its answer was lost");
    assert!(closed_by(false), "a silent worker is closed");
}

/// A job that can still be in time goes before one that is late anyway, though that one has less time left
/// in all: else a backlog makes each job wait until it is late. One that could be in time only if nothing
/// errs, least of all its hint, would mostly be late as well.
#[test]
fn a_held_job_that_is_late_lets_those_in_time_go_first() {
    for freed in [900 * MS, 320 * MS] {
        let mut settings = settings();
        settings.classes[0].late_fraction = 0.5;
        let mut desk = Desk::new(settings, 1);
        let (busy, actions) = desk.arrive(0, 0, 100 * MS);
        let worker = sends(&actions).first().expect("it is sent").1;
        let (old, actions) = desk.arrive(MS, 0, 100 * MS);
        assert!(sends(&actions).is_empty(), "held behind the first");
        let (young, actions) = desk.arrive(freed - 10 * MS, 0, 100 * MS);
        assert!(sends(&actions).is_empty(), "held, too");
        let (took, outcome, report) = (100 * MS, Outcome::Ok, Vec::new());
        let end = Event::AttemptEnded {
            request: busy,
            attempt: 0,
            worker,
            outcome,
            elapsed: took,
            request_concluded: true,
            load_report: report,
        };
        let actions = desk.tell(freed, end);
        assert_eq!(sends(&actions).first().map(|s| s.0), Some(young), "not {old:?} at {freed}");
    }
}

/// What an execution has passed on and no one keeps can't be sent again, whatever its class: a plain failure where it
/// may have run, a refusal only where it never did.
#[test]
fn what_was_passed_on_has_no_further_attempt() {
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
            let mut desk = Desk::new(settings(), 3);
            let (request, actions) = desk.arrive(S, class, 50 * MS);
            let worker = sends(&actions)[0].1;
            assert_eq!(sends(&desk.tell(S + MS, Event::BodyConsumed(request))), []);
            let actions = desk.end(S + 2 * MS, request, (worker, 0), outcome);
            let answer = match never_ran {
                true => Action::Reject { request, retry_after: 2 * S },
                false => Action::Fail { request },
            };
            assert_eq!(actions, [answer], "class {class}, {outcome:?}");
        }
    }
}

/// A body that could not be kept where such are refused: the module words the refusal, and nothing is sent.
#[test]
fn what_cannot_be_sent_is_refused_at_once() {
    let mut desk = Desk::new(settings(), 3);
    for class in 0..5 {
        let request = RequestId(900 + class as u64);
        let (due, hint) = (6 * S, Some(50 * MS));
        let arrival = Arrival {
            request,
            class,
            deadline: due,
            work_hint: hint,
            slots: 1.0,
            is_retry: false,
            affinity_key: 0,
            body_sendable: false,
        };
        let actions = desk.tell(S, Event::Arrival(arrival));
        assert_eq!(actions, [Action::Reject { request, retry_after: 2 * S }], "class {class}");
    }
}

/// A long body takes its time to get to a worker: that is no queue there, and must not make the whole fleet look slow.
#[test]
fn the_time_that_a_long_body_takes_is_not_the_workers() {
    let mut desk = Desk::new(settings(), 4);
    for i in 1..60 {
        let now = i * S;
        let (request, actions) = desk.arrive(now, 0, 50 * MS);
        let worker = sends(&actions)[0].1;
        desk.tell(now + 600 * MS, Event::RequestSent { request, attempt: 0, worker });
        desk.tell(now + 601 * MS, Event::AttemptStarted { request, attempt: 0, worker });
        let (outcome, report, took) = (Outcome::Ok, Vec::new(), 50 * MS);
        let closed = true;
        let ended = Event::AttemptEnded {
            request,
            attempt: 0,
            worker,
            outcome,
            elapsed: took,
            request_concluded: closed,
            load_report: report,
        };
        desk.tell(now + 651 * MS, ended);
    }
    // A small job that has 500 ms is sent at once: had the waits been learned, none could be in time.
    let request = RequestId(9_000);
    let (now, hint) = (61 * S, Some(50 * MS));
    let due = now + 500 * MS;
    let arrival = Arrival {
        request,
        class: 0,
        deadline: due,
        work_hint: hint,
        slots: 1.0,
        is_retry: false,
        affinity_key: 0,
        body_sendable: true,
    };
    assert_eq!(sends(&desk.tell(now, Event::Arrival(arrival))).len(), 1);
}

/// Fleet days: boxes serve by priority, so a charge may wait seconds where an issue starts at once. One wait for both
/// kept issues away from a box that was free for them, or sent charges to one that starved them.
#[test]
fn a_wait_is_known_by_class() {
    let mut desk = Desk::new(settings(), 2);
    let speed = |w: WorkerId| if w.0 == 0 { 1.0 } else { 0.6 };
    let mut now = S;
    for _ in 0..40 {
        desk.serve(now, 50 * MS, speed);
        now += 200 * MS;
    }
    // The faster worker lets a job of class 1 wait for a second, then starts jobs of class 0 at once.
    let (request, actions) = desk.arrive(now, 1, 50 * MS);
    assert_eq!(sends(&actions)[0].1, WorkerId(0));
    desk.tell(now + S, Event::AttemptStarted { request, attempt: 0, worker: WorkerId(0) });
    now += S + 50 * MS;
    desk.end(now, request, (WorkerId(0), 0), Outcome::InvalidRequest);
    for _ in 0..8 {
        assert_eq!(desk.serve(now, 50 * MS, speed), Some(WorkerId(0)), "class 0 does not wait there");
        now += 100 * MS;
    }
    let (_, actions) = desk.arrive(now, 1, 50 * MS);
    assert_eq!(sends(&actions)[0].1, WorkerId(1), "it goes where its class does not wait");
}

/// What operators are shown is what the decisions go by: drained, failed and full workers are avoided, for as long as
/// jobs keep away from them.
#[test]
fn the_census_says_which_workers_are_avoided_and_why() {
    let mut desk = Desk::new(settings(), 6);
    let worker_counts = |desk: &Desk, now| desk.dispatcher.worker_counts(now);
    assert_eq!(worker_counts(&desk, 0), WorkerCounts { known: 6, ..WorkerCounts::default() });
    let terminating = WorkerEntry { lifecycle: Lifecycle::Draining, ..entry(0) };
    let gone = WorkerEntry { lifecycle: Lifecycle::Gone, ..entry(1) };
    desk.tell(S, Event::WorkerList(WorkerListUpdate::Delta(vec![terminating, gone])));
    assert_eq!(worker_counts(&desk, S), WorkerCounts { known: 5, draining: 1, ..WorkerCounts::default() });
    // One that does not come up is avoided until a trial shows that it is back.
    let (request, actions) = desk.arrive(S, 1, 40 * MS);
    let (_, worker) = sends(&actions)[0];
    desk.end(S + MS, request, (worker, 0), Outcome::ConnectFailed);
    let now = worker_counts(&desk, S + MS);
    assert_eq!((now.known, now.ejected, now.unavailable()), (5, 1, 2));
    for n in 0..40 {
        let (_, actions) = desk.arrive(S + 2 * MS + n, 1, 40 * MS);
        assert!(sends(&actions).iter().all(|s| s.1 != worker && s.1 != WorkerId(0)), "avoided");
    }
    // A fresh process in its place is none that has failed.
    let fresh = WorkerEntry { started_at: 2 * S, ..entry(worker.0) };
    desk.tell(2 * S, Event::WorkerList(WorkerListUpdate::Delta(vec![fresh])));
    assert_eq!(
        worker_counts(&desk, 2 * S),
        WorkerCounts { known: 5, draining: 1, ..WorkerCounts::default() }
    );
    // A full answer for one class leaves the others; for all of them it is a worker to stay away from.
    let mut desk = Desk::new(settings(), 1);
    for class in 0..5 {
        assert_eq!(worker_counts(&desk, S).unavailable(), 0, "class {class}");
        let (request, _) = desk.arrive(S, class, 40 * MS);
        desk.end(S, request, (WorkerId(0), 0), Outcome::Rejected);
    }
    assert_eq!(worker_counts(&desk, S), WorkerCounts { known: 1, saturated: 1, ..WorkerCounts::default() });
    assert_eq!(worker_counts(&desk, 60 * S).unavailable(), 0, "for a while");
}
