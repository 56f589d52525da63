//! Payments, which are of the lower priority and may not be repeated, among heavier jobs that fill the workers: a
//! hundred dispatchers on a simulated clock, workers that start what waits by priority and fetch what a key needs.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

const DISPATCHERS: usize = 100;
const WORKERS: u32 = 60;
const SLOTS: usize = 4;
/// The keys that a worker caches.
const CACHED_KEYS: usize = 6;
/// How long a worker fetches another key, while the job holds its slot.
const FETCH_TIME: Micros = 300 * MS;
const KEYS: usize = 300;
const PAYMENT: usize = 1;
const HEAVY: usize = 2;
const CLIENT_TIMEOUT: Micros = 5 * SEC;
const INITIAL_CAPACITY: f64 = 0.2;
const SLOW_START: Micros = 24 * SEC;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    dispatcher: usize,
    /// Counts the starts of the dispatcher: the requests of a killed one are gone.
    incarnation: u32,
    request: RequestId,
    class: usize,
    size: Micros,
    affinity_key: u64,
    arrived_at: Micros,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Arrival,
    Served { worker: u32, job: Job, sent_at: Micros },
    ClientTimeout { worker: u32, job: Job },
    Timer { dispatcher: usize, incarnation: u32, token: u64 },
}

/// A simulated worker.
#[derive(Default)]
struct FakeWorker {
    /// 0 for long ago.
    started_at: Micros,
    busy_slots: usize,
    /// Each job, and when it was sent.
    queue: Vec<(Job, Micros)>,
    cached_keys: VecDeque<u64>,
    /// It accepts jobs and does not start them.
    is_silent: bool,
    jobs_started: u32,
}

struct FakeDispatcher {
    harness: DispatcherHarness,
    incarnation: u32,
    is_running: bool,
}

/// The value of the requests of a class that arrived in one second.
#[derive(Clone, Copy, Default)]
struct Value {
    requested: f64,
    served: f64,
}

struct World {
    dispatchers: Vec<FakeDispatcher>,
    workers: Vec<FakeWorker>,
    schedule: BinaryHeap<Reverse<(Micros, u64, Occurrence)>>,
    open: BTreeMap<(usize, RequestId), Job>,
    /// Payments that were sent: they may have run.
    sent_payments: BTreeSet<(usize, u32, RequestId)>,
    rng: fastrand::Rng,
    next_number: u64,
    arrival_gap: Micros,
    payment_share: f64,
    /// By class and second of arrival.
    values: BTreeMap<(usize, Micros), Value>,
}

fn world_entry(number: u32) -> WorkerEntry {
    let name_hash = u64::from(number + 1).wrapping_mul(0x9e37_79b9);
    WorkerEntry { zone: 0, name_hash, weight: SLOTS as f64, ..entry(number) }
}

/// The fraction of its capacity that a worker has which started then.
fn capacity_fraction(now: Micros, started_at: Micros) -> f64 {
    if started_at == 0 {
        return 1.0;
    }
    let age = (now - started_at) as f64 / SLOW_START as f64;
    (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age).min(1.0)
}

/// What the dispatchers know of the classes, and what values are counted by.
fn classes() -> Vec<Class> {
    let mut classes = settings().classes;
    classes[PAYMENT] = Class {
        latency_objective: 300 * MS,
        objective_stretch: 2.0,
        late_value_fraction: 0.5,
        ..class(Idempotency::NotIdempotent)
    };
    classes[HEAVY] =
        Class { latency_objective: 500 * MS, late_value_fraction: 0.2, ..class(keyed(DedupScope::Cell)) };
    classes
}

/// A dispatcher that has just started.
fn started_dispatcher(instance: usize, incarnation: u32) -> FakeDispatcher {
    let slow_start = SlowStartRules {
        initial_capacity: INITIAL_CAPACITY,
        duration: SLOW_START,
        overload_window: SEC,
        ..settings().slow_start
    };
    let settings = Settings {
        slow_start,
        instance: instance as u32,
        instances: DISPATCHERS as u32,
        zone: 0,
        classes: classes(),
        limits: Limits { cancel: false, ..settings().limits },
        ..settings()
    };
    let seed = 100 * u64::from(incarnation) + instance as u64;
    let mut harness = DispatcherHarness::without_workers(settings, seed);
    harness.dispatch(0, full_list((0..WORKERS).map(world_entry)));
    FakeDispatcher { harness, incarnation, is_running: true }
}

impl World {
    /// A request arrives every `arrival_gap`; this share of them are payments.
    fn new(arrival_gap: Micros, payment_share: f64) -> World {
        let mut world = World {
            dispatchers: (0..DISPATCHERS).map(|instance| started_dispatcher(instance, 0)).collect(),
            workers: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            schedule: BinaryHeap::new(),
            open: BTreeMap::new(),
            sent_payments: BTreeSet::new(),
            rng: fastrand::Rng::with_seed(11),
            next_number: 0,
            arrival_gap,
            payment_share,
            values: BTreeMap::new(),
        };
        world.schedule(0, Occurrence::Arrival);
        world
    }

    fn schedule(&mut self, at: Micros, occurrence: Occurrence) {
        self.next_number += 1;
        self.schedule.push(Reverse((at, self.next_number, occurrence)));
    }

    fn dispatch(&mut self, now: Micros, dispatcher: usize, event: Event) {
        let incarnation = self.dispatchers[dispatcher].incarnation;
        for action in self.dispatchers[dispatcher].harness.dispatch(now, event) {
            match action {
                Action::Send { request, worker, .. } => self.send(now, dispatcher, request, worker.0),
                Action::SetTimer { delay, token } => {
                    self.schedule(now + delay, Occurrence::Timer { dispatcher, incarnation, token });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, dispatcher: usize, request: RequestId, worker: u32) {
        let incarnation = self.dispatchers[dispatcher].incarnation;
        let job = self.open[&(dispatcher, request)];
        let is_permitted =
            job.class != PAYMENT || self.sent_payments.insert((dispatcher, incarnation, request));
        assert!(is_permitted, "{request:?} of dispatcher {dispatcher} may have run, and was sent again");
        self.workers[worker as usize].queue.push((job, now));
        self.schedule(job.arrived_at + CLIENT_TIMEOUT, Occurrence::ClientTimeout { worker, job });
        self.start_jobs(now, worker);
    }

    /// A worker fills its free slots: the heavy class first, within a class in order of arrival.
    fn start_jobs(&mut self, now: Micros, number: u32) {
        while let Some((job, sent_at, run_time)) = self.next_job(now, number) {
            let served = Occurrence::Served { worker: number, job, sent_at };
            self.schedule(now + run_time, served);
            if self.dispatchers[job.dispatcher].incarnation == job.incarnation {
                let worker = WorkerId(number);
                let started = Event::AttemptStarted { request: job.request, attempt: 0, worker };
                self.dispatch(now, job.dispatcher, started);
            }
        }
    }

    /// Takes the next job from a worker's queue into a slot: the job, when it was sent, and how long it runs.
    fn next_job(&mut self, now: Micros, number: u32) -> Option<(Job, Micros, Micros)> {
        let worker = &mut self.workers[number as usize];
        if worker.busy_slots >= SLOTS || worker.is_silent {
            return None;
        }
        let by_priority = |&index: &usize| (Reverse(worker.queue[index].0.class), index);
        let next = (0..worker.queue.len()).min_by_key(by_priority)?;
        let (job, sent_at) = worker.queue.remove(next);
        worker.busy_slots += 1;
        worker.jobs_started += 1;
        let fetch_time = worker.fetch(job.affinity_key);
        let run_time = (job.size as f64 / capacity_fraction(now, worker.started_at)) as Micros;
        Some((job, sent_at, fetch_time + run_time))
    }

    fn arrive(&mut self, now: Micros) {
        let running: Vec<usize> =
            (0..DISPATCHERS).filter(|&instance| self.dispatchers[instance].is_running).collect();
        let dispatcher = running[self.rng.usize(..running.len())];
        let class = if self.rng.f64() < self.payment_share { PAYMENT } else { HEAVY };
        let mean_ms = if class == PAYMENT { 250.0 } else { 500.0 };
        let size_ms = (-mean_ms * (1.0 - self.rng.f64()).ln()).clamp(20.0, 4.0 * mean_ms);
        let size = (size_ms * 1e3) as Micros;
        // Keys are asked for as unevenly as 1/rank.
        let rank = (KEYS as f64).powf(self.rng.f64()) as u64;
        let incarnation = self.dispatchers[dispatcher].incarnation;
        let request = self.dispatchers[dispatcher].harness.next_id();
        let job = Job { dispatcher, incarnation, request, class, size, affinity_key: rank, arrived_at: now };
        self.open.insert((dispatcher, request), job);
        self.values.entry((class, now / SEC)).or_default().requested += size as f64;
        let affinity_key = rank.wrapping_mul(0x2545_f491_4f6c_dd1d);
        let arrival = Arrival { affinity_key, ..arrival(request, class, now + CLIENT_TIMEOUT, size) };
        self.dispatch(now, dispatcher, Event::Arrival(arrival));
    }

    fn run(&mut self, until: Micros) {
        while self.schedule.peek().is_some_and(|next| next.0.0 < until) {
            let Some(Reverse((now, _, occurrence))) = self.schedule.pop() else { return };
            match occurrence {
                Occurrence::Arrival => {
                    self.arrive(now);
                    self.schedule(now + self.arrival_gap, Occurrence::Arrival);
                }
                Occurrence::Served { worker, job, sent_at } => {
                    self.workers[worker as usize].busy_slots -= 1;
                    self.end_attempt(now, worker, job, Outcome::Ok, now - sent_at);
                    self.start_jobs(now, worker);
                }
                Occurrence::ClientTimeout { worker, job } => {
                    // A job that has not started by its deadline is dropped; one that runs continues in vain.
                    self.workers[worker as usize].queue.retain(|queued| queued.0 != job);
                    self.end_attempt(now, worker, job, Outcome::Timeout, CLIENT_TIMEOUT);
                }
                Occurrence::Timer { dispatcher, incarnation, token } => {
                    if self.dispatchers[dispatcher].incarnation == incarnation {
                        self.dispatch(now, dispatcher, Event::Timer(token));
                    }
                }
            }
        }
    }

    fn end_attempt(&mut self, now: Micros, worker: u32, job: Job, outcome: Outcome, elapsed: Micros) {
        if self.dispatchers[job.dispatcher].incarnation != job.incarnation
            || self.open.remove(&(job.dispatcher, job.request)).is_none()
        {
            return;
        }
        if outcome == Outcome::Ok {
            self.count_served(now, job);
        }
        let ended = attempt_ended(job.request, (WorkerId(worker), 0), outcome, elapsed);
        self.dispatch(now, job.dispatcher, ended);
    }

    fn count_served(&mut self, now: Micros, job: Job) {
        let class = &classes()[job.class];
        let stretch = (class.objective_stretch * job.size as f64) as Micros;
        let is_in_time = now - job.arrived_at <= class.latency_objective + stretch;
        let fraction = if is_in_time { 1.0 } else { class.late_value_fraction };
        self.values.entry((job.class, job.arrived_at / SEC)).or_default().served +=
            fraction * job.size as f64;
    }

    /// The first `count` dispatchers are killed; their clients go to the others.
    fn kill_dispatchers(&mut self, count: usize) {
        for dispatcher in &mut self.dispatchers[..count] {
            dispatcher.incarnation += 1;
            dispatcher.is_running = false;
        }
        self.open.retain(|&(dispatcher, _), _| dispatcher >= count);
    }

    /// They start again and know nothing.
    fn restart_dispatchers(&mut self, count: usize) {
        for instance in 0..count {
            let incarnation = self.dispatchers[instance].incarnation;
            self.dispatchers[instance] = started_dispatcher(instance, incarnation);
        }
    }

    /// A new worker replaces one that completes what it has; all dispatchers are notified at once.
    fn replace_worker(&mut self, now: Micros, old: u32) {
        let new = self.workers.len() as u32;
        self.workers.push(FakeWorker { started_at: now, ..FakeWorker::default() });
        let draining = WorkerEntry { lifecycle: Lifecycle::Draining, ..world_entry(old) };
        let started = WorkerEntry { started_at: now, ..world_entry(new) };
        for dispatcher in 0..DISPATCHERS {
            self.dispatch(now, dispatcher, list_delta([draining.clone(), started.clone()]));
        }
    }

    /// A worker starts again without what it had; all dispatchers are notified at once.
    fn restart_worker(&mut self, now: Micros, number: u32) {
        self.workers[number as usize] = FakeWorker { started_at: now, ..FakeWorker::default() };
        self.schedule
            .retain(|next| !matches!(&next.0.2, Occurrence::Served { worker, .. } if *worker == number));
        for dispatcher in 0..DISPATCHERS {
            let started = WorkerEntry { started_at: now, ..world_entry(number) };
            self.dispatch(now, dispatcher, list_delta([started]));
        }
    }

    /// The share of a class's value that was served, of the requests that arrived between these times.
    fn served_share(&self, class: usize, from: Micros, to: Micros) -> f64 {
        let mut total = Value::default();
        for value in self.values.range((class, from / SEC)..(class, to / SEC)).map(|(_, value)| value) {
            total.requested += value.requested;
            total.served += value.served;
        }
        total.served / total.requested
    }
}

impl FakeWorker {
    /// How long the worker fetches a key, which it then has in its cache.
    fn fetch(&mut self, key: u64) -> Micros {
        let position = self.cached_keys.iter().position(|&cached| cached == key);
        position.map(|position| self.cached_keys.remove(position));
        self.cached_keys.push_back(key);
        if self.cached_keys.len() > CACHED_KEYS {
            self.cached_keys.pop_front();
        }
        if position.is_some() { 0 } else { FETCH_TIME }
    }
}

/// One request in twenty is a payment, and the heavy ones fill every worker: if keys did not stay at few workers, what is
/// fetched again and again would take the capacity that payments need.
#[test]
fn payments_are_served_among_heavy_jobs_that_fill_every_worker() {
    let mut world = World::new(2_800, 0.05);
    world.run(25 * SEC);
    let served = |class| world.served_share(class, 2 * SEC, 18 * SEC);
    let (payments, heavy) = (served(PAYMENT), served(HEAVY));
    println!("payments {payments:.2}, heavy {heavy:.2}");
    assert!(payments >= 0.5, "{payments:.2} of the payments' value");
    assert!(heavy >= 0.75, "{heavy:.2} of the heavy jobs' value");
}

/// Seven in ten dispatchers are killed at once and return after 3 s knowing nothing.
#[test]
fn payments_are_served_while_most_dispatchers_restart() {
    let mut world = World::new(2_000, 0.5);
    world.run(8 * SEC);
    world.kill_dispatchers(70);
    world.run(11 * SEC);
    world.restart_dispatchers(70);
    world.run(28 * SEC);
    let before = world.served_share(PAYMENT, 2 * SEC, 7 * SEC);
    let after = world.served_share(PAYMENT, 8 * SEC, 20 * SEC);
    println!("payments {before:.2} before, {after:.2} from the kill on");
    assert!(after >= 0.5, "{after:.2} of the payments' value");
}

/// Six in ten workers are replaced within 7 s by new ones in slow start. The old ones that stay are overloaded, and their
/// waits, if taken for those of the new ones as well, would leave these idle.
#[test]
fn payments_are_served_while_most_workers_are_in_slow_start() {
    let mut world = World::new(2_600, 0.5);
    world.run(8 * SEC);
    for number in 0..WORKERS * 6 / 10 {
        let now = 8 * SEC + Micros::from(number) * 7 * SEC / 36;
        world.run(now);
        world.replace_worker(now, number);
    }
    world.run(30 * SEC);
    let served = |class| world.served_share(class, 9 * SEC, 24 * SEC);
    let (payments, heavy) = (served(PAYMENT), served(HEAVY));
    println!("payments {payments:.3}, heavy {heavy:.3} from the release on");
    assert!(payments >= 0.4, "{payments:.2} of the payments' value");
    assert!(heavy >= 0.75, "{heavy:.2} of the heavy jobs' value");
}

/// A third of the workers accept jobs for 6 s and answer nothing, are gone, and come back in slow start. The rest serves
/// on, and those that are back have work again within 4 s.
#[test]
fn third_of_the_workers_that_was_silent_is_used_soon_after_its_restart() {
    let third = WORKERS / 3;
    let mut world = World::new(3_600, 0.3);
    world.run(8 * SEC);
    for worker in &mut world.workers[..third as usize] {
        worker.is_silent = true;
    }
    world.run(14 * SEC);
    for number in 0..third {
        world.restart_worker(14 * SEC, number);
    }
    world.run(18 * SEC);
    let used = world.workers[..third as usize].iter().filter(|worker| worker.jobs_started > 0).count();
    world.run(40 * SEC);
    let served = |from, to| [PAYMENT, HEAVY].map(|class| world.served_share(class, from, to));
    let (silent, after) = (served(9 * SEC, 14 * SEC), served(18 * SEC, 30 * SEC));
    println!("{silent:.2?} while a third is silent, {after:.2?} after, {used} of {third} used within 4 s");
    assert!(used == third as usize, "{used} of {third} have work again");
    assert!(silent.iter().all(|share| *share >= 0.4), "{silent:?} while a third is silent");
    assert!(after.iter().all(|share| *share >= 0.8), "{after:?} once it is back");
}
