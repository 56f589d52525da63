//! Simulation of dispatchers and workers of any number. Some workers die and return cold while the traffic
//! changes. Workers report neither starts nor load; clients retry a rejected request once.

use super::*;
use std::collections::{BTreeMap, VecDeque};

/// Mean size of a job, in microseconds on a standard core.
const MEAN_SIZE: f64 = 280e3;
const NETWORK_DELAY: Micros = MS;
/// Time between the death of a worker and the news that it is gone.
const DEATH_NOTICE_DELAY: Micros = 4 * SEC;
/// Time between the start of a worker and the news of it.
const START_NOTICE_DELAY: Micros = 600 * MS;
const CLIENT_RETRY_DELAY: Micros = 60 * MS;
/// Share of the requests that have an affinity key.
const KEYED_SHARE: f64 = 0.35;
const QUEUED_JOBS_PER_CORE: usize = 6;

/// Cores and speed of the two kinds of workers.
const KINDS: [(usize, f64); 2] = [(4, 1.4), (3, 0.8)];

/// Part of the traffic from a moment on, as a multiple of what all workers can do.
#[derive(Clone, Copy)]
pub struct TrafficStep {
    pub at: Micros,
    pub load: f64,
}

/// A fleet, and what happens to it.
#[derive(Clone)]
pub struct FleetScenario {
    pub name: &'static str,
    pub seed: u64,
    pub dispatchers: usize,
    pub workers: usize,
    /// Number of workers that die, from the first one.
    pub returning: usize,
    pub zones: usize,
    pub die_at: Micros,
    pub return_at: Micros,
    /// Time between the returns of two workers.
    pub return_gap: Micros,
    pub traffic: Vec<TrafficStep>,
    pub slow_start: SlowStartRules,
    /// How much more traffic the busiest dispatcher gets than the least busy one.
    pub traffic_skew: f64,
    pub end: Micros,
}

impl Default for FleetScenario {
    fn default() -> Self {
        FleetScenario {
            name: "",
            seed: 1,
            dispatchers: 30,
            workers: 10,
            returning: 2,
            zones: 1,
            die_at: 12 * SEC,
            return_at: 24 * SEC,
            return_gap: 0,
            traffic: vec![
                TrafficStep { at: 0, load: 0.75 },
                TrafficStep { at: 20 * SEC, load: 1.8 },
                TrafficStep { at: 30 * SEC, load: 0.75 },
            ],
            slow_start: SlowStartRules {
                initial_capacity: 0.2,
                duration: 16 * SEC,
                overload_factor: 2.5,
                overload_window: 1_500 * MS,
            },
            traffic_skew: 1.0,
            end: 38 * SEC,
        }
    }
}

/// What a returning worker was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartResult {
    /// Most work in a window, as a fraction of the work at which the worker falls over.
    pub worst_of_limit: f64,
    /// Work of all returning workers from the news of their start to the end of slow start, as a fraction of
    /// what they can do in that time.
    pub used: f64,
    /// Share of all requests that were served.
    pub served: f64,
}

#[derive(Clone, Copy)]
struct Job {
    dispatcher: usize,
    size: f64,
    class: usize,
    key: u64,
    deadline: Micros,
    is_retry: bool,
}

#[derive(Clone, Copy)]
struct SimulatedAttempt {
    dispatcher: usize,
    request: RequestId,
    number: u32,
    sent_at: Micros,
}

enum SimulationEvent {
    Arrival,
    ClientRetry(Job),
    Reach { worker: usize, attempt: SimulatedAttempt },
    Served { worker: usize, incarnation: u32, attempt: SimulatedAttempt },
    Ended { worker: usize, attempt: SimulatedAttempt, outcome: Outcome },
    ClientTimeout { dispatcher: usize, request: RequestId },
    Timer { dispatcher: usize, token: u64 },
    Die(usize),
    ListGone(usize),
    Return(usize),
    ListReturned(usize),
}

#[derive(Default)]
struct SimulatedWorker {
    kind: usize,
    incarnation: u32,
    is_down: bool,
    started_at: Micros,
    told_at: Micros,
    running: Vec<SimulatedAttempt>,
    queue: VecDeque<SimulatedAttempt>,
    /// Time and size of the work that has reached it since the news of its start.
    received: VecDeque<(Micros, f64)>,
    received_in_total: f64,
    worst_of_limit: f64,
}

/// A running simulation.
pub struct Fleet {
    scenario: FleetScenario,
    dispatchers: Vec<DispatcherHarness>,
    workers: Vec<SimulatedWorker>,
    jobs: Vec<BTreeMap<RequestId, (Job, u32)>>,
    schedule: BTreeMap<(Micros, u64), SimulationEvent>,
    sequence: u64,
    rng: fastrand::Rng,
    arrived: u64,
    served: u64,
}

impl Fleet {
    /// Plays a scenario.
    pub fn play(scenario: FleetScenario) -> SlowStartResult {
        let mut fleet = Fleet::new(scenario);
        while let Some(((now, _), event)) = fleet.schedule.pop_first() {
            if now >= fleet.scenario.end {
                break;
            }
            fleet.handle(now, event);
        }
        fleet.result()
    }

    fn new(scenario: FleetScenario) -> Fleet {
        let dispatcher = |instance: usize| {
            let settings = fleet_settings(&scenario, instance);
            DispatcherHarness::without_workers(settings, scenario.seed * 1000 + instance as u64)
        };
        // Of ten workers, the first five and the last are of the faster kind.
        let worker = |number: usize| SimulatedWorker {
            kind: usize::from((5..9).contains(&(number % 10))),
            ..SimulatedWorker::default()
        };
        let mut fleet = Fleet {
            dispatchers: (0..scenario.dispatchers).map(dispatcher).collect(),
            workers: (0..scenario.workers).map(worker).collect(),
            jobs: vec![BTreeMap::new(); scenario.dispatchers],
            schedule: BTreeMap::new(),
            sequence: 0,
            rng: fastrand::Rng::with_seed(scenario.seed),
            arrived: 0,
            served: 0,
            scenario,
        };
        let list: Vec<WorkerEntry> = (0..fleet.workers.len()).map(|number| fleet.entry(number)).collect();
        for dispatcher in 0..fleet.dispatchers.len() {
            fleet.dispatch(0, dispatcher, full_list(list.clone()));
        }
        fleet.schedule(0, SimulationEvent::Arrival);
        for number in 0..fleet.scenario.returning {
            let return_at = fleet.scenario.return_at + number as Micros * fleet.scenario.return_gap;
            fleet.schedule(fleet.scenario.die_at, SimulationEvent::Die(number));
            fleet.schedule(fleet.scenario.die_at + DEATH_NOTICE_DELAY, SimulationEvent::ListGone(number));
            fleet.schedule(return_at, SimulationEvent::Return(number));
            fleet.schedule(return_at + START_NOTICE_DELAY, SimulationEvent::ListReturned(number));
        }
        fleet
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.sequence += 1;
        self.schedule.insert((at, self.sequence), event);
    }

    fn full_capacity(&self, number: usize) -> f64 {
        let (cores, speed) = KINDS[self.workers[number].kind];
        cores as f64 * speed
    }

    fn entry(&self, number: usize) -> WorkerEntry {
        WorkerEntry {
            started_at: self.workers[number].started_at,
            weight: self.full_capacity(number),
            kind: self.workers[number].kind,
            zone: number % self.scenario.zones,
            name_hash: fastrand::Rng::with_seed(number as u64).u64(..),
            ..entry(number as u32)
        }
    }

    fn notify(&mut self, now: Micros, entry: WorkerEntry) {
        for dispatcher in 0..self.dispatchers.len() {
            self.dispatch(now, dispatcher, list_delta([entry.clone()]));
        }
    }

    fn dispatch(&mut self, now: Micros, dispatcher: usize, event: Event) {
        for action in self.dispatchers[dispatcher].dispatch(now, event) {
            match action {
                Action::Send { request, worker, .. } => {
                    let Some((_, attempts)) = self.jobs[dispatcher].get_mut(&request) else { continue };
                    let attempt = SimulatedAttempt { dispatcher, request, number: *attempts, sent_at: now };
                    *attempts += 1;
                    let reach = SimulationEvent::Reach { worker: worker.0 as usize, attempt };
                    self.schedule(now + NETWORK_DELAY, reach);
                }
                Action::SetTimer { delay, token } => {
                    self.schedule(now + delay, SimulationEvent::Timer { dispatcher, token });
                }
                Action::Reject { request, .. } => {
                    if let Some((job, _)) = self.jobs[dispatcher].remove(&request)
                        && !job.is_retry
                    {
                        self.schedule(now + CLIENT_RETRY_DELAY, SimulationEvent::ClientRetry(job));
                    }
                }
                Action::Fail { request } => {
                    self.jobs[dispatcher].remove(&request);
                }
                _ => {}
            }
        }
    }

    fn handle(&mut self, now: Micros, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.on_arrival(now),
            SimulationEvent::ClientRetry(job) => self.submit(now, Job { is_retry: true, ..job }),
            SimulationEvent::Reach { worker, attempt } => self.on_reach(now, worker, attempt),
            SimulationEvent::Served { worker, incarnation, attempt } => {
                if self.workers[worker].incarnation == incarnation {
                    let is_other = |other: &SimulatedAttempt| {
                        (other.dispatcher, other.request) != (attempt.dispatcher, attempt.request)
                    };
                    self.workers[worker].running.retain(is_other);
                    self.end_attempt(now, worker, attempt, Outcome::Ok);
                    self.start_jobs(now, worker);
                }
            }
            SimulationEvent::Ended { worker, attempt, outcome } => {
                self.end_attempt(now, worker, attempt, outcome);
            }
            SimulationEvent::ClientTimeout { dispatcher, request } => {
                if self.jobs[dispatcher].remove(&request).is_some() {
                    self.dispatch(now, dispatcher, Event::ClientDisconnected(request));
                }
            }
            SimulationEvent::Timer { dispatcher, token } => {
                self.dispatch(now, dispatcher, Event::Timer(token));
            }
            SimulationEvent::Die(number) => self.kill(now, number),
            SimulationEvent::ListGone(number) => {
                let entry = WorkerEntry { lifecycle: Lifecycle::Gone, ..self.entry(number) };
                self.notify(now, entry);
            }
            SimulationEvent::Return(number) => {
                self.workers[number].is_down = false;
                self.workers[number].started_at = now;
            }
            SimulationEvent::ListReturned(number) => {
                self.workers[number].told_at = now;
                let entry = self.entry(number);
                self.notify(now, entry);
            }
        }
    }

    fn on_arrival(&mut self, now: Micros) {
        let class = usize::from(self.rng.f64() < 0.3);
        // Mean 1 and a coefficient of variation of 0.9.
        let relative_size = (0.1 - 0.9 * (1.0 - self.rng.f64()).ln()).min(6.0);
        let has_key = class == 0 && self.rng.f64() < KEYED_SHARE / 0.7;
        let job = Job {
            dispatcher: self.random_dispatcher(),
            size: MEAN_SIZE * relative_size,
            class,
            key: if has_key { self.rng.u64(1..) } else { 0 },
            deadline: 0,
            is_retry: false,
        };
        self.submit(now, job);
        let load =
            self.scenario.traffic.iter().rev().find(|step| step.at <= now).map_or(0.0, |step| step.load);
        let capacity: f64 = (0..self.workers.len()).map(|number| self.full_capacity(number)).sum();
        let gap = -(1.0 - self.rng.f64()).ln() * MEAN_SIZE / (load * capacity);
        self.schedule(now + gap as Micros + 1, SimulationEvent::Arrival);
    }

    /// Picks a dispatcher; the shares of the traffic grow evenly from the first to the last.
    fn random_dispatcher(&mut self) -> usize {
        let (count, skew) = (self.dispatchers.len(), self.scenario.traffic_skew);
        loop {
            let dispatcher = self.rng.usize(..count);
            let relative_share = 1.0 + (skew - 1.0) * dispatcher as f64 / (count - 1).max(1) as f64;
            if self.rng.f64() * skew < relative_share {
                return dispatcher;
            }
        }
    }

    fn submit(&mut self, now: Micros, job: Job) {
        let request = self.dispatchers[job.dispatcher].next_id();
        let deadline = now + 4 * SEC;
        let work_hint = (job.size * (0.7 + 0.6 * self.rng.f64())) as Micros;
        self.arrived += u64::from(!job.is_retry);
        self.jobs[job.dispatcher].insert(request, (Job { deadline, ..job }, 0));
        self.schedule(deadline, SimulationEvent::ClientTimeout { dispatcher: job.dispatcher, request });
        let arrival = Arrival { affinity_key: job.key, ..arrival(request, job.class, deadline, work_hint) };
        self.dispatch(now, job.dispatcher, Event::Arrival(arrival));
    }

    fn on_reach(&mut self, now: Micros, number: usize, attempt: SimulatedAttempt) {
        let Some(&(job, _)) = self.jobs[attempt.dispatcher].get(&attempt.request) else { return };
        self.record_received(now, number, job.size);
        let cores = KINDS[self.workers[number].kind].0;
        let worker = &mut self.workers[number];
        let outcome = if worker.is_down {
            Outcome::ConnectFailed
        } else if worker.running.len() >= cores && worker.queue.len() >= cores * QUEUED_JOBS_PER_CORE {
            Outcome::Rejected
        } else {
            worker.queue.push_back(attempt);
            return self.start_jobs(now, number);
        };
        self.schedule(now + NETWORK_DELAY, SimulationEvent::Ended { worker: number, attempt, outcome });
    }

    fn start_jobs(&mut self, now: Micros, number: usize) {
        let (cores, speed) = KINDS[self.workers[number].kind];
        while self.workers[number].running.len() < cores
            && let Some(attempt) = self.workers[number].queue.pop_front()
        {
            // Work that nobody waits for any more runs all the same.
            let job = self.jobs[attempt.dispatcher].get(&attempt.request);
            let size = job.map_or(MEAN_SIZE, |(job, _)| job.size);
            let run_time = size / speed / self.capacity_fraction(now, number);
            let incarnation = self.workers[number].incarnation;
            self.workers[number].running.push(attempt);
            let served = SimulationEvent::Served { worker: number, incarnation, attempt };
            self.schedule(now + run_time as Micros, served);
        }
    }

    fn end_attempt(&mut self, now: Micros, number: usize, attempt: SimulatedAttempt, outcome: Outcome) {
        let was_waited_for = self.jobs[attempt.dispatcher].contains_key(&attempt.request);
        if outcome == Outcome::Ok && was_waited_for {
            self.served += 1;
            self.jobs[attempt.dispatcher].remove(&attempt.request);
        }
        let sent = (WorkerId(number as u32), attempt.number);
        let ended = attempt_ended(attempt.request, sent, outcome, now - attempt.sent_at);
        self.dispatch(now, attempt.dispatcher, ended);
    }

    fn kill(&mut self, now: Micros, number: usize) {
        let worker = &mut self.workers[number];
        worker.incarnation += 1;
        worker.is_down = true;
        let mut lost: Vec<SimulatedAttempt> = worker.running.drain(..).collect();
        lost.extend(worker.queue.drain(..));
        for attempt in lost {
            self.end_attempt(now, number, attempt, Outcome::Reset);
        }
    }

    fn capacity_fraction(&self, now: Micros, number: usize) -> f64 {
        let worker = &self.workers[number];
        if worker.started_at == 0 {
            return 1.0;
        }
        let rules = &self.scenario.slow_start;
        let age = (now - worker.started_at) as f64 / rules.duration as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).min(1.0)
    }

    /// Records work that reaches a worker in slow start. With N as the overload factor times the
    /// number of jobs that it can run in a window, the worker falls over if it gets more than `N + 2·√N + 2`
    /// jobs of mean size in that time, `N + 3·√N + 3` if N is below 30.
    fn record_received(&mut self, now: Micros, number: usize, size: f64) {
        let fraction = self.capacity_fraction(now, number);
        let told_at = self.workers[number].told_at;
        if told_at == 0 || now < told_at || fraction >= 1.0 {
            return;
        }
        let rules = &self.scenario.slow_start;
        let (window, factor) = (rules.overload_window, rules.overload_factor);
        let jobs = factor * self.full_capacity(number) * fraction * window as f64 / MEAN_SIZE;
        let slack = if jobs < 30.0 { 3.0 * jobs.sqrt() + 3.0 } else { 2.0 * jobs.sqrt() + 2.0 };
        let worker = &mut self.workers[number];
        worker.received.push_back((now, size));
        worker.received_in_total += size;
        while worker.received.front().is_some_and(|&(at, _)| at + window < now) {
            worker.received.pop_front();
        }
        let received = worker.received.iter().map(|(_, size)| size).sum::<f64>() / MEAN_SIZE;
        worker.worst_of_limit = worker.worst_of_limit.max(received / (jobs + slack));
    }

    fn result(&self) -> SlowStartResult {
        let returned = || self.workers.iter().enumerate().filter(|(_, worker)| worker.told_at > 0);
        let received: f64 = returned().map(|(_, worker)| worker.received_in_total).sum();
        let capacity: f64 = returned().map(|(number, _)| self.capacity_until_end(number)).sum();
        SlowStartResult {
            worst_of_limit: returned().map(|(_, worker)| worker.worst_of_limit).fold(0.0, f64::max),
            used: received / capacity,
            served: self.served as f64 / self.arrived as f64,
        }
    }

    /// Returns the work that a worker can do from the news of its start to the end of slow start.
    fn capacity_until_end(&self, number: usize) -> f64 {
        let step = 10 * MS;
        let warm_at = self.workers[number].started_at + self.scenario.slow_start.duration;
        let times = (self.workers[number].told_at..self.scenario.end.min(warm_at)).step_by(step as usize);
        let fractions: f64 = times.map(|at| self.capacity_fraction(at, number)).sum();
        fractions * step as f64 * self.full_capacity(number)
    }
}

fn fleet_settings(scenario: &FleetScenario, instance: usize) -> Settings {
    let class = |idempotency| Class {
        latency_objective: 300 * MS,
        objective_stretch: 2.0,
        deadline: 4 * SEC,
        late_value_fraction: 0.3,
        ..class(idempotency)
    };
    Settings {
        instance: instance as u32,
        instances: scenario.dispatchers as u32,
        zone: instance % scenario.zones,
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NotIdempotent)],
        slow_start: scenario.slow_start.clone(),
        workers_report_start: false,
        clients_mark_retries: false,
        limits: Limits { max_attempts: 4, cancel: false, ..settings().limits },
        ..settings()
    }
}
