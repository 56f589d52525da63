//! Charges, which are of the lower priority and may not be repeated, among heavier jobs that fill the workers: a
//! hundred dispatchers on a simulated clock, workers that start what waits by priority and fetch what a key needs.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

const NODES: usize = 100;
const WORKERS: u32 = 60;
const SLOTS: usize = 4;
/// The keys that a worker keeps, and the time that it fetches another for while the job holds its slot.
const KEPT: usize = 6;
const FETCH: Micros = 300 * MS;
const KEYS: usize = 300;
const CHARGE: usize = 1;
const HEAVY: usize = 2;
const LIMIT: Micros = 5 * SEC;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    node: usize,
    /// Counts the starts of the node: what a killed one had out is nobody's.
    life: u32,
    request: RequestId,
    class: usize,
    size: Micros,
    affinity_key: u64,
    born: Micros,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Done(u32, Job, Micros),
    Late(u32, Job),
    Timer(usize, u32, u64),
}

#[derive(Default)]
struct Worker {
    /// When it started, 0 for long ago.
    born: Micros,
    busy: usize,
    waiting: Vec<(Job, Micros)>,
    keys: VecDeque<u64>,
    /// It takes jobs and says nothing.
    silent: bool,
    /// Jobs that it began.
    begun: u32,
}

struct World {
    nodes: Vec<(DispatcherHarness, u32, bool)>,
    workers: Vec<Worker>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    open: BTreeMap<(usize, RequestId), Job>,
    /// Charges that were sent: they may have run.
    charged: BTreeSet<(usize, u32, RequestId)>,
    rng: fastrand::Rng,
    number: u64,
    gap: Micros,
    charges: f64,
    /// For each class and second of arrival: the worth asked for and the worth served.
    worth: BTreeMap<(usize, Micros), (f64, f64)>,
}

fn of(n: u32) -> WorkerEntry {
    WorkerEntry { zone: 0, name_hash: u64::from(n + 1).wrapping_mul(0x9e37_79b9), weight: 4.0, ..entry(n) }
}

/// The share of its pace that a worker has which started then.
fn warmth(now: Micros, born: Micros) -> f64 {
    let age = (now - born) as f64 / (24 * SEC) as f64;
    if born == 0 { 1.0 } else { (0.2 + 0.8 * age).min(1.0) }
}

/// What the nodes are told of the classes, and what the worth is counted by.
fn classes() -> Vec<Class> {
    let mut classes = settings().classes;
    classes[CHARGE] = Class {
        latency_objective: 300 * MS,
        objective_stretch: 2.0,
        late_fraction: 0.5,
        ..class(Idempotency::NotIdempotent)
    };
    classes[HEAVY] = Class { latency_objective: 500 * MS, late_fraction: 0.2, ..class(keyed(Scope::Cell)) };
    classes
}

fn node(me: usize, life: u32) -> DispatcherHarness {
    let limits = Limits { cancel: false, ..settings().limits };
    let rules = SlowStartRules {
        initial_capacity: 0.2,
        duration: 24 * SEC,
        overload_window: SEC,
        ..settings().slow_start
    };
    let settings = Settings {
        slow_start: rules,
        instance: me as u32,
        instances: NODES as u32,
        zone: 0,
        classes: classes(),
        limits,
        ..settings()
    };
    let seed = 100 * u64::from(life) + me as u64;
    let mut harness = DispatcherHarness::without_workers(settings, seed);
    harness.dispatch(0, full_list((0..WORKERS).map(of)));
    harness
}

impl World {
    /// A request comes every `gap`; this share of them are charges.
    fn new(gap: Micros, charges: f64) -> World {
        let mut world = World {
            nodes: (0..NODES).map(|me| (node(me, 0), 0, true)).collect(),
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            due: BinaryHeap::new(),
            open: BTreeMap::new(),
            charged: BTreeSet::new(),
            rng: fastrand::Rng::with_seed(11),
            number: 0,
            gap,
            charges,
            worth: BTreeMap::new(),
        };
        world.at(0, Due::Arrival);
        world
    }

    fn at(&mut self, when: Micros, due: Due) {
        self.number += 1;
        self.due.push(Reverse((when, self.number, due)));
    }

    fn dispatch(&mut self, now: Micros, node: usize, event: Event) {
        let life = self.nodes[node].1;
        for action in self.nodes[node].0.dispatch(now, event) {
            match action {
                Action::Send { request, worker, .. } => {
                    let job = self.open[&(node, request)];
                    let first = job.class != CHARGE || self.charged.insert((node, life, request));
                    assert!(first, "{request:?} of node {node} may have run, and was sent again");
                    self.workers[worker.0 as usize].waiting.push((job, now));
                    self.at(job.born + LIMIT, Due::Late(worker.0, job));
                    self.start(now, worker.0);
                }
                Action::SetTimer { delay, token } => self.at(now + delay, Due::Timer(node, life, token)),
                _ => {}
            }
        }
    }

    /// A worker fills its free slots: the heavy class first, within a class in order.
    fn start(&mut self, now: Micros, n: u32) {
        while self.workers[n as usize].busy < SLOTS && !self.workers[n as usize].silent {
            let w = &mut self.workers[n as usize];
            let Some(i) = (0..w.waiting.len()).min_by_key(|&i| (Reverse(w.waiting[i].0.class), i)) else {
                return;
            };
            let (job, sent) = w.waiting.remove(i);
            w.busy += 1;
            w.begun += 1;
            let kept = w.keys.iter().position(|&k| k == job.affinity_key);
            let fetch = if kept.is_some() { 0 } else { FETCH };
            kept.map(|i| w.keys.remove(i));
            w.keys.push_back(job.affinity_key);
            if w.keys.len() > KEPT {
                w.keys.pop_front();
            }
            let run = (job.size as f64 / warmth(now, self.workers[n as usize].born)) as Micros;
            self.at(now + fetch + run, Due::Done(n, job, sent));
            if self.nodes[job.node].1 == job.life {
                let (request, attempt, worker) = (job.request, 0, WorkerId(n));
                self.dispatch(now, job.node, Event::AttemptStarted { request, attempt, worker });
            }
        }
    }

    fn arrive(&mut self, now: Micros) {
        let up: Vec<usize> = (0..NODES).filter(|&n| self.nodes[n].2).collect();
        let node = up[self.rng.usize(..up.len())];
        let class = if self.rng.f64() < self.charges { CHARGE } else { HEAVY };
        let mean = if class == CHARGE { 250.0 } else { 500.0 };
        let size = ((-mean * (1.0 - self.rng.f64()).ln()).clamp(20.0, 4.0 * mean) * 1e3) as Micros;
        // Keys are asked for as unevenly as 1/rank.
        let key = (KEYS as f64).powf(self.rng.f64()) as u64;
        let request = self.nodes[node].0.next_id();
        let job = Job { node, life: self.nodes[node].1, request, class, size, affinity_key: key, born: now };
        self.open.insert((node, request), job);
        self.worth.entry((class, now / SEC)).or_default().0 += size as f64;
        let key = key.wrapping_mul(0x2545_f491_4f6c_dd1d);
        let arrival = Arrival { affinity_key: key, ..arrival(request, class, now + LIMIT, size) };
        self.dispatch(now, node, Event::Arrival(arrival));
    }

    fn run(&mut self, until: Micros) {
        while self.due.peek().is_some_and(|d| d.0.0 < until) {
            let Some(Reverse((now, _, due))) = self.due.pop() else { return };
            match due {
                Due::Arrival => {
                    self.arrive(now);
                    self.at(now + self.gap, Due::Arrival);
                }
                Due::Done(n, job, sent) => {
                    self.workers[n as usize].busy -= 1;
                    self.end(now, n, job, Outcome::Ok, now - sent);
                    self.start(now, n);
                }
                Due::Late(n, job) => {
                    // What has not started by its deadline is dropped; what runs, runs on for nobody.
                    self.workers[n as usize].waiting.retain(|w| w.0 != job);
                    self.end(now, n, job, Outcome::Timeout, LIMIT);
                }
                Due::Timer(node, life, token) if self.nodes[node].1 == life => {
                    self.dispatch(now, node, Event::Timer(token));
                }
                Due::Timer(..) => {}
            }
        }
    }

    fn end(&mut self, now: Micros, n: u32, job: Job, outcome: Outcome, took: Micros) {
        if self.nodes[job.node].1 != job.life || self.open.remove(&(job.node, job.request)).is_none() {
            return;
        }
        if outcome == Outcome::Ok {
            let spec = &classes()[job.class];
            let aim = spec.latency_objective + (spec.objective_stretch * job.size as f64) as Micros;
            let part = if now - job.born <= aim { 1.0 } else { spec.late_fraction };
            self.worth.entry((job.class, job.born / SEC)).or_default().1 += part * job.size as f64;
        }
        let (request, attempt, worker, report) = (job.request, 0, WorkerId(n), Vec::new());
        let closed = outcome == Outcome::Ok;
        self.dispatch(
            now,
            job.node,
            Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome,
                elapsed: took,
                request_concluded: closed,
                load_report: report,
            },
        );
    }

    /// The first `count` nodes are killed; their clients go to the others.
    fn kill(&mut self, count: usize) {
        for node in &mut self.nodes[..count] {
            node.1 += 1;
            node.2 = false;
        }
        self.open.retain(|&(node, _), _| node >= count);
    }

    /// They start again and know nothing.
    fn back(&mut self, count: usize) {
        for me in 0..count {
            let life = self.nodes[me].1;
            self.nodes[me] = (node(me, life), life, true);
        }
    }

    /// A fresh worker comes in the place of one that finishes what it has; all nodes are told at once.
    fn replace(&mut self, now: Micros, old: u32) {
        let new = self.workers.len() as u32;
        self.workers.push(Worker { born: now, ..Worker::default() });
        let left = WorkerEntry { lifecycle: Lifecycle::Draining, ..of(old) };
        for node in 0..NODES {
            let list = vec![left.clone(), WorkerEntry { started_at: now, ..of(new) }];
            self.dispatch(now, node, Event::WorkerList(WorkerListUpdate::Delta(list)));
        }
    }

    fn served(&self, class: usize, from: Micros, to: Micros) -> f64 {
        let within = self.worth.range((class, from / SEC)..(class, to / SEC));
        let (asked, got) = within.fold((0.0, 0.0), |a, (_, w)| (a.0 + w.0, a.1 + w.1));
        got / asked
    }
}

/// One request in twenty is a charge, and the heavy ones fill every worker: without keys kept in few places, what is
/// fetched again and again takes the room that charges need.
#[test]
fn charges_get_their_share_among_heavier_jobs_that_fill_every_worker() {
    let mut world = World::new(2_800, 0.05);
    world.run(25 * SEC);
    let (charges, heavy) = (world.served(CHARGE, 2 * SEC, 18 * SEC), world.served(HEAVY, 2 * SEC, 18 * SEC));
    println!("charges {charges:.2}, heavy {heavy:.2}");
    assert!(charges >= 0.5, "{charges:.2} of the charges' worth");
    assert!(heavy >= 0.75, "{heavy:.2} of the heavy jobs' worth");
}

/// Seven in ten nodes are killed at once and return after 3 s knowing nothing.
#[test]
fn charges_are_not_starved_while_survivors_of_a_herd_relearn() {
    let mut world = World::new(2_000, 0.5);
    world.run(8 * SEC);
    world.kill(70);
    world.run(11 * SEC);
    world.back(70);
    world.run(28 * SEC);
    let (before, after) = (world.served(CHARGE, 2 * SEC, 7 * SEC), world.served(CHARGE, 8 * SEC, 20 * SEC));
    println!("charges {before:.2} before, {after:.2} from the kill on");
    assert!(after >= 0.5, "{after:.2} of the charges' worth");
}

/// Six in ten workers are replaced within 7 s by fresh ones that start cold. What stays of the old ones is overrun, and
/// its waits, taken for those of the fresh ones as well, would leave these standing empty.
#[test]
fn charges_are_served_while_most_workers_start_cold() {
    let mut world = World::new(2_600, 0.5);
    world.run(8 * SEC);
    for n in 0..WORKERS * 6 / 10 {
        let now = 8 * SEC + Micros::from(n) * 7 * SEC / 36;
        world.run(now);
        world.replace(now, n);
    }
    world.run(30 * SEC);
    let (charges, heavy) = (world.served(CHARGE, 9 * SEC, 24 * SEC), world.served(HEAVY, 9 * SEC, 24 * SEC));
    println!("charges {charges:.3}, heavy {heavy:.3} from the release on");
    assert!(charges >= 0.4, "{charges:.2} of the charges' worth");
    assert!(heavy >= 0.75, "{heavy:.2} of the heavy jobs' worth");
}

/// The workers of a third of the places take jobs for 6 s and say nothing, are gone, and come back cold. The rest serves
/// on, and those that are back have work again within 4 s, cold as they are.
#[test]
fn a_third_that_falls_silent_and_comes_back_cold_is_used_again_soon() {
    let third = WORKERS / 3;
    let mut world = World::new(3_600, 0.3);
    world.run(8 * SEC);
    for n in 0..third {
        world.workers[n as usize].silent = true;
    }
    world.run(14 * SEC);
    // Those that ended take what they held with them; all nodes are told at once.
    for n in 0..third {
        let at = n as usize;
        world.workers[at] = Worker { born: 14 * SEC, ..Worker::default() };
        world.due.retain(|due| !matches!(&due.0.2, Due::Done(of, ..) if *of == n));
        for node in 0..NODES {
            let list = vec![WorkerEntry { started_at: 14 * SEC, ..of(n) }];
            world.dispatch(14 * SEC, node, Event::WorkerList(WorkerListUpdate::Delta(list)));
        }
    }
    world.run(18 * SEC);
    let used = (0..third).filter(|&n| world.workers[n as usize].begun > 0).count();
    world.run(40 * SEC);
    let served = |from, to| [CHARGE, HEAVY].map(|class| world.served(class, from, to));
    let (silent, after) = (served(9 * SEC, 14 * SEC), served(18 * SEC, 30 * SEC));
    println!("{silent:.2?} while a third is silent, {after:.2?} after, {used} of {third} used within 4 s");
    assert!(used == third as usize, "{used} of {third} have work again");
    assert!(silent.iter().all(|s| *s >= 0.4), "{silent:?} while a third is silent");
    assert!(after.iter().all(|s| *s >= 0.8), "{after:?} once it is back");
}
