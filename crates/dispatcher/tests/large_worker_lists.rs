//! Guards against a fixed limit on the number of workers, worker kinds or dispatchers: 1025 workers of 1024
//! kinds, at the first and the last of 1024 dispatchers.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::time::Instant;

const WORKERS: u32 = 1025;
const KINDS: usize = 1024;
const DISPATCHERS: u32 = 1024;

/// List entry of a ready worker; the workers are spread over all kinds and 37 zones.
fn numbered_entry(number: u32) -> WorkerEntry {
    WorkerEntry {
        kind: number as usize % KINDS,
        zone: number as usize % 37,
        name_hash: u64::from(number + 1).wrapping_mul(0x9e37_79b9),
        ..entry(number)
    }
}

fn all_entries() -> Event {
    full_list((0..WORKERS).map(numbered_entry))
}

fn dispatcher(instance: u32) -> DispatcherHarness {
    let settings = Settings { instance, instances: DISPATCHERS, worker_kinds: KINDS, zone: 3, ..settings() };
    DispatcherHarness::without_workers(settings, u64::from(instance))
}

/// Sends a job with an affinity key, which is served after 100 ms; returns its worker.
fn serve_with_key(harness: &mut DispatcherHarness, now: Micros, key: u64) -> WorkerId {
    let request = RequestId(harness.next_request);
    let worker = harness.arrive_with_key(now, key).expect("an idle worker gets the job");
    harness.dispatch(now + MS, Event::AttemptStarted { request, attempt: 0, worker });
    harness.end_attempt(now + 100 * MS, request, (worker, 0), Outcome::Ok);
    worker
}

#[test]
fn complete_list_and_single_changes_of_1025_workers_are_both_accepted() {
    let (mut with_list, mut with_changes) = (dispatcher(0), dispatcher(DISPATCHERS - 1));
    with_list.dispatch(0, all_entries());
    let measured_from = Instant::now();
    for number in 0..WORKERS {
        with_changes.dispatch(0, list_delta([numbered_entry(number)]));
    }
    println!("mean time to apply a change of one entry: {:?}", measured_from.elapsed() / WORKERS);
    let mut now = SEC;
    let measured_from = Instant::now();
    for key in 1..400 {
        now += 200 * MS;
        serve_with_key(&mut with_list, now, key);
        serve_with_key(&mut with_changes, now, key);
    }
    println!("mean time to handle a job: {:?}", measured_from.elapsed() / 798);
    for harness in [&with_list, &with_changes] {
        assert_eq!(harness.dispatcher.worker_counts(now).known, u64::from(WORKERS));
    }
}

/// Guards against an affinity set that depends on the dispatcher, or on the position of a worker in a long
/// list.
#[test]
fn key_has_the_same_worker_among_1025_at_all_dispatchers() {
    let mut workers = Vec::new();
    for key in 1..60 {
        let [first, last] = [0, DISPATCHERS - 1].map(|instance| {
            let mut harness = dispatcher(instance);
            harness.dispatch(0, all_entries());
            serve_with_key(&mut harness, SEC, key).0
        });
        assert_eq!(first, last, "worker of key {key} at the first and the last dispatcher");
        workers.push(first);
    }
    workers.sort_unstable();
    workers.dedup();
    assert!(
        workers.len() > 40 && workers[0] < 100 && workers.last() > Some(&900),
        "workers with a key: {workers:?}"
    );
}
