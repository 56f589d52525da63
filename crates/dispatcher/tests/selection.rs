//! Which worker a request is sent to: size intervals, the dispatcher's subset, affinity sets and the waits of
//! each class.

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
            speeds.push(speed(worker.expect("an idle worker serves the job")));
        }
    }
    let mean = |speeds: &[f64]| speeds.iter().sum::<f64>() / speeds.len() as f64;
    let (small, large) = (mean(&speeds_of_small), mean(&speeds_of_large));
    assert!(large > small + 0.4, "mean speed of the workers: {large} for large jobs, {small} for small ones");
}

/// Guards against a subset that is too large for the load: if a dispatcher uses each worker about once a
/// minute, its estimates of them are outdated.
#[test]
fn each_of_many_dispatchers_uses_few_workers_and_all_together_cover_them() {
    let mut dispatchers_by_worker = vec![0u32; 200];
    for instance in 0..100 {
        let mut own_workers = BTreeSet::new();
        let zone = instance as usize % 2;
        let settings = Settings { instance, zone, instances: 100, ..settings() };
        let mut harness = DispatcherHarness::new(settings, 200);
        for job in 0..60 {
            own_workers.extend(harness.serve(SEC + job * SEC, 50 * MS + job * MS, |_| 1.0));
        }
        assert!(
            own_workers.len() <= 8,
            "dispatcher {instance} uses {} workers for one job a second",
            own_workers.len()
        );
        own_workers.iter().for_each(|worker| dispatchers_by_worker[worker.0 as usize] += 1);
    }
    assert!(
        dispatchers_by_worker.iter().filter(|&&count| count > 0).count() > 150,
        "at most 150 of 200 workers are used; dispatchers by worker: {dispatchers_by_worker:?}"
    );
    assert!(
        dispatchers_by_worker.iter().all(|&count| count <= 16),
        "a worker is used by more than 16 dispatchers: {dispatchers_by_worker:?}"
    );
}

#[test]
fn busy_dispatcher_uses_all_workers() {
    let mut harness = DispatcherHarness::new(settings(), 20);
    let mut used = BTreeSet::new();
    for job in 0..2_000 {
        used.extend(harness.serve(SEC + job * 5 * MS, 10 * MS + job % 100 * MS, |_| 1.0));
    }
    assert!(used.len() >= 18, "{} of 20 workers are used", used.len());
}

/// Guards against many workers that fetch the data of the same affinity key: dispatchers that do not
/// communicate must send a key to the same worker, and different keys to different workers.
#[test]
fn key_is_sent_to_the_same_worker_by_all_dispatchers() {
    let worker_of = |key: u64, seed: u64| {
        let mut harness = DispatcherHarness::without_workers(settings(), seed);
        harness.dispatch(0, full_list((0..12).map(entry)));
        harness.arrive_with_key(SEC, key).expect("an idle worker gets the job")
    };
    let workers: Vec<WorkerId> = (1..60).map(|key| worker_of(key, 1)).collect();
    let has_same_worker_elsewhere = |key, worker| worker_of(key, 2) == worker && worker_of(key, 3) == worker;
    assert!((1..60).zip(&workers).all(|(key, &worker)| has_same_worker_elsewhere(key, worker)));
    // The subset of a dispatcher has eight workers at this rate; affinity sets include the others as well.
    let used = (0..12).filter(|&number| workers.contains(&WorkerId(number))).count();
    assert_eq!(used, 12, "some of the 12 workers have no key; worker by key: {workers:?}");
}

/// The worker nearest to a key may be of a kind that does not run the request's class: then a worker of the
/// kind that does must get the request.
#[test]
fn affinity_worker_is_of_the_kind_that_runs_the_class() {
    for key in 1..40 {
        let mut settings = settings();
        settings.classes[0].worker_kind = Some(1);
        let mut harness = DispatcherHarness::without_workers(settings, 1);
        let entry = |number: u32| WorkerEntry { kind: number as usize % 2, ..entry(number) };
        harness.dispatch(0, full_list((0..12).map(entry)));
        let worker = harness.arrive_with_key(SEC, key).expect("an idle worker gets the job");
        assert_eq!(worker.0 % 2, 1, "key {key} was sent to {worker:?}, whose kind does not run the class");
    }
}

/// If the worker that has the data of a key is busy, a job with this key waits for it: for another worker to
/// fetch the data would cost more.
#[test]
fn job_waits_for_the_busy_worker_that_has_its_key() {
    let mut harness = DispatcherHarness::new(settings(), 2);
    let busy = harness.arrive_with_key(SEC, 7).expect("an idle worker gets the job");
    let other = WorkerId(1 - busy.0);
    let mut now = SEC;
    // Send jobs with other keys until the other worker, too, has a job that has not started. No further job
    // would start immediately then.
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
    assert_eq!(
        harness.arrive_with_key(now, 7),
        None,
        "the job waits, although the other worker has started its job"
    );
    let actions = harness.end_attempt(now + 50 * MS, RequestId(0), (busy, 0), Outcome::Ok);
    let request = RequestId(harness.next_request - 1);
    assert_eq!(sends(&actions), [SentRequest { request, worker: busy }]);
}

/// Guards against a single measured wait for all classes. Workers may start jobs by priority, so that one
/// class waits for seconds while another starts immediately; a single wait would keep jobs of the second
/// class away from a worker that would start them.
#[test]
fn wait_of_one_class_does_not_count_for_another() {
    let mut harness = DispatcherHarness::new(settings(), 2);
    let speed = |worker: WorkerId| if worker.0 == 0 { 1.0 } else { 0.6 };
    let mut now = SEC;
    for _ in 0..40 {
        harness.serve(now, 50 * MS, speed);
        now += 200 * MS;
    }
    // Worker 0, the faster one, starts a job of class 1 after 1 s and then jobs of class 0 immediately.
    let (request, actions) = harness.arrive(now, 1, 50 * MS);
    assert_eq!(sends(&actions)[0].worker, WorkerId(0));
    harness.dispatch(now + SEC, Event::AttemptStarted { request, attempt: 0, worker: WorkerId(0) });
    now += SEC + 50 * MS;
    harness.end_attempt(now, request, (WorkerId(0), 0), Outcome::InvalidRequest);
    for _ in 0..8 {
        assert_eq!(
            harness.serve(now, 50 * MS, speed),
            Some(WorkerId(0)),
            "worker of a job of class 0, which does not wait at worker 0"
        );
        now += 100 * MS;
    }
    let (_, actions) = harness.arrive(now, 1, 50 * MS);
    assert_eq!(
        sends(&actions)[0].worker,
        WorkerId(1),
        "worker of a job of class 1, which has waited at worker 0"
    );
}
