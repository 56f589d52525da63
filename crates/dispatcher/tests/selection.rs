//! Which worker a request is sent to: size lanes, the subset in use, and affinity keys.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::collections::BTreeSet;

#[test]
fn larger_jobs_go_to_faster_workers() {
    let mut harness = DispatcherHarness::new(settings(), 6);
    let speed = |worker: WorkerId| 0.5 + 0.4 * f64::from(worker.0);
    let (mut speeds_of_small, mut speeds_of_large) = (Vec::new(), Vec::new());
    let mut now = SEC;
    for job in 0..600 {
        let is_small = job % 2 == 0;
        let work_hint = if is_small { 20 * MS } else { 400 * MS };
        let worker = harness.serve(now, work_hint, speed);
        now += SEC;
        if job >= 200 {
            let speeds = if is_small { &mut speeds_of_small } else { &mut speeds_of_large };
            speeds.push(speed(worker.expect("idle workers serve")));
        }
    }
    let mean = |speeds: &[f64]| speeds.iter().sum::<f64>() / speeds.len() as f64;
    let (small, large) = (mean(&speeds_of_small), mean(&speeds_of_large));
    assert!(large > small + 0.4, "large {large} small {small}");
}

/// A dispatcher that meets a worker once a minute knows nothing of it.
#[test]
fn each_of_many_dispatchers_uses_few_workers_and_all_together_cover_them() {
    let mut used = vec![0u32; 200];
    for instance in 0..100 {
        let mut own = BTreeSet::new();
        let zone = instance as usize % 2;
        let settings = Settings { instance, zone, instances: 100, ..settings() };
        let mut harness = DispatcherHarness::new(settings, 200);
        for job in 0..60 {
            own.extend(harness.serve(SEC + job * SEC, 50 * MS + job * MS, |_| 1.0));
        }
        assert!(own.len() <= 8, "{} workers for one job a second", own.len());
        own.iter().for_each(|worker| used[worker.0 as usize] += 1);
    }
    assert!(used.iter().filter(|&&count| count > 0).count() > 150, "most workers are used: {used:?}");
    assert!(used.iter().all(|&count| count <= 16), "and evenly: {used:?}");
}

#[test]
fn busy_dispatcher_uses_all_workers() {
    let mut harness = DispatcherHarness::new(settings(), 20);
    let mut used = BTreeSet::new();
    for job in 0..2_000 {
        used.extend(harness.serve(SEC + job * 5 * MS, 10 * MS + job % 100 * MS, |_| 1.0));
    }
    assert!(used.len() >= 18, "{}", used.len());
}

/// Guards against workers that each fetch what every job needs: dispatchers that know nothing of each other
/// send one key to one worker, and another key elsewhere.
#[test]
fn key_is_sent_to_the_same_worker_by_all_dispatchers() {
    let worker_of = |key: u64, seed: u64| {
        let mut harness = DispatcherHarness::without_workers(settings(), seed);
        harness.dispatch(0, full_list((0..12).map(entry)));
        harness.arrive_with_key(SEC, key).expect("idle workers")
    };
    let workers: Vec<WorkerId> = (1..60).map(|key| worker_of(key, 1)).collect();
    let same_elsewhere = |key, worker| worker_of(key, 2) == worker && worker_of(key, 3) == worker;
    assert!((1..60).zip(&workers).all(|(key, &worker)| same_elsewhere(key, worker)));
    // Also those that are not among the eight that a dispatcher works with at this rate.
    let used = (0..12).filter(|&number| workers.contains(&WorkerId(number))).count();
    assert_eq!(used, 12, "each has a key: {workers:?}");
}

/// A key's nearest worker may be of a kind that does not run the class: then its worker is among those that
/// do.
#[test]
fn affinity_worker_is_of_the_kind_that_runs_the_class() {
    for key in 1..40 {
        let mut settings = settings();
        settings.classes[0].worker_kind = Some(1);
        let mut harness = DispatcherHarness::without_workers(settings, 1);
        let entry = |number: u32| WorkerEntry { kind: number as usize % 2, ..entry(number) };
        harness.dispatch(0, full_list((0..12).map(entry)));
        let worker = harness.arrive_with_key(SEC, key).expect("idle workers");
        assert_eq!(worker.0 % 2, 1, "key {key} went to {worker:?}");
    }
}

/// Where the worker of a key is busy, a job waits for it rather than have another worker fetch what it
/// needs.
#[test]
fn job_waits_for_the_busy_worker_that_has_its_key() {
    let mut harness = DispatcherHarness::new(settings(), 2);
    let busy = harness.arrive_with_key(SEC, 7).expect("idle workers");
    let other = WorkerId(1 - busy.0);
    let mut now = SEC;
    // Both workers have work that has not started, and no job could start at once.
    for key in 8.. {
        now += MS;
        if harness.arrive_with_key(now, key) == Some(other) {
            break;
        }
    }
    now += 30 * MS;
    harness.dispatch(
        now,
        Event::AttemptStarted { request: RequestId(harness.next_request - 1), attempt: 0, worker: other },
    );
    assert_eq!(harness.arrive_with_key(now, 7), None, "it waits, though the other worker has begun its job");
    let actions = harness.end_attempt(now + 50 * MS, RequestId(0), (busy, 0), Outcome::Ok);
    let request = RequestId(harness.next_request - 1);
    assert_eq!(sends(&actions), [SentRequest { request, worker: busy }]);
}

/// Workers may serve by priority: one class waits for seconds where another starts at once. A single wait
/// for both would keep jobs away from a worker that is free for them.
#[test]
fn wait_of_one_class_does_not_count_for_another() {
    let mut harness = DispatcherHarness::new(settings(), 2);
    let speed = |worker: WorkerId| if worker.0 == 0 { 1.0 } else { 0.6 };
    let mut now = SEC;
    for _ in 0..40 {
        harness.serve(now, 50 * MS, speed);
        now += 200 * MS;
    }
    // The faster worker lets a job of class 1 wait for a second, then starts jobs of class 0 at once.
    let (request, actions) = harness.arrive(now, 1, 50 * MS);
    assert_eq!(sends(&actions)[0].worker, WorkerId(0));
    harness.dispatch(now + SEC, Event::AttemptStarted { request, attempt: 0, worker: WorkerId(0) });
    now += SEC + 50 * MS;
    harness.end_attempt(now, request, (WorkerId(0), 0), Outcome::InvalidRequest);
    for _ in 0..8 {
        assert_eq!(harness.serve(now, 50 * MS, speed), Some(WorkerId(0)), "class 0 does not wait there");
        now += 100 * MS;
    }
    let (_, actions) = harness.arrive(now, 1, 50 * MS);
    assert_eq!(sends(&actions)[0].worker, WorkerId(1), "it goes where its class does not wait");
}
