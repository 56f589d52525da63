//! Workers that report neither starts nor progress, jobs without keys, load reports in answers, weights that fall with
//! the load: three dispatchers and twelve workers on a simulated clock.

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
/// Load reports and weights are at least this old...
const REPORT_AGE: Micros = 300 * MS;
/// ...and renewed at this interval.
const REPORT_INTERVAL: Micros = 700 * MS;
const CONNECT_FAILURE_TIME: Micros = 150 * MS;
const INITIAL_CAPACITY: f64 = 0.15;
const SLOW_START: Micros = 20 * SEC;
/// The speed of the workers of each kind.
const SPEEDS: [f64; 2] = [1.4, 0.9];

/// What is requested of a class.
struct ClassLoad {
    mean_size: f64,
    latency_objective: Micros,
    objective_stretch: f64,
    patience: Micros,
    share_of_requests: f64,
}

const SHORT: usize = 0;
const LONG: usize = 1;
/// Must not run twice.
const ONCE: usize = 2;
const CLASSES: [ClassLoad; 3] = [
    ClassLoad {
        mean_size: 320e3,
        latency_objective: 150 * MS,
        objective_stretch: 2.0,
        patience: 5 * SEC,
        share_of_requests: 0.37,
    },
    ClassLoad {
        mean_size: 1_900e3,
        latency_objective: SEC,
        objective_stretch: 2.0,
        patience: 25 * SEC,
        share_of_requests: 0.32,
    },
    ClassLoad {
        mean_size: 160e3,
        latency_objective: 150 * MS,
        objective_stretch: 1.5,
        patience: 5 * SEC,
        share_of_requests: 0.31,
    },
];

/// The mean size of all requests.
fn mean_size() -> f64 {
    CLASSES.iter().map(|class| class.mean_size * class.share_of_requests).sum()
}

/// One attempt of a job.
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
enum Occurrence {
    Arrival,
    Served { worker: usize, incarnation: u32, attempt: SentAttempt },
    ConnectFailed { worker: usize, attempt: SentAttempt },
    ClientTimeout { dispatcher: usize, request: RequestId },
    Timer { dispatcher: usize, token: u64 },
    RenewReports,
}

struct Job {
    class: usize,
    size: f64,
    arrived_at: Micros,
    /// Each attempt: its worker and when it was sent.
    attempts: Vec<(usize, Micros)>,
    /// Attempts that may have run.
    executions: u32,
    is_concluded: bool,
}

/// A job that was served.
struct ServedJob {
    class: usize,
    arrived_at: Micros,
    in_time: bool,
}

/// A simulated worker.
#[derive(Default)]
struct FakeWorker {
    incarnation: u32,
    is_dead: bool,
    /// 0 for long ago.
    started_at: Micros,
    running: Vec<SentAttempt>,
    queue: VecDeque<SentAttempt>,
    /// The number of its jobs at each renewal of the reports.
    reported_jobs: VecDeque<(Micros, usize)>,
    /// The sizes of the jobs that it was sent in slow start, and when.
    sent_in_slow_start: Vec<(Micros, f64)>,
}

impl FakeWorker {
    /// The number of its jobs, as the latest report that has come through says.
    fn reported_jobs(&self, now: Micros) -> usize {
        self.reported_jobs.iter().rev().find(|(at, _)| now - at >= REPORT_AGE).map_or(0, |(_, jobs)| *jobs)
    }

    /// The work sent within a second from then on in slow start, relative to that at which a worker fails:
    /// N + 3·√N + 3 jobs of mean size, where N are three times those that it can do in that time.
    fn overload_from(&self, from: Micros) -> f64 {
        let in_window = self.sent_in_slow_start.iter().filter(|(at, _)| (from..from + SEC).contains(at));
        let capacity = capacity_fraction(from, self.started_at);
        let jobs = 3.0 * SLOTS as f64 * capacity * 1e6 / mean_size();
        let limit = jobs + 3.0 * jobs.sqrt() + 3.0;
        in_window.map(|(_, size)| size).sum::<f64>() / mean_size() / limit
    }
}

struct World {
    dispatchers: Vec<DispatcherHarness>,
    workers: Vec<FakeWorker>,
    jobs: BTreeMap<(usize, RequestId), Job>,
    schedule: BinaryHeap<Reverse<(Micros, u64, Occurrence)>>,
    rng: fastrand::Rng,
    next_number: u64,
    mean_gap: f64,
    /// No update of the worker list reaches a dispatcher.
    discovery_is_down: bool,
    /// The most jobs that any worker had at once.
    max_jobs_at_worker: usize,
    /// Clients use this many of the dispatchers.
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

fn world_settings(instance: usize) -> Settings {
    let class = |load: &ClassLoad, idempotency| Class {
        idempotency,
        latency_objective: load.latency_objective,
        objective_stretch: load.objective_stretch,
        deadline: load.patience,
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
            class(&CLASSES[ONCE], Idempotency::NotIdempotent),
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

impl World {
    /// The work requested is this multiple of what all workers can do.
    fn new(load: f64, seed: u64) -> World {
        let dispatcher = |instance: usize| {
            DispatcherHarness::without_workers(world_settings(instance), seed + instance as u64)
        };
        let total_speed = (WORKERS * SLOTS) as f64 * SPEEDS.iter().sum::<f64>() / 2.0;
        let mut world = World {
            dispatchers: (0..DISPATCHERS).map(dispatcher).collect(),
            workers: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            jobs: BTreeMap::new(),
            schedule: BinaryHeap::new(),
            rng: fastrand::Rng::with_seed(seed),
            next_number: 0,
            mean_gap: mean_size() / (load * total_speed),
            discovery_is_down: false,
            max_jobs_at_worker: 0,
            used_dispatchers: DISPATCHERS,
            served: Vec::new(),
        };
        for dispatcher in 0..DISPATCHERS {
            let list = (0..WORKERS).map(|number| world.entry(0, number)).collect();
            world.dispatch(0, dispatcher, Event::WorkerList(WorkerListUpdate::Cached(list)));
        }
        world.schedule(0, Occurrence::Arrival);
        world.schedule(0, Occurrence::RenewReports);
        world
    }

    fn entry(&self, now: Micros, number: usize) -> WorkerEntry {
        let worker = &self.workers[number];
        let jobs_per_slot = worker.reported_jobs(now) as f64 / SLOTS as f64;
        WorkerEntry {
            lifecycle: if worker.is_dead { Lifecycle::Gone } else { Lifecycle::Ready },
            started_at: worker.started_at,
            weight: SLOTS as f64 / (1.0 + jobs_per_slot),
            kind: number % SPEEDS.len(),
            cell: 0,
            ..entry(number as u32)
        }
    }

    fn schedule(&mut self, at: Micros, occurrence: Occurrence) {
        self.next_number += 1;
        self.schedule.push(Reverse((at, self.next_number, occurrence)));
    }

    fn dispatch(&mut self, now: Micros, dispatcher: usize, event: Event) {
        for action in self.dispatchers[dispatcher].dispatch(now, event) {
            match action {
                Action::Send { request, worker, .. } => {
                    self.send(now, dispatcher, request, worker.0 as usize);
                }
                Action::SetTimer { delay, token } => {
                    self.schedule(now + delay, Occurrence::Timer { dispatcher, token });
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let job = self.jobs.get_mut(&(dispatcher, request)).expect("a request");
                    assert!(!job.is_concluded, "answered twice");
                    job.is_concluded = true;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, dispatcher: usize, request: RequestId, number: usize) {
        let job = self.jobs.get_mut(&(dispatcher, request)).expect("a request");
        let attempt = SentAttempt { dispatcher, request, number: job.attempts.len() as u32 };
        assert!(!job.is_concluded && job.attempts.len() < MAX_ATTEMPTS, "a send too many");
        assert!(job.class != ONCE || job.executions == 0, "it may have run, and was sent again");
        job.attempts.push((number, now));
        let size = job.size;
        let worker = &mut self.workers[number];
        if worker.is_dead {
            let failed = Occurrence::ConnectFailed { worker: number, attempt };
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
            let served = Occurrence::Served { worker: number, incarnation, attempt };
            self.schedule(now + run_time as Micros, served);
        }
    }

    fn end_attempt(&mut self, now: Micros, number: usize, attempt: SentAttempt, outcome: Outcome) {
        let free_slots = SLOTS.saturating_sub(self.workers[number].reported_jobs(now)) as f64;
        let job = self.jobs.get_mut(&attempt.job()).expect("a request");
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

    /// A load report, odd at times: the host drops what is malformed, the dispatcher must cope with odd values.
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
        let class = self.draw_class();
        let mean_size = CLASSES[class].mean_size;
        let size = (-mean_size * (1.0 - self.rng.f64()).ln()).clamp(20e3, 5.0 * mean_size);
        let work_hint = (size * (0.6 + 0.9 * self.rng.f64())) as Micros;
        let request = self.dispatchers[dispatcher].next_id();
        let deadline = now + CLASSES[class].patience;
        let job =
            Job { class, size, arrived_at: now, attempts: Vec::new(), executions: 0, is_concluded: false };
        self.jobs.insert((dispatcher, request), job);
        self.schedule(deadline, Occurrence::ClientTimeout { dispatcher, request });
        self.dispatch(now, dispatcher, Event::Arrival(arrival(request, class, deadline, work_hint)));
    }

    fn draw_class(&mut self) -> usize {
        let draw = self.rng.f64();
        if draw < CLASSES[SHORT].share_of_requests {
            SHORT
        } else if draw < CLASSES[SHORT].share_of_requests + CLASSES[LONG].share_of_requests {
            LONG
        } else {
            ONCE
        }
    }

    fn run(&mut self, until: Micros) {
        while self.schedule.peek().is_some_and(|next| next.0.0 < until) {
            let Some(Reverse((now, _, occurrence))) = self.schedule.pop() else { return };
            self.handle(now, occurrence);
        }
    }

    fn handle(&mut self, now: Micros, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrival => {
                self.arrive(now);
                let gap = -self.mean_gap * (1.0 - self.rng.f64()).ln();
                self.schedule(now + gap as Micros + 1, Occurrence::Arrival);
            }
            Occurrence::Served { worker, incarnation, attempt } => {
                if self.workers[worker].incarnation != incarnation {
                    return;
                }
                self.workers[worker].running.retain(|running| running.job() != attempt.job());
                if !self.jobs[&attempt.job()].is_concluded {
                    self.end_attempt(now, worker, attempt, Outcome::Ok);
                }
                self.start_jobs(now, worker);
            }
            Occurrence::ConnectFailed { worker, attempt } => {
                if !self.jobs[&attempt.job()].is_concluded {
                    self.end_attempt(now, worker, attempt, Outcome::ConnectFailed);
                }
            }
            Occurrence::ClientTimeout { dispatcher, request } => {
                self.on_client_timeout(now, dispatcher, request);
            }
            Occurrence::Timer { dispatcher, token } => {
                self.dispatch(now, dispatcher, Event::Timer(token));
            }
            Occurrence::RenewReports => {
                for worker in &mut self.workers {
                    worker.reported_jobs.push_back((now, worker.running.len() + worker.queue.len()));
                }
                self.update_lists(now);
                self.schedule(now + REPORT_INTERVAL, Occurrence::RenewReports);
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
        let job = self.jobs.get_mut(&(dispatcher, request)).expect("a request");
        assert!(job.is_concluded || job.attempts.is_empty() || job.executions > 0, "no answer in time");
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

    /// Workers die at once, with all jobs that they have.
    fn kill_workers(&mut self, now: Micros, numbers: Range<usize>) {
        for number in numbers {
            let worker = &mut self.workers[number];
            worker.incarnation += 1;
            worker.is_dead = true;
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
            worker.is_dead = false;
            worker.started_at = now;
        }
    }

    /// The most that a worker in slow start was sent within a second, relative to that at which it fails.
    fn max_overload(&self) -> f64 {
        let of_worker = |worker: &FakeWorker| {
            let windows = worker.sent_in_slow_start.iter();
            windows.map(|&(at, _)| worker.overload_from(at)).fold(0.0, f64::max)
        };
        self.workers.iter().map(of_worker).fold(0.0, f64::max)
    }

    /// The share of each class that arrived between these times and was served within its objective.
    fn in_time(&self, from: Micros, to: Micros) -> [f64; 3] {
        let is_within = |at: Micros| (from..to).contains(&at);
        [SHORT, LONG, ONCE].map(|class| {
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

/// A dispatcher that begins a queue where it can't see one fills every worker with all that it has: then all are late.
#[test]
fn jobs_wait_at_the_dispatcher_where_workers_report_no_starts() {
    let mut world = World::new(1.15, 5);
    world.run(45 * SEC);
    let [short, long, once] = world.in_time(5 * SEC, 30 * SEC);
    let max_jobs = world.max_jobs_at_worker;
    println!("in time {short:.2} {long:.2} {once:.2}, at most {max_jobs} jobs at a worker");
    assert!(max_jobs <= SLOTS + DISPATCHERS, "a worker had {max_jobs} jobs");
    assert!(short >= 0.4 && long >= 0.5 && once >= 0.4, "in time {short:.2} {long:.2} {once:.2}");
    // Larger jobs go to faster workers, also where nothing but answers shows how fast these are.
    let mean_size_at = |kind: usize| {
        let is_at_kind =
            |job: &&Job| job.class == LONG && job.attempts.first().is_some_and(|sent| sent.0 % 2 == kind);
        let sizes: Vec<f64> = world.jobs.values().filter(is_at_kind).map(|job| job.size).collect();
        sizes.iter().sum::<f64>() / sizes.len() as f64
    };
    println!("mean size at fast ones {:.0}, at slow ones {:.0}", mean_size_at(0), mean_size_at(1));
}

/// A quarter of the workers die at once with all that they have, and come back in slow start 8 s later.
#[test]
fn quarter_of_the_workers_that_restarts_is_not_overloaded_and_nothing_runs_twice() {
    let mut world = World::new(0.7, 6);
    world.run(10 * SEC);
    world.kill_workers(10 * SEC, 0..3);
    world.run(18 * SEC);
    world.restart_workers(18 * SEC, 0..3);
    world.run(50 * SEC);
    let ([short, long, once], overload) = (world.in_time(11 * SEC, 35 * SEC), world.max_overload());
    println!("in time {short:.2} {long:.2} {once:.2}, overload {overload:.2}");
    assert!(overload > 0.1 && overload < 1.0, "a worker was sent {overload:.2} of what it fails at");
    assert!(short >= 0.6 && long >= 0.7 && once >= 0.6, "in time {short:.2} {long:.2} {once:.2}");
}

/// Discovery is down from the start and for 25 s: three of the workers that the old list names are dead, three more die,
/// and all come back before any dispatcher is notified.
#[test]
fn requests_are_served_while_discovery_is_down() {
    let mut world = World::new(0.5, 7);
    world.discovery_is_down = true;
    for worker in &mut world.workers[0..3] {
        worker.is_dead = true;
    }
    world.run(6 * SEC);
    world.kill_workers(6 * SEC, 3..6);
    world.run(15 * SEC);
    world.restart_workers(15 * SEC, 0..6);
    world.run(25 * SEC);
    world.discovery_is_down = false;
    world.run(50 * SEC);
    let [short, long, once] = world.in_time(0, 25 * SEC);
    println!("in time {short:.2} {long:.2} {once:.2}");
    assert!(short >= 0.5 && long >= 0.6 && once >= 0.5, "in time {short:.2} {long:.2} {once:.2}");
    let later = world.in_time(27 * SEC, 40 * SEC);
    assert!(later.iter().all(|share| *share >= 0.8), "{later:?} once the list is back");
}

/// The jobs that an idle worker in slow start gets, where the weights of all others fall by this factor at once.
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
    // The others answer no more, and are soon full: only its budget limits the one in slow start.
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

/// Every weight falls to a fifth at once, but that of a worker that has just started and has no jobs. It is no larger
/// than it was for that, and is sent no more.
#[test]
fn weights_that_fall_with_the_load_send_no_more_to_an_idle_worker_in_slow_start() {
    let sent = [jobs_sent_in_slow_start(5.0), jobs_sent_in_slow_start(1.0)];
    println!("{sent:?}");
    assert!(sent[1] > 0 && sent[0] <= sent[1], "{sent:?}");
}

/// Two of three dispatchers are drained: the third has all the work, and learns from reports which slots they leave free.
#[test]
fn dispatcher_uses_the_slots_that_idle_dispatchers_leave_free() {
    let mut world = World::new(0.55, 8);
    world.used_dispatchers = 1;
    world.run(40 * SEC);
    let [short, long, once] = world.in_time(2 * SEC, 30 * SEC);
    let max_jobs = world.max_jobs_at_worker;
    println!("in time {short:.2} {long:.2} {once:.2}, at most {max_jobs} jobs at a worker");
    assert!(short >= 0.85 && long >= 0.85 && once >= 0.85, "in time {short:.2} {long:.2} {once:.2}");
}

/// How many of 48 dispatchers that have just started, and have the same lists, send their first job to each worker.
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

fn settings_of_load_weights(instances: u32) -> Settings {
    Settings { instances, workers_report_start: false, weights_include_load: true, ..settings() }
}

/// Ten workers, the first five of this weight, the others of weight 3.
fn half_of_weight(weight: f64) -> Vec<WorkerEntry> {
    let weight_of = |number| if number < 5 { weight } else { 3.0 };
    (0..10).map(|number| WorkerEntry { weight: weight_of(number), ..entry(number) }).collect()
}

/// All dispatchers start at once and know nothing: their first jobs must not all go to the first of the list.
#[test]
fn first_jobs_of_many_dispatchers_are_spread_over_the_workers() {
    let list: Vec<WorkerEntry> = (0..9).map(|number| WorkerEntry { weight: 3.0, ..entry(number) }).collect();
    let jobs_at = first_jobs(&settings_of_load_weights(48), &[&list]);
    println!("{jobs_at:?}");
    assert!(jobs_at.iter().all(|&jobs| jobs <= 16), "{jobs_at:?}");
}

/// Weights that include the load say that half of the workers have four jobs a core. Where one job is more than a
/// dispatcher's share, it compares the two workers that it draws by that; a dispatcher that is the only one goes by what
/// it sent itself.
#[test]
fn dispatcher_among_many_avoids_workers_whose_weight_shows_load() {
    let (idle, half_loaded) = (half_of_weight(3.0), half_of_weight(0.6));
    let jobs_at_loaded = |instances| {
        let jobs_at = first_jobs(&settings_of_load_weights(instances), &[&idle, &half_loaded]);
        jobs_at[..5].iter().sum::<usize>()
    };
    let (among_many, alone) = (jobs_at_loaded(48), jobs_at_loaded(1));
    println!("of 48: {among_many} among 48 dispatchers, {alone} where there is one");
    assert!(among_many <= 18, "{among_many}");
    assert!((18..=30).contains(&alone), "{alone}");
}

/// A weight of 0 does not mean that a worker is idle: it gets no job while there are others.
#[test]
fn workers_of_weight_zero_get_no_first_jobs() {
    let settings = Settings { instances: 48, ..settings() };
    let jobs: usize = first_jobs(&settings, &[&half_of_weight(0.0)])[..5].iter().sum();
    println!("{jobs} of 48");
    assert!(jobs <= 4, "{jobs} of 48");
}
