//! Simulations of dispatchers that share workers and do not communicate: 100 of them, or two processes of one
//! dispatcher during an upgrade.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const DISPATCHERS: usize = 100;
const WORKERS: u32 = 60;
const ZONES: usize = 3;
/// Full capacity of a worker, in standard cores. Each of its slots is one core.
const CORES: f64 = 4.0;
const SLOTS: usize = CORES as usize;
const MEAN_SIZE_SECONDS: f64 = 0.35;
const INITIAL_CAPACITY: f64 = 0.12;
const SLOW_START: Micros = 24 * SEC;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival,
    Started { request: RequestId, worker: WorkerId },
    Served { request: RequestId, worker: WorkerId, elapsed: Micros },
    Timer(u64),
}

struct SentJob {
    at: Micros,
    worker: u32,
    size_seconds: f64,
}

/// Simulated dispatchers and workers, and the jobs that were sent.
struct Cluster {
    dispatchers: Vec<DispatcherHarness>,
    schedule: BinaryHeap<Reverse<(Micros, usize, SimulationEvent)>>,
    rng: fastrand::Rng,
    /// Start times of the workers that were restarted.
    started_at: BTreeMap<u32, Micros>,
    /// By worker: time from which each of its slots is free.
    free_at: Vec<[Micros; SLOTS]>,
    sent: Vec<SentJob>,
}

fn cluster_settings(instance: usize) -> Settings {
    let slow_start = SlowStartRules {
        initial_capacity: INITIAL_CAPACITY,
        duration: SLOW_START,
        overload_window: SEC,
        ..settings().slow_start
    };
    Settings {
        instance: instance as u32,
        instances: DISPATCHERS as u32,
        zone: instance % ZONES,
        slow_start,
        ..settings()
    }
}

impl Cluster {
    fn new() -> Cluster {
        let dispatcher = |instance: usize| {
            DispatcherHarness::without_workers(cluster_settings(instance), 1000 + instance as u64)
        };
        let mut cluster = Cluster {
            dispatchers: (0..DISPATCHERS).map(dispatcher).collect(),
            schedule: BinaryHeap::new(),
            rng: fastrand::Rng::with_seed(3),
            started_at: BTreeMap::new(),
            free_at: vec![[0; SLOTS]; WORKERS as usize],
            sent: Vec::new(),
        };
        let list: Vec<WorkerEntry> = (0..WORKERS).map(|number| cluster.entry(number)).collect();
        for instance in 0..DISPATCHERS {
            cluster.dispatch(0, instance, full_list(list.clone()));
            let first_arrival = cluster.rng.i64(0..200 * MS);
            cluster.schedule(first_arrival, instance, SimulationEvent::Arrival);
        }
        cluster
    }

    fn schedule(&mut self, at: Micros, instance: usize, event: SimulationEvent) {
        self.schedule.push(Reverse((at, instance, event)));
    }

    fn entry(&self, number: u32) -> WorkerEntry {
        let started_at = self.started_at.get(&number).copied().unwrap_or(0);
        WorkerEntry { started_at, weight: CORES, zone: number as usize % ZONES, ..entry(number) }
    }

    /// Restarts a worker and notifies all dispatchers at once.
    fn restart(&mut self, now: Micros, number: u32) {
        self.started_at.insert(number, now);
        self.free_at[number as usize].fill(now);
        for instance in 0..DISPATCHERS {
            self.dispatch(now, instance, list_delta([self.entry(number)]));
        }
    }

    fn capacity_fraction(&self, now: Micros, number: u32) -> f64 {
        let age = self.started_at.get(&number).map_or(Micros::MAX, |started_at| now - started_at);
        (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age as f64 / SLOW_START as f64).min(1.0)
    }

    fn dispatch(&mut self, now: Micros, instance: usize, event: Event) {
        for action in self.dispatchers[instance].dispatch(now, event) {
            match action {
                Action::Send { request, worker, .. } => self.execute(now, instance, request, worker),
                Action::SetTimer { delay, token } => {
                    self.schedule(now + delay, instance, SimulationEvent::Timer(token));
                }
                _ => {}
            }
        }
    }

    /// Runs a job in the slot of the worker that is free first.
    fn execute(&mut self, now: Micros, instance: usize, request: RequestId, worker: WorkerId) {
        let size_seconds = self.size_seconds(instance, request);
        self.sent.push(SentJob { at: now, worker: worker.0, size_seconds });
        let slots = &self.free_at[worker.0 as usize];
        let slot = (0..SLOTS).min_by_key(|&slot| slots[slot]).expect("a worker has slots");
        let start = slots[slot].max(now + 2 * MS);
        let end = start + (size_seconds * 1e6 / self.capacity_fraction(start, worker.0)) as Micros;
        self.free_at[worker.0 as usize][slot] = end;
        self.schedule(start, instance, SimulationEvent::Started { request, worker });
        self.schedule(end, instance, SimulationEvent::Served { request, worker, elapsed: end - now });
    }

    /// Returns the size of a job. Sizes are exponentially distributed, up to a limit, and depend only on the
    /// dispatcher and the request.
    fn size_seconds(&self, instance: usize, request: RequestId) -> f64 {
        let uniform_sample = fastrand::Rng::with_seed(request.0 << 8 | instance as u64).f64();
        -MEAN_SIZE_SECONDS * (1.0 - uniform_sample).ln().max(-4.0)
    }

    /// Handles all events before `until`. A job arrives at each dispatcher every 0.25 s on average.
    fn run(&mut self, until: Micros) {
        while let Some(Reverse((now, instance, event))) = self.schedule.pop() {
            if now >= until {
                self.schedule(now, instance, event);
                return;
            }
            match event {
                SimulationEvent::Arrival => self.arrive(now, instance),
                SimulationEvent::Started { request, worker } => {
                    self.dispatch(now, instance, Event::AttemptStarted { request, attempt: 0, worker });
                }
                SimulationEvent::Served { request, worker, elapsed } => {
                    let served = attempt_ended(request, (worker, 0), Outcome::Ok, elapsed);
                    self.dispatch(now, instance, served);
                }
                SimulationEvent::Timer(token) => self.dispatch(now, instance, Event::Timer(token)),
            }
        }
    }

    fn arrive(&mut self, now: Micros, instance: usize) {
        let request = self.dispatchers[instance].next_id();
        let work_hint = (self.size_seconds(instance, request) * 1e6) as Micros;
        let arrival = arrival(request, 1, now + 5 * SEC, work_hint);
        self.dispatch(now, instance, Event::Arrival(arrival));
        let gap = self.rng.i64(MS..500 * MS);
        self.schedule(now + gap, instance, SimulationEvent::Arrival);
    }

    /// Returns the work sent to a worker between these times, in seconds on a standard core.
    fn work_sent(&self, worker: u32, from: Micros, to: Micros) -> f64 {
        let matches = |job: &&SentJob| job.worker == worker && job.at >= from && job.at < to;
        self.sent.iter().filter(matches).map(|job| job.size_seconds).sum()
    }
}

/// Each dispatcher's share of the work that a worker in slow start can accept is less than one job. Guards
/// against workers in slow start that stay idle, since no dispatcher sends such a job, and against an
/// overload, since all dispatchers send one.
#[test]
fn hundred_dispatchers_use_workers_in_slow_start_without_an_overload() {
    for restarted in [vec![7], (0..WORKERS).filter(|number| number % 5 < 3).collect::<Vec<_>>()] {
        let mut cluster = Cluster::new();
        cluster.run(8 * SEC);
        for (index, &number) in restarted.iter().enumerate() {
            let at = 8 * SEC + index as Micros * 200 * MS;
            cluster.run(at);
            cluster.restart(at, number);
        }
        let last = 8 * SEC + restarted.len() as Micros * 200 * MS;
        cluster.run(last + 10 * SEC);
        let (mut max_overload, mut capacity) = (0.0_f64, 0.0);
        for &number in &restarted {
            let started_at = cluster.started_at[&number];
            for at in (started_at..last + 9 * SEC).step_by(100_000) {
                let sent = cluster.work_sent(number, at, at + SEC);
                max_overload = max_overload.max(sent / (CORES * cluster.capacity_fraction(at, number)));
            }
            capacity += (started_at + 4 * SEC..last + 9 * SEC)
                .step_by(1_000_000)
                .map(|at| cluster.capacity_fraction(at, number))
                .sum::<f64>();
        }
        let used: f64 = restarted
            .iter()
            .map(|&number| cluster.work_sent(number, cluster.started_at[&number] + 4 * SEC, last + 9 * SEC))
            .sum();
        assert!(max_overload < 3.0, "a worker was sent {max_overload} times its capacity within 1 s");
        // A single worker in slow start is the slowest of mostly idle ones, so it may get little work at
        // first.
        let min_use = if restarted.len() > 1 { 0.3 } else { 0.0 };
        let available = capacity * CORES;
        assert!(used >= min_use * capacity * CORES, "{used} of {available} core seconds were used");
        println!(
            "{} workers in slow start: at most {max_overload:.2} times their capacity was sent within 1 s, \
             {used:.0} of {available:.0} core seconds were used",
            restarted.len()
        );
    }
}

/// Guards against jobs of one key that are spread over many workers. Each dispatcher gets few jobs, so data
/// that a worker has fetched are reused only if dispatchers that do not communicate send the jobs of a key to
/// the same few workers of a zone. Jobs must stay in the zone while it has room.
#[test]
fn hundred_dispatchers_send_a_key_to_few_workers_of_their_zone() {
    let mut workers_of_key: BTreeMap<(usize, u64), BTreeMap<u32, u32>> = BTreeMap::new();
    let (mut crossed_zones, mut all) = (0, 0);
    let entry = |number: u32| WorkerEntry {
        zone: number as usize % ZONES,
        name_hash: u64::from(number) * 7919,
        ..entry(number)
    };
    for instance in 0..DISPATCHERS {
        let zone = instance % ZONES;
        let settings =
            Settings { instance: instance as u32, instances: DISPATCHERS as u32, zone, ..settings() };
        let mut harness = DispatcherHarness::without_workers(settings, instance as u64);
        harness.dispatch(0, full_list((0..WORKERS).map(entry)));
        for key in 1..40 {
            let (request, now) = (RequestId(key), key as Micros * SEC);
            let arrival = Arrival { affinity_key: key, ..arrival(request, 1, now + 5 * SEC, 300 * MS) };
            let worker = sends(&harness.dispatch(now, Event::Arrival(arrival)))[0].worker;
            *workers_of_key.entry((zone, key)).or_default().entry(worker.0).or_default() += 1;
            crossed_zones += usize::from(worker.0 as usize % ZONES != zone);
            all += 1;
            harness.dispatch(now + MS, Event::AttemptStarted { request, attempt: 0, worker });
            let served = attempt_ended(request, (worker, 0), Outcome::Ok, 200 * MS);
            harness.dispatch(now + 200 * MS, served);
        }
    }
    let used: usize = workers_of_key.values().map(|workers| workers.len()).sum();
    // The affinity set of a key that has not arrived before has one worker, which is in another zone for some
    // dispatchers.
    let keys = workers_of_key.len();
    assert!(used <= 2 * keys, "{used} workers are used for {keys} pairs of a zone and a key");
    assert!(crossed_zones * 3 < all, "{crossed_zones} of {all} jobs were sent to another zone");
}

const UPGRADE_SLOW_START: Micros = 10 * SEC;
const UPGRADE_RESTART: Micros = 5 * SEC;
const UPGRADE_JOB: Micros = 200 * MS;
/// Time between two requests: outside slow start, about nine tenths of the 16 slots of all workers are busy.
const UPGRADE_GAP: Micros = UPGRADE_JOB / 14;
const UPGRADE_WORKERS: usize = 4;

/// Simulation of two processes of the only dispatcher, and of four workers, one of which restarts.
struct UpgradeSimulation {
    dispatchers: [DispatcherHarness; 2],
    /// By time and sequence number: the dispatcher to notify, and the event.
    schedule: BTreeMap<(Micros, u64), (usize, Event)>,
    last_sequence_number: u64,
    free_at: [[Micros; SLOTS]; UPGRADE_WORKERS],
    /// Times of the sends to the restarted worker.
    sent_to_restarted: Vec<Micros>,
}

impl UpgradeSimulation {
    fn new() -> Self {
        let slow_start = SlowStartRules {
            initial_capacity: 0.2,
            duration: UPGRADE_SLOW_START,
            overload_factor: 3.0,
            overload_window: 2 * SEC,
        };
        let dispatcher = |seed| {
            let settings = Settings { instances: 1, slow_start: slow_start.clone(), ..settings() };
            let dispatcher = Dispatcher::new(settings, seed);
            DispatcherHarness { dispatcher, next_request: seed << 32 }
        };
        let mut simulation = UpgradeSimulation {
            dispatchers: [dispatcher(1), dispatcher(2)],
            schedule: BTreeMap::new(),
            last_sequence_number: 0,
            free_at: [[0; SLOTS]; UPGRADE_WORKERS],
            sent_to_restarted: Vec::new(),
        };
        for dispatcher in &mut simulation.dispatchers {
            dispatcher.dispatch(0, full_list(Self::list(0)));
        }
        simulation
    }

    /// Returns the worker list if the process of the first worker started at `started_at`.
    fn list(started_at: Micros) -> Vec<WorkerEntry> {
        let entry = |number| {
            let started_at = if number == 0 { started_at } else { 0 };
            WorkerEntry { started_at, weight: CORES, ..entry(number) }
        };
        (0..UPGRADE_WORKERS as u32).map(entry).collect()
    }

    fn capacity_fraction(now: Micros) -> f64 {
        let age = (now - UPGRADE_RESTART) as f64;
        (0.2 + 0.8 * age / UPGRADE_SLOW_START as f64).clamp(0.2, 1.0)
    }

    fn restart_first_worker(&mut self, now: Micros) {
        self.free_at[0].fill(now);
        for dispatcher in &mut self.dispatchers {
            dispatcher.dispatch(now, list_delta(Self::list(UPGRADE_RESTART)));
        }
    }

    /// Handles the events that are scheduled until `now`. Returns the resulting actions, each with its
    /// dispatcher and time.
    fn handle_scheduled(&mut self, now: Micros) -> Vec<(usize, Micros, Vec<Action>)> {
        let later = self.schedule.split_off(&(now + 1, 0));
        let scheduled = std::mem::replace(&mut self.schedule, later);
        scheduled
            .into_iter()
            .map(|((at, _), (instance, event))| {
                (instance, at, self.dispatchers[instance].dispatch(at, event))
            })
            .collect()
    }

    fn perform(&mut self, instance: usize, at: Micros, action: &Action) {
        self.last_sequence_number += 1;
        match *action {
            Action::Send { request, worker, .. } => self.execute(instance, at, request, worker),
            Action::SetTimer { delay, token } => {
                self.schedule
                    .insert((at + delay, self.last_sequence_number), (instance, Event::Timer(token)));
            }
            _ => {}
        }
    }

    fn execute(&mut self, instance: usize, at: Micros, request: RequestId, worker: WorkerId) {
        let number = worker.0 as usize;
        let is_restarted = number == 0 && at >= UPGRADE_RESTART;
        let speed = if is_restarted { Self::capacity_fraction(at) } else { 1.0 };
        if is_restarted {
            self.sent_to_restarted.push(at);
        }
        let slots = &mut self.free_at[number];
        let slot = (0..SLOTS).min_by_key(|&slot| slots[slot]).unwrap_or(0);
        let start = slots[slot].max(at) + MS;
        let end = start + (UPGRADE_JOB as f64 / speed) as Micros;
        slots[slot] = end;
        let started = Event::AttemptStarted { request, attempt: 0, worker };
        self.schedule.insert((start, self.last_sequence_number), (instance, started));
        let served = attempt_ended(request, (worker, 0), Outcome::Ok, end - at);
        self.schedule.insert((end, self.last_sequence_number), (instance, served));
    }

    /// Returns the most work that was sent to the restarted worker within 2 s, as a multiple of what its four
    /// slots can do in that time. Their capacity is that at the beginning of the 2 s, when it is least.
    fn max_overload(&self) -> f64 {
        let mut max_overload: f64 = 0.0;
        for from in (UPGRADE_RESTART..13 * SEC).step_by(50 * MS as usize) {
            let window = from..from + 2 * SEC;
            let jobs = self.sent_to_restarted.iter().filter(|at| window.contains(at)).count();
            let capacity = CORES * Self::capacity_fraction(from) * 2.0 * SEC as f64;
            max_overload = max_overload.max((jobs as Micros * UPGRADE_JOB) as f64 / capacity);
        }
        max_overload
    }
}

/// Guards against an overload during an upgrade, when two processes of one dispatcher run: each gets half of
/// the requests and assumes that it is the only one. Together they must send a worker in slow start some
/// work, but less than three times its current capacity.
#[test]
fn two_processes_of_one_dispatcher_do_not_overload_a_worker_in_slow_start() {
    let mut simulation = UpgradeSimulation::new();
    let mut rng = fastrand::Rng::with_seed(5);
    for step in 0..(15 * SEC / UPGRADE_GAP) {
        let now = step * UPGRADE_GAP;
        if now >= UPGRADE_RESTART && now - UPGRADE_GAP < UPGRADE_RESTART {
            simulation.restart_first_worker(now);
        }
        let mut actions = simulation.handle_scheduled(now);
        let instance = rng.usize(0..2);
        let work_hint = rng.i64(UPGRADE_JOB / 2..UPGRADE_JOB * 3 / 2);
        actions.push((instance, now, simulation.dispatchers[instance].arrive(now, 0, work_hint).1));
        for (instance, at, actions) in actions {
            for action in actions {
                simulation.perform(instance, at, &action);
            }
        }
    }
    let max_overload = simulation.max_overload();
    assert!(
        max_overload < 3.0,
        "the worker in slow start was sent {max_overload:.2} times its capacity within 2 s"
    );
    let early = simulation.sent_to_restarted.iter().filter(|&&at| at < 8 * SEC).count();
    assert!(early >= 10, "the worker in slow start was sent {early} jobs in its first 3 s");
    println!(
        "the worker in slow start was sent at most {max_overload:.2} times its capacity within 2 s; \
         {early} jobs in its first 3 s, {} in total",
        simulation.sent_to_restarted.len()
    );
}
