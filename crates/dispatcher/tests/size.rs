//! More workers and dispatchers than any list may be bounded to.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::time::Instant;

const WORKERS: u32 = 1025;
const KINDS: usize = 1024;

fn of(n: u32) -> WorkerEntry {
    let (kind, zone) = (n as usize % KINDS, n as usize % 37);
    WorkerEntry { kind, zone, name_hash: u64::from(n + 1).wrapping_mul(0x9e37_79b9), ..entry(n) }
}

fn node(me: u32) -> Desk {
    let settings = Settings { instance: me, instances: 1024, worker_kinds: KINDS, zone: 3, ..settings() };
    Desk { dispatcher: Dispatcher::new(settings, u64::from(me)), next: 0 }
}

/// One job with a key, served after 100 ms; gives its worker.
fn job(desk: &mut Desk, now: Micros, key: u64) -> WorkerId {
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
    let worker = sends(&desk.tell(now, Event::Arrival(arrival)))[0].1;
    desk.tell(now + MS, Event::AttemptStarted { request, attempt: 0, worker });
    desk.end(now + 100 * MS, request, (worker, 0), Outcome::Ok);
    worker
}

#[test]
fn a_dispatcher_takes_1025_workers_whole_and_as_changes() {
    let (mut whole, mut changes) = (node(0), node(1023));
    whole.tell(0, Event::WorkerList(WorkerListUpdate::Full((0..WORKERS).map(of).collect())));
    let begun = Instant::now();
    for n in 0..WORKERS {
        changes.tell(0, Event::WorkerList(WorkerListUpdate::Delta(vec![of(n)])));
    }
    println!("a change of the list: {:?}", begun.elapsed() / WORKERS);
    let mut now = S;
    let begun = Instant::now();
    for key in 1..400 {
        now += 200 * MS;
        job(&mut whole, now, key);
        job(&mut changes, now, key);
    }
    println!("a job: {:?}", begun.elapsed() / 798);
    for desk in [&whole, &changes] {
        assert_eq!(desk.dispatcher.worker_counts(now).known, u64::from(WORKERS));
    }
}

/// Wherever in the list it stands, and whoever asks first.
#[test]
fn a_key_has_one_home_among_1025_workers() {
    let mut homes = Vec::new();
    for key in 1..60 {
        let [a, b] = [0, 1023].map(|me| {
            let mut desk = node(me);
            desk.tell(0, Event::WorkerList(WorkerListUpdate::Full((0..WORKERS).map(of).collect())));
            job(&mut desk, S, key).0
        });
        assert_eq!(a, b, "key {key}");
        homes.push(a);
    }
    homes.sort_unstable();
    homes.dedup();
    assert!(homes.len() > 40 && homes[0] < 100 && homes.last() > Some(&900), "{homes:?}");
}
