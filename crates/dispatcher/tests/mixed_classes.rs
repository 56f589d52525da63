//! Classes of different priority at workers without free capacity: payments, which are not idempotent and
//! have the lower priority, and heavy jobs, which have an idempotency key.
//!
//! The tests simulate 100 dispatchers and 60 workers. A worker starts the heavy jobs in its queue first.
//! Before it runs a job, it fetches the data of the job's affinity key unless it has cached them.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

const DISPATCHERS: usize = 100;
const WORKERS: u32 = 60;
const SLOTS: usize = 4;
/// Number of keys whose data a worker caches.
const CACHED_KEYS: usize = 6;
/// Time to fetch the data of a key that is not cached. The job occupies its slot meanwhile.
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
    /// Number of restarts of the dispatcher before the request arrived. Requests of an earlier incarnation
    /// are lost.
    incarnation: u32,
    request: RequestId,
    class: usize,
    size: Micros,
    affinity_key: u64,
    arrived_at: Micros,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival,
    Served { worker: u32, job: Job, sent_at: Micros },
    ClientTimeout { worker: u32, job: Job },
    Timer { dispatcher: usize, incarnation: u32, token: u64 },
}

#[derive(Default)]
struct SimulatedWorker {
    /// 0 if that is long ago.
    started_at: Micros,
    busy_slots: usize,
    /// Jobs that have not started, with the time of their send.
    queue: Vec<(Job, Micros)>,
    cached_keys: VecDeque<u64>,
    /// Whether it accepts jobs without starting them.
    is_silent: bool,
    jobs_started: u32,
}

struct SimulatedDispatcher {
    harness: DispatcherHarness,
    incarnation: u32,
    is_running: bool,
}

/// Total value of the requests of one class that arrived within one second. The value of a request is the
/// size of its job, in microseconds; a late answer keeps a fraction of it.
#[derive(Clone, Copy, Default)]
struct ValueTotals {
    requested: f64,
    served: f64,
}

struct Simulation {
    dispatchers: Vec<SimulatedDispatcher>,
    workers: Vec<SimulatedWorker>,
    schedule: BinaryHeap<Reverse<(Micros, u64, SimulationEvent)>>,
    /// Jobs without an outcome, by dispatcher and request; includes those of rejected and failed requests.
    jobs: BTreeMap<(usize, RequestId), Job>,
    /// Payments that were sent, and so may have been executed: dispatcher, incarnation and request.
    sent_payments: BTreeSet<(usize, u32, RequestId)>,
    rng: fastrand::Rng,
    last_sequence_number: u64,
    arrival_gap: Micros,
    payment_share: f64,
    /// By class and second of arrival.
    values: BTreeMap<(usize, Micros), ValueTotals>,
}

fn worker_entry(number: u32) -> WorkerEntry {
    let name_hash = u64::from(number + 1).wrapping_mul(0x9e37_79b9);
    WorkerEntry { zone: 0, name_hash, weight: SLOTS as f64, ..entry(number) }
}

/// Returns the fraction of its full capacity that a worker has at `now`.
fn capacity_fraction(now: Micros, started_at: Micros) -> f64 {
    if started_at == 0 {
        return 1.0;
    }
    let age = (now - started_at) as f64 / SLOW_START as f64;
    (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age).min(1.0)
}

/// Classes in the settings of the dispatchers, by which the value of answers is counted as well.
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

/// Returns a dispatcher that has just started: it has a worker list, but no requests and no statistics.
fn started_dispatcher(instance: usize, incarnation: u32) -> SimulatedDispatcher {
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
    harness.dispatch(0, full_list((0..WORKERS).map(worker_entry)));
    SimulatedDispatcher { harness, incarnation, is_running: true }
}

impl Simulation {
    /// Creates a simulation in which a request arrives every `arrival_gap`. `payment_share` is the share of
    /// the payments among the requests.
    fn new(arrival_gap: Micros, payment_share: f64) -> Simulation {
        let mut simulation = Simulation {
            dispatchers: (0..DISPATCHERS).map(|instance| started_dispatcher(instance, 0)).collect(),
            workers: (0..WORKERS).map(|_| SimulatedWorker::default()).collect(),
            schedule: BinaryHeap::new(),
            jobs: BTreeMap::new(),
            sent_payments: BTreeSet::new(),
            rng: fastrand::Rng::with_seed(11),
            last_sequence_number: 0,
            arrival_gap,
            payment_share,
            values: BTreeMap::new(),
        };
        simulation.schedule(0, SimulationEvent::Arrival);
        simulation
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.last_sequence_number += 1;
        self.schedule.push(Reverse((at, self.last_sequence_number, event)));
    }

    fn dispatch(&mut self, now: Micros, dispatcher: usize, event: Event) {
        let incarnation = self.dispatchers[dispatcher].incarnation;
        for action in self.dispatchers[dispatcher].harness.dispatch(now, event) {
            match action {
                Action::Send { request, worker, .. } => self.send(now, dispatcher, request, worker.0),
                Action::SetTimer { delay, token } => {
                    self.schedule(now + delay, SimulationEvent::Timer { dispatcher, incarnation, token });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, dispatcher: usize, request: RequestId, worker: u32) {
        let incarnation = self.dispatchers[dispatcher].incarnation;
        let job = self.jobs[&(dispatcher, request)];
        let is_permitted =
            job.class != PAYMENT || self.sent_payments.insert((dispatcher, incarnation, request));
        assert!(
            is_permitted,
            "{request:?} of dispatcher {dispatcher} may have been executed and is sent again"
        );
        self.workers[worker as usize].queue.push((job, now));
        self.schedule(job.arrived_at + CLIENT_TIMEOUT, SimulationEvent::ClientTimeout { worker, job });
        self.start_jobs(now, worker);
    }

    /// Starts jobs in the free slots of a worker: heavy jobs first, and jobs of one class in the order in
    /// which they were sent.
    fn start_jobs(&mut self, now: Micros, number: u32) {
        while let Some((job, sent_at, run_time)) = self.next_job(now, number) {
            let served = SimulationEvent::Served { worker: number, job, sent_at };
            self.schedule(now + run_time, served);
            if self.dispatchers[job.dispatcher].incarnation == job.incarnation {
                let worker = WorkerId(number);
                let started = Event::AttemptStarted { request: job.request, attempt: 0, worker };
                self.dispatch(now, job.dispatcher, started);
            }
        }
    }

    /// Takes the next job from a worker's queue if a slot is free. Returns the job, the time of its send, and
    /// how long it occupies the slot.
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
        // The frequency of a key is in proportion to 1/rank.
        let rank = (KEYS as f64).powf(self.rng.f64()) as u64;
        let incarnation = self.dispatchers[dispatcher].incarnation;
        let request = self.dispatchers[dispatcher].harness.next_id();
        let job = Job { dispatcher, incarnation, request, class, size, affinity_key: rank, arrived_at: now };
        self.jobs.insert((dispatcher, request), job);
        self.values.entry((class, now / SEC)).or_default().requested += size as f64;
        let affinity_key = rank.wrapping_mul(0x2545_f491_4f6c_dd1d);
        let arrival = Arrival { affinity_key, ..arrival(request, class, now + CLIENT_TIMEOUT, size) };
        self.dispatch(now, dispatcher, Event::Arrival(arrival));
    }

    fn run(&mut self, until: Micros) {
        while self.schedule.peek().is_some_and(|next| next.0.0 < until) {
            let Some(Reverse((now, _, event))) = self.schedule.pop() else { return };
            match event {
                SimulationEvent::Arrival => {
                    self.arrive(now);
                    self.schedule(now + self.arrival_gap, SimulationEvent::Arrival);
                }
                SimulationEvent::Served { worker, job, sent_at } => {
                    self.workers[worker as usize].busy_slots -= 1;
                    self.end_attempt(now, worker, job, Outcome::Ok, now - sent_at);
                    self.start_jobs(now, worker);
                }
                SimulationEvent::ClientTimeout { worker, job } => {
                    // The worker drops the job if it has not started; otherwise it completes the job,
                    // although no client waits for it.
                    self.workers[worker as usize].queue.retain(|queued| queued.0 != job);
                    self.end_attempt(now, worker, job, Outcome::Timeout, CLIENT_TIMEOUT);
                }
                SimulationEvent::Timer { dispatcher, incarnation, token } => {
                    if self.dispatchers[dispatcher].incarnation == incarnation {
                        self.dispatch(now, dispatcher, Event::Timer(token));
                    }
                }
            }
        }
    }

    fn end_attempt(&mut self, now: Micros, worker: u32, job: Job, outcome: Outcome, elapsed: Micros) {
        if self.dispatchers[job.dispatcher].incarnation != job.incarnation
            || self.jobs.remove(&(job.dispatcher, job.request)).is_none()
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

    /// Kills the first `count` dispatchers. Their requests are lost, and later ones go to the other
    /// dispatchers.
    fn kill_dispatchers(&mut self, count: usize) {
        for dispatcher in &mut self.dispatchers[..count] {
            dispatcher.incarnation += 1;
            dispatcher.is_running = false;
        }
        self.jobs.retain(|&(dispatcher, _), _| dispatcher >= count);
    }

    /// Restarts the first `count` dispatchers without requests and statistics.
    fn restart_dispatchers(&mut self, count: usize) {
        for instance in 0..count {
            let incarnation = self.dispatchers[instance].incarnation;
            self.dispatchers[instance] = started_dispatcher(instance, incarnation);
        }
    }

    /// Starts a new worker in place of one that drains, and notifies all dispatchers at once.
    fn replace_worker(&mut self, now: Micros, old: u32) {
        let new = self.workers.len() as u32;
        self.workers.push(SimulatedWorker { started_at: now, ..SimulatedWorker::default() });
        let draining = WorkerEntry { lifecycle: Lifecycle::Draining, ..worker_entry(old) };
        let started = WorkerEntry { started_at: now, ..worker_entry(new) };
        for dispatcher in 0..DISPATCHERS {
            self.dispatch(now, dispatcher, list_delta([draining.clone(), started.clone()]));
        }
    }

    /// Restarts a worker without its jobs and cached keys, and notifies all dispatchers at once.
    fn restart_worker(&mut self, now: Micros, number: u32) {
        self.workers[number as usize] = SimulatedWorker { started_at: now, ..SimulatedWorker::default() };
        self.schedule
            .retain(|next| !matches!(&next.0.2, SimulationEvent::Served { worker, .. } if *worker == number));
        for dispatcher in 0..DISPATCHERS {
            let started = WorkerEntry { started_at: now, ..worker_entry(number) };
            self.dispatch(now, dispatcher, list_delta([started]));
        }
    }

    /// Returns the share of their value that was served, for the requests of a class that arrived between
    /// these times, in whole seconds.
    fn served_share(&self, class: usize, from: Micros, to: Micros) -> f64 {
        let mut total = ValueTotals::default();
        for value in self.values.range((class, from / SEC)..(class, to / SEC)).map(|(_, value)| value) {
            total.requested += value.requested;
            total.served += value.served;
        }
        total.served / total.requested
    }
}

impl SimulatedWorker {
    /// Returns the time to fetch the data of a key, 0 if they are cached, and caches them.
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

/// Guards against fetches that take the capacity which payments need: 19 of 20 requests are heavy and fill
/// every worker, and the more workers the jobs of one affinity key are sent to, the more often its data are
/// fetched.
#[test]
fn payments_are_served_among_heavy_jobs_that_fill_every_worker() {
    let mut simulation = Simulation::new(2_800, 0.05);
    simulation.run(25 * SEC);
    let served = |class| simulation.served_share(class, 2 * SEC, 18 * SEC);
    let (payments, heavy) = (served(PAYMENT), served(HEAVY));
    println!("share of the value served: payments {payments:.2}, heavy jobs {heavy:.2}");
    assert!(payments >= 0.5, "{payments:.2} of the payments' value was served");
    assert!(heavy >= 0.75, "{heavy:.2} of the heavy jobs' value was served");
}

/// Guards against payments that are not served after a failure of most dispatchers: 70 of 100 are killed at
/// once and restart 3 s later without requests and statistics.
#[test]
fn payments_are_served_while_most_dispatchers_restart() {
    let mut simulation = Simulation::new(2_000, 0.5);
    simulation.run(8 * SEC);
    simulation.kill_dispatchers(70);
    simulation.run(11 * SEC);
    simulation.restart_dispatchers(70);
    simulation.run(28 * SEC);
    let before = simulation.served_share(PAYMENT, 2 * SEC, 7 * SEC);
    let after = simulation.served_share(PAYMENT, 8 * SEC, 20 * SEC);
    println!("share of the payments' value served: {before:.2} before the kill, {after:.2} after it");
    assert!(after >= 0.5, "{after:.2} of the payments' value was served after the kill");
}

/// Guards against new workers that stay idle: within 7 s, six in ten workers are replaced by new ones in slow
/// start. The remaining workers are overloaded, and their long waits must not be expected at the new ones.
#[test]
fn payments_are_served_while_most_workers_are_in_slow_start() {
    let mut simulation = Simulation::new(2_600, 0.5);
    simulation.run(8 * SEC);
    for number in 0..WORKERS * 6 / 10 {
        let now = 8 * SEC + Micros::from(number) * 7 * SEC / 36;
        simulation.run(now);
        simulation.replace_worker(now, number);
    }
    simulation.run(30 * SEC);
    let served = |class| simulation.served_share(class, 9 * SEC, 24 * SEC);
    let (payments, heavy) = (served(PAYMENT), served(HEAVY));
    println!(
        "share of the value served after the first replacement: payments {payments:.3}, heavy jobs {heavy:.3}"
    );
    assert!(payments >= 0.4, "{payments:.2} of the payments' value was served");
    assert!(heavy >= 0.75, "{heavy:.2} of the heavy jobs' value was served");
}

/// Guards against workers that stay unused after an outage: a third of the workers are silent for 6 s and
/// then restart in slow start. Meanwhile the others must serve, and the restarted ones must have work within
/// 4 s.
#[test]
fn third_of_the_workers_that_was_silent_is_used_soon_after_its_restart() {
    let third = WORKERS / 3;
    let mut simulation = Simulation::new(3_600, 0.3);
    simulation.run(8 * SEC);
    for worker in &mut simulation.workers[..third as usize] {
        worker.is_silent = true;
    }
    simulation.run(14 * SEC);
    for number in 0..third {
        simulation.restart_worker(14 * SEC, number);
    }
    simulation.run(18 * SEC);
    let used = simulation.workers[..third as usize].iter().filter(|worker| worker.jobs_started > 0).count();
    simulation.run(40 * SEC);
    let served = |from, to| [PAYMENT, HEAVY].map(|class| simulation.served_share(class, from, to));
    let (silent, after) = (served(9 * SEC, 14 * SEC), served(18 * SEC, 30 * SEC));
    println!(
        "share of the value served, payments and heavy jobs: {silent:.2?} while a third of the workers is \
         silent, {after:.2?} after its restart; {used} of {third} used within 4 s"
    );
    assert!(used == third as usize, "{used} of {third} restarted workers have started a job within 4 s");
    assert!(
        silent.iter().all(|share| *share >= 0.4),
        "share of the value served while a third of the workers is silent: {silent:?}"
    );
    assert!(
        after.iter().all(|share| *share >= 0.8),
        "share of the value served after the silent workers have restarted: {after:?}"
    );
}
