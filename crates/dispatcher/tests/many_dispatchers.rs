//! Many dispatchers that share nothing, on a simulated clock, with the workers in common.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const NODES: usize = 100;
const WORKERS: u32 = 60;
/// What a worker can do when warm, in standard cores; each of its slots is one.
const CORES: f64 = 4.0;
const MEAN: f64 = 0.35;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Started(RequestId, u32, WorkerId),
    Done(RequestId, u32, WorkerId, Micros),
    Timer(u64),
}

/// All of them, and what was sent to each worker.
struct Fleet {
    nodes: Vec<DispatcherHarness>,
    due: BinaryHeap<Reverse<(Micros, usize, Due)>>,
    rng: fastrand::Rng,
    born: BTreeMap<u32, Micros>,
    free: Vec<[Micros; CORES as usize]>,
    sent: Vec<(Micros, u32, f64)>,
}

impl Fleet {
    fn new() -> Fleet {
        let nodes = (0..NODES).map(|me| {
            let rules = SlowStartRules {
                initial_capacity: 0.12,
                duration: 24 * SEC,
                overload_window: SEC,
                ..settings().slow_start
            };
            let settings = Settings {
                instance: me as u32,
                instances: NODES as u32,
                zone: me % 3,
                slow_start: rules,
                ..settings()
            };
            DispatcherHarness::without_workers(settings, 1000 + me as u64)
        });
        let mut fleet = Fleet {
            nodes: nodes.collect(),
            due: BinaryHeap::new(),
            rng: fastrand::Rng::with_seed(3),
            born: BTreeMap::new(),
            free: vec![[0; CORES as usize]; WORKERS as usize],
            sent: Vec::new(),
        };
        let list: Vec<WorkerEntry> = (0..WORKERS).map(|n| fleet.entry(n)).collect();
        for node in 0..NODES {
            fleet.dispatch(0, node, Event::WorkerList(WorkerListUpdate::Full(list.clone())));
            let first = fleet.rng.i64(0..200 * MS);
            fleet.due.push(Reverse((first, node, Due::Arrival)));
        }
        fleet
    }

    fn entry(&self, n: u32) -> WorkerEntry {
        let born = self.born.get(&n).copied().unwrap_or(0);
        WorkerEntry { started_at: born, weight: CORES, zone: (n % 3) as usize, ..entry(n) }
    }

    /// A worker starts again, and all are told within 0.1 s.
    fn restart(&mut self, now: Micros, n: u32) {
        self.born.insert(n, now);
        self.free[n as usize].fill(now);
        for node in 0..NODES {
            self.dispatch(now, node, list_delta([self.entry(n)]));
        }
    }

    fn warmth(&self, now: Micros, n: u32) -> f64 {
        let age = self.born.get(&n).map_or(Micros::MAX, |born| now - born);
        (0.12 + 0.88 * age as f64 / (24 * SEC) as f64).min(1.0)
    }

    fn dispatch(&mut self, now: Micros, node: usize, event: Event) {
        for action in self.nodes[node].dispatch(now, event) {
            match action {
                Action::Send { request, worker, .. } => {
                    let size = self.size(node, request);
                    self.sent.push((now, worker.0, size));
                    let slots = &self.free[worker.0 as usize];
                    let slot = (0..slots.len()).min_by_key(|&s| slots[s]).expect("it has slots");
                    let start = slots[slot].max(now + 2 * MS);
                    let end = start + (size * 1e6 / self.warmth(start, worker.0)) as Micros;
                    self.free[worker.0 as usize][slot] = end;
                    self.due.push(Reverse((start, node, Due::Started(request, 0, worker))));
                    self.due.push(Reverse((end, node, Due::Done(request, 0, worker, end - now))));
                }
                Action::SetTimer { delay, token } => {
                    self.due.push(Reverse((now + delay, node, Due::Timer(token))))
                }
                _ => {}
            }
        }
    }

    /// The size of a node's job in seconds: exponential, drawn from its number.
    fn size(&self, node: usize, request: RequestId) -> f64 {
        let draw = fastrand::Rng::with_seed(request.0 << 8 | node as u64).f64();
        -MEAN * (1.0 - draw).ln().max(-4.0)
    }

    /// Goes on until then; each node takes a job every 0.25 s or so.
    fn run(&mut self, until: Micros) {
        while let Some(Reverse((now, node, due))) = self.due.pop() {
            if now >= until {
                self.due.push(Reverse((now, node, due)));
                return;
            }
            match due {
                Due::Arrival => {
                    let request = RequestId(self.nodes[node].next_request);
                    self.nodes[node].next_request += 1;
                    let hint = Some((self.size(node, request) * 1e6) as Micros);
                    let (class, width, resent, key, sendable) = (1, 1.0, false, 0, true);
                    let arrival = Arrival {
                        request,
                        class,
                        deadline: now + 5 * SEC,
                        work_hint: hint,
                        slots: width,
                        is_retry: resent,
                        affinity_key: key,
                        body_sendable: sendable,
                    };
                    self.dispatch(now, node, Event::Arrival(arrival));
                    let gap = self.rng.i64(MS..500 * MS);
                    self.due.push(Reverse((now + gap, node, Due::Arrival)));
                }
                Due::Started(request, attempt, worker) => {
                    self.dispatch(now, node, Event::AttemptStarted { request, attempt, worker })
                }
                Due::Done(request, attempt, worker, took) => {
                    let (outcome, closed, report) = (Outcome::Ok, true, Vec::new());
                    self.dispatch(
                        now,
                        node,
                        Event::AttemptEnded {
                            request,
                            attempt,
                            worker,
                            outcome,
                            elapsed: took,
                            request_concluded: closed,
                            load_report: report,
                        },
                    )
                }
                Due::Timer(token) => self.dispatch(now, node, Event::Timer(token)),
            }
        }
    }

    /// Work sent to these workers within a time.
    fn work(&self, workers: impl Fn(u32) -> bool, from: Micros, to: Micros) -> f64 {
        let within = |s: &&(Micros, u32, f64)| workers(s.1) && s.0 >= from && s.0 < to;
        self.sent.iter().filter(within).map(|s| s.2).sum()
    }
}

/// Each node's part of a cold worker's room is less than a job: none may take that for a reason to send it
/// nothing, and not all may send it the one job.
#[test]
fn a_hundred_nodes_share_a_cold_worker_without_a_word() {
    for cold in [vec![7], (0..WORKERS).filter(|n| n % 5 < 3).collect::<Vec<_>>()] {
        let mut fleet = Fleet::new();
        fleet.run(8 * SEC);
        for (i, &n) in cold.iter().enumerate() {
            let at = 8 * SEC + i as Micros * 200 * MS;
            fleet.run(at);
            fleet.restart(at, n);
        }
        let last = 8 * SEC + cold.len() as Micros * 200 * MS;
        fleet.run(last + 10 * SEC);
        let (mut most, mut room) = (0.0_f64, 0.0);
        for &n in &cold {
            let born = fleet.born[&n];
            for at in (born..last + 9 * SEC).step_by(100_000) {
                let share = fleet.work(|w| w == n, at, at + SEC) / (CORES * fleet.warmth(at, n));
                most = most.max(share);
            }
            room +=
                (born + 4 * SEC..last + 9 * SEC).step_by(1_000_000).map(|t| fleet.warmth(t, n)).sum::<f64>();
        }
        let used: f64 =
            cold.iter().map(|&n| fleet.work(|w| w == n, fleet.born[&n] + 4 * SEC, last + 9 * SEC)).sum();
        assert!(most < 3.0, "a window of 1 s held {most} times what a worker could do");
        // One cold worker is the slowest place of an idle fleet, and is rightly left alone at first.
        let least = if cold.len() > 1 { 0.3 } else { 0.0 };
        assert!(used >= least * room * CORES, "{used} of {} s of room were used", room * CORES);
        println!("{} cold: at most {most:.2} times, {used:.0} s of {:.0} s used", cold.len(), room * CORES);
    }
}

/// Nodes see few jobs each, so what one has fetched for a key is of use only if the others know where it is
/// without a word: jobs of a key must meet in few places of a zone, and stay in the zone while it has room.
#[test]
fn a_hundred_nodes_send_a_key_to_few_places_of_their_zone() {
    let mut places: BTreeMap<(usize, u64), BTreeMap<u32, u32>> = BTreeMap::new();
    let (mut crossed, mut all) = (0, 0);
    for me in 0..NODES {
        let zone = me % 3;
        let settings = Settings { instance: me as u32, instances: NODES as u32, zone, ..settings() };
        let mut harness = DispatcherHarness::without_workers(settings, me as u64);
        let of = |n: u32| WorkerEntry { zone: (n % 3) as usize, name_hash: u64::from(n) * 7919, ..entry(n) };
        harness.dispatch(0, full_list((0..WORKERS).map(of)));
        for key in 1..40 {
            let (request, now) = (RequestId(key), key as Micros * SEC);
            let (due, hint) = (now + 5 * SEC, Some(300 * MS));
            let arrival = Arrival {
                request,
                class: 1,
                deadline: due,
                work_hint: hint,
                slots: 1.0,
                is_retry: false,
                affinity_key: key,
                body_sendable: true,
            };
            let sent = sends(&harness.dispatch(now, Event::Arrival(arrival)));
            let worker = sent[0].1;
            *places.entry((zone, key)).or_default().entry(worker.0).or_default() += 1;
            crossed += usize::from(worker.0 as usize % 3 != zone);
            all += 1;
            let (attempt, outcome, took, report) = (0, Outcome::Ok, 200 * MS, Vec::new());
            harness.dispatch(now + MS, Event::AttemptStarted { request, attempt, worker });
            let done = Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome,
                elapsed: took,
                request_concluded: true,
                load_report: report,
            };
            harness.dispatch(now + took, done);
        }
    }
    let used: usize = places.values().map(|p| p.len()).sum();
    // A key that no one asks for twice has one home, which is in another zone for some.
    assert!(used <= 2 * places.len(), "{used} places for {} keys of a zone", places.len());
    assert!(crossed * 3 < all, "{crossed} of {all} jobs crossed zones");
}

/// An upgrade: two processes stand for one node, each gets half of its requests and knows nothing of the other. A
/// worker that is cold meanwhile gets work from them, and under three times what it can do at present.
#[test]
fn two_modules_of_one_node_keep_a_cold_worker_within_its_room() {
    const COLD: Micros = 10 * SEC;
    let rules = SlowStartRules {
        initial_capacity: 0.2,
        duration: COLD,
        overload_factor: 3.0,
        overload_window: 2 * SEC,
    };
    let node = |seed| {
        let settings = Settings { instances: 1, slow_start: rules.clone(), ..settings() };
        DispatcherHarness { dispatcher: Dispatcher::new(settings, seed), next_request: seed << 32 }
    };
    let mut nodes = [node(1), node(2)];
    let list = |born| -> Vec<WorkerEntry> {
        (0..4)
            .map(|n| WorkerEntry { started_at: if n == 0 { born } else { 0 }, weight: 4.0, ..entry(n) })
            .collect()
    };
    // Each worker does four jobs at once; jobs come so that warm ones are nine tenths busy.
    let (size, gap) = (200 * MS, 200 * MS / 14);
    let (mut rng, mut sent, mut due) = (fastrand::Rng::with_seed(5), Vec::new(), BTreeMap::new());
    let mut free = [[0; 4]; 4];
    let warmth = |now: Micros| (0.2 + 0.8 * (now - 5 * SEC) as f64 / COLD as f64).clamp(0.2, 1.0);
    nodes.iter_mut().for_each(|n| _ = n.dispatch(0, Event::WorkerList(WorkerListUpdate::Full(list(0)))));
    let mut number = 0_u64;
    for step in 0..(15 * SEC / gap) {
        let now = step * gap;
        if now >= 5 * SEC && now - gap < 5 * SEC {
            free[0].fill(now);
            nodes
                .iter_mut()
                .for_each(|n| _ = n.dispatch(now, Event::WorkerList(WorkerListUpdate::Delta(list(5 * SEC)))));
        }
        let mut actions: Vec<(usize, Micros, Vec<Action>)> = Vec::new();
        let later = due.split_off(&(now + 1, 0));
        for ((at, _), (which, event)) in std::mem::replace(&mut due, later) {
            let node: &mut DispatcherHarness = &mut nodes[which];
            actions.push((which, at, node.dispatch(at, event)));
        }
        let which = rng.usize(0..2);
        let hint = rng.i64(size / 2..size * 3 / 2);
        actions.push((which, now, nodes[which].arrive(now, 0, hint).1));
        for (which, at, actions) in actions {
            for action in actions {
                number += 1;
                match action {
                    Action::Send { request, worker, .. } => {
                        let w = worker.0 as usize;
                        let speed = if w == 0 && at >= 5 * SEC { warmth(at) } else { 1.0 };
                        if w == 0 && at >= 5 * SEC {
                            sent.push((at, size as f64));
                        }
                        let slot = (0..4).min_by_key(|&i| free[w][i]).unwrap_or(0);
                        let start = free[w][slot].max(at) + MS;
                        let end = start + (size as f64 / speed) as Micros;
                        free[w][slot] = end;
                        let (attempt, outcome) = (0, Outcome::Ok);
                        due.insert(
                            (start, number),
                            (which, Event::AttemptStarted { request, attempt, worker }),
                        );
                        let (took, closed, report) = (end - at, true, Vec::new());
                        let done = Event::AttemptEnded {
                            request,
                            attempt,
                            worker,
                            outcome,
                            elapsed: took,
                            request_concluded: closed,
                            load_report: report,
                        };
                        due.insert((end, number), (which, done));
                    }
                    Action::SetTimer { delay, token } => {
                        due.insert((at + delay, number), (which, Event::Timer(token)));
                    }
                    _ => {}
                }
            }
        }
    }
    let mut most: f64 = 0.0;
    for from in (5 * SEC..13 * SEC).step_by(50 * MS as usize) {
        let in_window =
            sent.iter().filter(|s| (from..from + 2 * SEC).contains(&s.0)).map(|s| s.1).sum::<f64>();
        // What it could do in the window, at its four slots, by the least warmth in it.
        most = most.max(in_window / (4.0 * warmth(from) * 2.0 * SEC as f64));
    }
    assert!(most < 3.0, "{most:.2} times what it could do");
    let early = sent.iter().filter(|s| s.0 < 8 * SEC).count();
    assert!(early >= 10, "{early} jobs in its first 3 s");
    println!(
        "at most {most:.2} times what it could do; {early} jobs in its first 3 s, {} in all",
        sent.len()
    );
}
