//! Simulations of three dispatchers and twelve workers that report neither the start nor the progress of a
//! job. The responses of the workers contain load reports, and their listed weights include the load. Jobs
//! have no affinity key.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;

const DISPATCHERS: usize = 3;
const WORKERS: usize = 12;
const SLOTS: usize = 3;
const MAX_ATTEMPTS: usize = 3;
/// Lower bound of the age of load reports and listed weights.
const REPORT_AGE: Micros = 300 * MS;
/// Interval at which load reports and listed weights are updated.
const REPORT_INTERVAL: Micros = 700 * MS;
const CONNECT_FAILURE_TIME: Micros = 150 * MS;
const INITIAL_CAPACITY: f64 = 0.15;
const SLOW_START: Micros = 20 * SEC;
/// By worker kind: speed in standard cores.
const SPEEDS: [f64; 2] = [1.4, 0.9];

/// Settings and load of a request class. `mean_size` is in microseconds on a standard core.
struct ClassLoad {
    mean_size: f64,
    latency_objective: Micros,
    objective_stretch: f64,
    client_timeout: Micros,
    share_of_requests: f64,
}

const SHORT: usize = 0;
const LONG: usize = 1;
const NON_IDEMPOTENT: usize = 2;
const CLASSES: [ClassLoad; 3] = [
    ClassLoad {
        mean_size: 320e3,
        latency_objective: 150 * MS,
        objective_stretch: 2.0,
        client_timeout: 5 * SEC,
        share_of_requests: 0.37,
    },
    ClassLoad {
        mean_size: 1_900e3,
        latency_objective: SEC,
        objective_stretch: 2.0,
        client_timeout: 25 * SEC,
        share_of_requests: 0.32,
    },
    ClassLoad {
        mean_size: 160e3,
        latency_objective: 150 * MS,
        objective_stretch: 1.5,
        client_timeout: 5 * SEC,
        share_of_requests: 0.31,
    },
];

/// Returns the mean size of the requests of all classes, in microseconds on a standard core.
fn mean_size() -> f64 {
    CLASSES.iter().map(|class| class.mean_size * class.share_of_requests).sum()
}

/// Identifies an attempt: the dispatcher and the request of its job, and its number within the request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentAttempt {
    dispatcher: usize,
    request: RequestId,
    number: u32,
}

impl SentAttempt {
    fn job(&self) -> (usize, RequestId) {
        (self.dispatcher, self.request)
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival,
    Served { worker: usize, incarnation: u32, attempt: SentAttempt },
    ConnectFailed { worker: usize, attempt: SentAttempt },
    ClientTimeout { dispatcher: usize, request: RequestId },
    Timer { dispatcher: usize, token: u64 },
    UpdateReports,
}

struct Job {
    class: usize,
    size: f64,
    arrived_at: Micros,
    /// Worker and time of the send of each attempt.
    attempts: Vec<(usize, Micros)>,
    /// Number of attempts that may have been executed.
    executions: u32,
    is_concluded: bool,
}

struct ServedJob {
    class: usize,
    arrived_at: Micros,
    in_time: bool,
}

#[derive(Default)]
struct SimulatedWorker {
    incarnation: u32,
    is_down: bool,
    /// 0 if that is long ago.
    started_at: Micros,
    running: Vec<SentAttempt>,
    queue: VecDeque<SentAttempt>,
    /// Number of its jobs at each update of the load reports, with the time of the update.
    reported_jobs: VecDeque<(Micros, usize)>,
    /// Jobs sent to it in slow start: time of the send and size.
    sent_in_slow_start: Vec<(Micros, f64)>,
}

impl SimulatedWorker {
    /// Returns the number of its jobs according to the latest update that is at least [`REPORT_AGE`] old.
    fn reported_jobs(&self, now: Micros) -> usize {
        self.reported_jobs.iter().rev().find(|(at, _)| now - at >= REPORT_AGE).map_or(0, |(_, jobs)| *jobs)
    }

    /// Returns the work sent in slow start within the second that begins at `from`, as a fraction of the work
    /// at which a worker fails: N + 3·√N + 3 jobs of mean size, where N is three times the number of jobs
    /// that it can run in that second.
    fn overload_from(&self, from: Micros) -> f64 {
        let in_window = self.sent_in_slow_start.iter().filter(|(at, _)| (from..from + SEC).contains(at));
        let capacity = capacity_fraction(from, self.started_at);
        let jobs = 3.0 * SLOTS as f64 * capacity * 1e6 / mean_size();
        let limit = jobs + 3.0 * jobs.sqrt() + 3.0;
        in_window.map(|(_, size)| size).sum::<f64>() / mean_size() / limit
    }
}

struct Simulation {
    dispatchers: Vec<DispatcherHarness>,
    workers: Vec<SimulatedWorker>,
    jobs: BTreeMap<(usize, RequestId), Job>,
    schedule: BinaryHeap<Reverse<(Micros, u64, SimulationEvent)>>,
    rng: fastrand::Rng,
    last_sequence_number: u64,
    mean_gap: f64,
    /// Whether no update of the worker list reaches a dispatcher.
    discovery_is_down: bool,
    /// Largest number of jobs that a worker had at the same time.
    max_jobs_at_worker: usize,
    /// Number of dispatchers to which clients send requests, from the first one.
    used_dispatchers: usize,
    served: Vec<ServedJob>,
}

fn capacity_fraction(now: Micros, started_at: Micros) -> f64 {
    if started_at == 0 {
        return 1.0;
    }
    let age = (now - started_at) as f64;
    (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age / SLOW_START as f64).min(1.0)
}

fn slow_start_rules() -> SlowStartRules {
    SlowStartRules {
        initial_capacity: INITIAL_CAPACITY,
        duration: SLOW_START,
        overload_window: SEC,
        ..settings().slow_start
    }
}

fn simulation_settings(instance: usize) -> Settings {
    let class = |load: &ClassLoad, idempotency| Class {
        idempotency,
        latency_objective: load.latency_objective,
        objective_stretch: load.objective_stretch,
        deadline: load.client_timeout,
        priority_weight: 1.0,
        late_value_fraction: 0.3,
        worker_kind: None,
    };
    Settings {
        instance: instance as u32,
        instances: DISPATCHERS as u32,
        classes: vec![
            class(&CLASSES[SHORT], Idempotency::Idempotent),
            class(&CLASSES[LONG], Idempotency::Idempotent),
            class(&CLASSES[NON_IDEMPOTENT], Idempotency::NotIdempotent),
        ],
        slow_start: slow_start_rules(),
        workers_report_start: false,
        clients_mark_retries: false,
        weights_include_load: true,
        limits: Limits { cancel: false, ..settings().limits },
        report_fields: ReportFields { cpu_utilization: Some(1), free_slots: Some(0) },
        ..settings()
    }
}

impl Simulation {
    /// Creates a simulation in which clients request `load` times the work that all workers can do.
    fn new(load: f64, seed: u64) -> Simulation {
        let dispatcher = |instance: usize| {
            DispatcherHarness::without_workers(simulation_settings(instance), seed + instance as u64)
        };
        let total_speed = (WORKERS * SLOTS) as f64 * SPEEDS.iter().sum::<f64>() / 2.0;
        let mut simulation = Simulation {
            dispatchers: (0..DISPATCHERS).map(dispatcher).collect(),
            workers: (0..WORKERS).map(|_| SimulatedWorker::default()).collect(),
            jobs: BTreeMap::new(),
            schedule: BinaryHeap::new(),
            rng: fastrand::Rng::with_seed(seed),
            last_sequence_number: 0,
            mean_gap: mean_size() / (load * total_speed),
            discovery_is_down: false,
            max_jobs_at_worker: 0,
            used_dispatchers: DISPATCHERS,
            served: Vec::new(),
        };
        for dispatcher in 0..DISPATCHERS {
            let list = (0..WORKERS).map(|number| simulation.entry(0, number)).collect();
            simulation.dispatch(0, dispatcher, Event::WorkerList(WorkerListUpdate::Cached(list)));
        }
        simulation.schedule(0, SimulationEvent::Arrival);
        simulation.schedule(0, SimulationEvent::UpdateReports);
        simulation
    }

    fn entry(&self, now: Micros, number: usize) -> WorkerEntry {
        let worker = &self.workers[number];
        let jobs_per_slot = worker.reported_jobs(now) as f64 / SLOTS as f64;
        WorkerEntry {
            lifecycle: if worker.is_down { Lifecycle::Gone } else { Lifecycle::Ready },
            started_at: worker.started_at,
            weight: SLOTS as f64 / (1.0 + jobs_per_slot),
            kind: number % SPEEDS.len(),
            cell: 0,
            ..entry(number as u32)
        }
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.last_sequence_number += 1;
        self.schedule.push(Reverse((at, self.last_sequence_number, event)));
    }

    fn dispatch(&mut self, now: Micros, dispatcher: usize, event: Event) {
        for action in self.dispatchers[dispatcher].dispatch(now, event) {
            match action {
                Action::Send { request, worker, .. } => {
                    self.send(now, dispatcher, request, worker.0 as usize);
                }
                Action::SetTimer { delay, token } => {
                    self.schedule(now + delay, SimulationEvent::Timer { dispatcher, token });
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let job = self.jobs.get_mut(&(dispatcher, request)).expect("the request has arrived");
                    assert!(!job.is_concluded, "a request that is concluded is rejected or failed");
                    job.is_concluded = true;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, dispatcher: usize, request: RequestId, number: usize) {
        let job = self.jobs.get_mut(&(dispatcher, request)).expect("the request has arrived");
        let attempt = SentAttempt { dispatcher, request, number: job.attempts.len() as u32 };
        assert!(
            !job.is_concluded && job.attempts.len() < MAX_ATTEMPTS,
            "an attempt is sent for a request that is concluded, or beyond the {MAX_ATTEMPTS} permitted ones"
        );
        assert!(
            job.class != NON_IDEMPOTENT || job.executions == 0,
            "a request that is not idempotent and may have been executed is sent again"
        );
        job.attempts.push((number, now));
        let size = job.size;
        let worker = &mut self.workers[number];
        if worker.is_down {
            let failed = SimulationEvent::ConnectFailed { worker: number, attempt };
            return self.schedule(now + CONNECT_FAILURE_TIME, failed);
        }
        if capacity_fraction(now, worker.started_at) < 1.0 {
            worker.sent_in_slow_start.push((now, size));
        }
        worker.queue.push_back(attempt);
        self.max_jobs_at_worker = self.max_jobs_at_worker.max(worker.queue.len() + worker.running.len());
        self.start_jobs(now, number);
    }

    fn start_jobs(&mut self, now: Micros, number: usize) {
        while self.workers[number].running.len() < SLOTS
            && let Some(attempt) = self.workers[number].queue.pop_front()
        {
            let worker = &mut self.workers[number];
            worker.running.push(attempt);
            let size = self.jobs[&attempt.job()].size;
            let run_time = size / capacity_fraction(now, worker.started_at) / SPEEDS[number % SPEEDS.len()];
            let incarnation = worker.incarnation;
            let served = SimulationEvent::Served { worker: number, incarnation, attempt };
            self.schedule(now + run_time as Micros, served);
        }
    }

    fn end_attempt(&mut self, now: Micros, number: usize, attempt: SentAttempt, outcome: Outcome) {
        let free_slots = SLOTS.saturating_sub(self.workers[number].reported_jobs(now)) as f64;
        let job = self.jobs.get_mut(&attempt.job()).expect("the request has arrived");
        let elapsed = now - job.attempts[attempt.number as usize].1;
        job.executions += u32::from(outcome != Outcome::ConnectFailed);
        job.is_concluded |= outcome == Outcome::Ok;
        let request_concluded = job.is_concluded;
        if outcome == Outcome::Ok {
            let class = &CLASSES[job.class];
            let stretch = (class.objective_stretch * job.size) as Micros;
            let in_time = now - job.arrived_at <= class.latency_objective + stretch;
            self.served.push(ServedJob { class: job.class, arrived_at: job.arrived_at, in_time });
        }
        let load_report = self.load_report(free_slots);
        let has_report = free_slots == 0.0 || outcome == Outcome::Ok;
        let ended = Event::AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            worker: WorkerId(number as u32),
            outcome,
            elapsed,
            request_concluded,
            load_report: if has_report { load_report } else { Vec::new() },
        };
        self.dispatch(now, attempt.dispatcher, ended);
    }

    /// Returns a load report with these free slots. One in five is empty or has unusual values: the host
    /// drops malformed reports, but the dispatcher must cope with any values.
    fn load_report(&mut self, free_slots: f64) -> Vec<f64> {
        match self.rng.u8(0..20) {
            0 => vec![f64::NAN, 0.5],
            1 => vec![1e300],
            2 => vec![-4.0, f64::INFINITY],
            3 => Vec::new(),
            _ => vec![free_slots, 0.5],
        }
    }

    fn arrive(&mut self, now: Micros) {
        let dispatcher = self.rng.usize(..self.used_dispatchers);
        let class = self.random_class();
        let mean_size = CLASSES[class].mean_size;
        let size = (-mean_size * (1.0 - self.rng.f64()).ln()).clamp(20e3, 5.0 * mean_size);
        let work_hint = (size * (0.6 + 0.9 * self.rng.f64())) as Micros;
        let request = self.dispatchers[dispatcher].next_id();
        let deadline = now + CLASSES[class].client_timeout;
        let job =
            Job { class, size, arrived_at: now, attempts: Vec::new(), executions: 0, is_concluded: false };
        self.jobs.insert((dispatcher, request), job);
        self.schedule(deadline, SimulationEvent::ClientTimeout { dispatcher, request });
        self.dispatch(now, dispatcher, Event::Arrival(arrival(request, class, deadline, work_hint)));
    }

    fn random_class(&mut self) -> usize {
        let uniform_sample = self.rng.f64();
        if uniform_sample < CLASSES[SHORT].share_of_requests {
            SHORT
        } else if uniform_sample < CLASSES[SHORT].share_of_requests + CLASSES[LONG].share_of_requests {
            LONG
        } else {
            NON_IDEMPOTENT
        }
    }

    fn run(&mut self, until: Micros) {
        while self.schedule.peek().is_some_and(|next| next.0.0 < until) {
            let Some(Reverse((now, _, event))) = self.schedule.pop() else { return };
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: Micros, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => {
                self.arrive(now);
                let gap = -self.mean_gap * (1.0 - self.rng.f64()).ln();
                self.schedule(now + gap as Micros + 1, SimulationEvent::Arrival);
            }
            SimulationEvent::Served { worker, incarnation, attempt } => {
                if self.workers[worker].incarnation != incarnation {
                    return;
                }
                self.workers[worker].running.retain(|running| running.job() != attempt.job());
                if !self.jobs[&attempt.job()].is_concluded {
                    self.end_attempt(now, worker, attempt, Outcome::Ok);
                }
                self.start_jobs(now, worker);
            }
            SimulationEvent::ConnectFailed { worker, attempt } => {
                if !self.jobs[&attempt.job()].is_concluded {
                    self.end_attempt(now, worker, attempt, Outcome::ConnectFailed);
                }
            }
            SimulationEvent::ClientTimeout { dispatcher, request } => {
                self.on_client_timeout(now, dispatcher, request);
            }
            SimulationEvent::Timer { dispatcher, token } => {
                self.dispatch(now, dispatcher, Event::Timer(token));
            }
            SimulationEvent::UpdateReports => {
                for worker in &mut self.workers {
                    worker.reported_jobs.push_back((now, worker.running.len() + worker.queue.len()));
                }
                self.update_lists(now);
                self.schedule(now + REPORT_INTERVAL, SimulationEvent::UpdateReports);
            }
        }
    }

    fn on_client_timeout(&mut self, now: Micros, dispatcher: usize, request: RequestId) {
        let job = &self.jobs[&(dispatcher, request)];
        if let (false, Some(&(worker, _))) = (job.is_concluded, job.attempts.last()) {
            let attempt = SentAttempt { dispatcher, request, number: job.attempts.len() as u32 - 1 };
            self.end_attempt(now, worker, attempt, Outcome::Timeout);
        }
        self.dispatch(now, dispatcher, Event::ClientDisconnected(request));
        let job = self.jobs.get_mut(&(dispatcher, request)).expect("the request has arrived");
        assert!(
            job.is_concluded || job.attempts.is_empty() || job.executions > 0,
            "a request that was sent and never executed has no answer at its deadline"
        );
        job.is_concluded = true;
    }

    fn update_lists(&mut self, now: Micros) {
        if self.discovery_is_down {
            return;
        }
        for dispatcher in 0..DISPATCHERS {
            let list: Vec<WorkerEntry> = (0..WORKERS).map(|number| self.entry(now, number)).collect();
            self.dispatch(now, dispatcher, list_delta(list));
        }
    }

    /// Kills workers with all their jobs, whose attempts end with [`Outcome::Reset`].
    fn kill_workers(&mut self, now: Micros, numbers: Range<usize>) {
        for number in numbers {
            let worker = &mut self.workers[number];
            worker.incarnation += 1;
            worker.is_down = true;
            let mut lost: Vec<SentAttempt> = worker.running.drain(..).collect();
            lost.extend(worker.queue.drain(..));
            for lost in lost {
                let job = &self.jobs[&lost.job()];
                let last = SentAttempt { number: job.attempts.len() as u32 - 1, ..lost };
                if !job.is_concluded {
                    self.end_attempt(now, number, last, Outcome::Reset);
                }
            }
        }
    }

    fn restart_workers(&mut self, now: Micros, numbers: Range<usize>) {
        for worker in &mut self.workers[numbers] {
            worker.is_down = false;
            worker.started_at = now;
        }
    }

    /// Returns the most work that a worker in slow start was sent within a second, as a fraction of the work
    /// at which it fails.
    fn max_overload(&self) -> f64 {
        let of_worker = |worker: &SimulatedWorker| {
            let windows = worker.sent_in_slow_start.iter();
            windows.map(|&(at, _)| worker.overload_from(at)).fold(0.0, f64::max)
        };
        self.workers.iter().map(of_worker).fold(0.0, f64::max)
    }

    /// Returns by class the share of the requests that were served within their latency objective, of those
    /// that arrived between these times.
    fn in_time(&self, from: Micros, to: Micros) -> [f64; 3] {
        let is_within = |at: Micros| (from..to).contains(&at);
        [SHORT, LONG, NON_IDEMPOTENT].map(|class| {
            let arrived =
                self.jobs.values().filter(|job| job.class == class && is_within(job.arrived_at)).count();
            let served = self
                .served
                .iter()
                .filter(|job| job.class == class && is_within(job.arrived_at) && job.in_time)
                .count();
            served as f64 / arrived as f64
        })
    }
}

/// Guards against long queues at workers that report no starts: since a dispatcher does not see these queues,
/// it must not send all of its jobs at once, or all are late.
#[test]
fn jobs_wait_at_the_dispatcher_where_workers_report_no_starts() {
    let mut simulation = Simulation::new(1.15, 5);
    simulation.run(45 * SEC);
    let [short, long, non_idempotent] = simulation.in_time(5 * SEC, 30 * SEC);
    let max_jobs = simulation.max_jobs_at_worker;
    println!(
        "share in time: short {short:.2}, long {long:.2}, non-idempotent {non_idempotent:.2}; \
         at most {max_jobs} jobs at a worker"
    );
    assert!(max_jobs <= SLOTS + DISPATCHERS, "a worker had {max_jobs} jobs at the same time");
    assert!(
        short >= 0.4 && long >= 0.5 && non_idempotent >= 0.4,
        "share in time: short {short:.2}, long {long:.2}, non-idempotent {non_idempotent:.2}"
    );
    // Larger jobs should go to faster workers, although only responses show how fast these are; this is
    // printed, not checked.
    let mean_size_at = |kind: usize| {
        let is_at_kind =
            |job: &&Job| job.class == LONG && job.attempts.first().is_some_and(|sent| sent.0 % 2 == kind);
        let sizes: Vec<f64> = simulation.jobs.values().filter(is_at_kind).map(|job| job.size).collect();
        sizes.iter().sum::<f64>() / sizes.len() as f64
    };
    println!(
        "mean size of long jobs in µs: {:.0} at fast workers, {:.0} at slow ones",
        mean_size_at(0),
        mean_size_at(1)
    );
}

/// Guards against an overload of restarted workers, and against the repeat of jobs that may have been
/// executed: a quarter of the workers are killed at once, with all their jobs, and restart in slow start 8 s
/// later.
#[test]
fn quarter_of_the_workers_that_restarts_is_not_overloaded_and_nothing_runs_twice() {
    let mut simulation = Simulation::new(0.7, 6);
    simulation.run(10 * SEC);
    simulation.kill_workers(10 * SEC, 0..3);
    simulation.run(18 * SEC);
    simulation.restart_workers(18 * SEC, 0..3);
    simulation.run(50 * SEC);
    let ([short, long, non_idempotent], overload) =
        (simulation.in_time(11 * SEC, 35 * SEC), simulation.max_overload());
    println!(
        "share in time: short {short:.2}, long {long:.2}, non-idempotent {non_idempotent:.2}; \
         at most {overload:.2} of the work at which a worker fails"
    );
    assert!(
        overload > 0.1 && overload < 1.0,
        "a worker in slow start was sent {overload:.2} of the work at which it fails"
    );
    assert!(
        short >= 0.6 && long >= 0.7 && non_idempotent >= 0.6,
        "share in time: short {short:.2}, long {long:.2}, non-idempotent {non_idempotent:.2}"
    );
}

/// Guards against requests that are not served because the worker list is outdated. Discovery is down for the
/// first 25 s: three workers of the cached list are down from the start, three more are killed at 6 s, and
/// all of them restart at 15 s.
#[test]
fn requests_are_served_while_discovery_is_down() {
    let mut simulation = Simulation::new(0.5, 7);
    simulation.discovery_is_down = true;
    for worker in &mut simulation.workers[0..3] {
        worker.is_down = true;
    }
    simulation.run(6 * SEC);
    simulation.kill_workers(6 * SEC, 3..6);
    simulation.run(15 * SEC);
    simulation.restart_workers(15 * SEC, 0..6);
    simulation.run(25 * SEC);
    simulation.discovery_is_down = false;
    simulation.run(50 * SEC);
    let [short, long, non_idempotent] = simulation.in_time(0, 25 * SEC);
    println!("share in time: short {short:.2}, long {long:.2}, non-idempotent {non_idempotent:.2}");
    assert!(
        short >= 0.5 && long >= 0.6 && non_idempotent >= 0.5,
        "share in time: short {short:.2}, long {long:.2}, non-idempotent {non_idempotent:.2}"
    );
    let later = simulation.in_time(27 * SEC, 40 * SEC);
    assert!(
        later.iter().all(|share| *share >= 0.8),
        "share in time by class after the worker list was updated: {later:?}"
    );
}

/// Returns the number of jobs sent to an idle worker in slow start, if the listed weights of all other
/// workers fall to 1/`load` when it starts.
fn jobs_sent_in_slow_start(load: f64) -> usize {
    let settings = Settings { weights_include_load: true, slow_start: slow_start_rules(), ..settings() };
    let mut harness = DispatcherHarness::without_workers(settings, 3);
    let entry = |number: u32, weight: f64| WorkerEntry { weight, ..entry(number) };
    harness.dispatch(0, full_list((0..6).map(|number| entry(number, 3.0))));
    let mut now = SEC;
    for _ in 0..40 {
        harness.serve(now, 200 * MS, |_| 1.0);
        now += 300 * MS;
    }
    let mut list: Vec<WorkerEntry> = (1..6).map(|number| entry(number, 3.0 / load)).collect();
    list.push(WorkerEntry { started_at: now, ..entry(0, 3.0) });
    harness.dispatch(now, list_delta(list));
    // The other workers send no more responses and are soon full, so that only the slow-start budget limits
    // the jobs sent to worker 0.
    let mut sent = 0;
    for job in 0..200 {
        let at = now + job * 4 * MS;
        let (request, actions) = harness.arrive(at, 1, 50 * MS);
        let worker = WorkerId(0);
        if sends(&actions).iter().any(|send| send.worker == worker) {
            sent += 1;
            harness.dispatch(at + MS, Event::AttemptStarted { request, attempt: 0, worker });
            harness.end_attempt(at + 2 * MS, request, (worker, 0), Outcome::Ok);
        }
    }
    sent
}

/// Guards against an overload of an idle worker in slow start: the weights of all other workers, which
/// include their load, fall to a fifth at once. The weight of the idle worker is then larger than the others,
/// but its capacity is not, so it must not be sent more jobs than otherwise.
#[test]
fn weights_that_fall_with_the_load_send_no_more_to_an_idle_worker_in_slow_start() {
    let sent = [jobs_sent_in_slow_start(5.0), jobs_sent_in_slow_start(1.0)];
    println!("jobs sent if the other weights fall, and if not: {sent:?}");
    assert!(sent[1] > 0 && sent[0] <= sent[1], "jobs sent if the other weights fall, and if not: {sent:?}");
}

/// Guards against a dispatcher that uses only its fair share of the slots: two of three dispatchers get no
/// requests, and the third learns from load reports which slots they leave free.
#[test]
fn dispatcher_uses_the_slots_that_idle_dispatchers_leave_free() {
    let mut simulation = Simulation::new(0.55, 8);
    simulation.used_dispatchers = 1;
    simulation.run(40 * SEC);
    let [short, long, non_idempotent] = simulation.in_time(2 * SEC, 30 * SEC);
    let max_jobs = simulation.max_jobs_at_worker;
    println!(
        "share in time: short {short:.2}, long {long:.2}, non-idempotent {non_idempotent:.2}; \
         at most {max_jobs} jobs at a worker"
    );
    assert!(
        short >= 0.85 && long >= 0.85 && non_idempotent >= 0.85,
        "share in time: short {short:.2}, long {long:.2}, non-idempotent {non_idempotent:.2}"
    );
}

/// Returns by worker how many of 48 dispatchers send it their first job. All of them have just started and
/// have received the same lists.
fn first_jobs(settings: &Settings, lists: &[&[WorkerEntry]]) -> Vec<usize> {
    let mut jobs_at = vec![0; lists[0].len()];
    for instance in 0..48 {
        let settings = Settings { instance, ..settings.clone() };
        let mut harness = DispatcherHarness::without_workers(settings, 100 + u64::from(instance));
        for list in lists {
            harness.dispatch(0, full_list(list.to_vec()));
        }
        let (_, actions) = harness.arrive(2 * MS, 0, 200 * MS);
        jobs_at[sends(&actions)[0].worker.0 as usize] += 1;
    }
    jobs_at
}

fn settings_with_load_in_weights(instances: u32) -> Settings {
    Settings { instances, workers_report_start: false, weights_include_load: true, ..settings() }
}

/// Returns the entries of ten workers: the first five have this weight, the others have weight 3.
fn half_with_weight(weight: f64) -> Vec<WorkerEntry> {
    let weight_of = |number| if number < 5 { weight } else { 3.0 };
    (0..10).map(|number| WorkerEntry { weight: weight_of(number), ..entry(number) }).collect()
}

/// Guards against herding: all dispatchers start at once, without statistics, and must not all send their
/// first job to the first worker of the list.
#[test]
fn first_jobs_of_many_dispatchers_are_spread_over_the_workers() {
    let list: Vec<WorkerEntry> = (0..9).map(|number| WorkerEntry { weight: 3.0, ..entry(number) }).collect();
    let jobs_at = first_jobs(&settings_with_load_in_weights(48), &[&list]);
    println!("first jobs by worker: {jobs_at:?}");
    assert!(jobs_at.iter().all(|&jobs| jobs <= 16), "first jobs by worker: {jobs_at:?}");
}

/// The listed weights, which include the load, show four jobs for each core at half of the workers. If one
/// job exceeds a dispatcher's share of the slots, the dispatcher adds the external wait that follows from
/// these weights when it compares the worker for the job's size with the random candidate. A dispatcher that
/// is the only one considers only its own jobs.
#[test]
fn dispatcher_among_many_avoids_workers_whose_weight_shows_load() {
    let (idle, half_loaded) = (half_with_weight(3.0), half_with_weight(0.6));
    let jobs_at_loaded = |instances| {
        let jobs_at = first_jobs(&settings_with_load_in_weights(instances), &[&idle, &half_loaded]);
        jobs_at[..5].iter().sum::<usize>()
    };
    let (among_many, alone) = (jobs_at_loaded(48), jobs_at_loaded(1));
    println!("first jobs at loaded workers: {among_many} of 48 with 48 dispatchers, {alone} of 48 with one");
    assert!(among_many <= 18, "{among_many} of 48 first jobs at loaded workers if there are 48 dispatchers");
    assert!(
        (18..=30).contains(&alone),
        "{alone} of 48 first jobs at loaded workers if there is one dispatcher"
    );
}

/// Guards against workers of weight 0 that are taken for idle ones: they get almost no jobs while there are
/// others.
#[test]
fn workers_of_weight_zero_get_no_first_jobs() {
    let settings = Settings { instances: 48, ..settings() };
    let jobs: usize = first_jobs(&settings, &[&half_with_weight(0.0)])[..5].iter().sum();
    println!("{jobs} of 48 first jobs at workers of weight 0");
    assert!(jobs <= 4, "{jobs} of 48 first jobs at workers of weight 0");
}
