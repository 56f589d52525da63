//! Workers that tell neither starts nor progress, jobs without keys, load reports in answers, ratings that fall with what
//! a worker holds: three dispatchers and twelve workers on a simulated clock.

mod common;
use common::*;
use sorrelhaven_dispatcher::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const NODES: usize = 3;
const WORKERS: usize = 12;
const SLOTS: usize = 3;
/// Load reports and ratings are of so long ago at least, and renewed so often.
const LATE: Micros = 300 * MS;
const RENEWED: Micros = 700 * MS;
/// Safe and short, safe and long, must not run twice: mean size, aim, stretch, patience and share of the requests.
const KINDS: [(f64, Micros, f64, Micros, f64); 3] = [
    (320e3, 150 * MS, 2.0, 5 * SEC, 0.37),
    (1_900e3, SEC, 2.0, 25 * SEC, 0.32),
    (160e3, 150 * MS, 1.5, 5 * SEC, 0.31),
];
const ONCE: usize = 2;
const COLD: Micros = 20 * SEC;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    /// A job at a worker, in one of its lives.
    Done(usize, u32, usize, RequestId, u32),
    Refused(usize, usize, RequestId, u32),
    GivenUp(usize, RequestId),
    Timer(usize, u64),
    Renew,
}

struct Job {
    class: usize,
    size: f64,
    born: Micros,
    /// Each attempt: where and when.
    sent: Vec<(usize, Micros)>,
    /// Attempts that may have run.
    ran: u32,
    over: bool,
}

#[derive(Default)]
struct Box {
    life: u32,
    dead: bool,
    born: Micros,
    busy: Vec<(usize, RequestId)>,
    queue: VecDeque<(usize, RequestId, u32)>,
    /// What it held at each renewal.
    held: VecDeque<(Micros, usize)>,
    /// What it was sent while cold.
    pressure: Vec<(Micros, f64)>,
}

struct World {
    nodes: Vec<DispatcherHarness>,
    boxes: Vec<Box>,
    jobs: BTreeMap<(usize, RequestId), Job>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    rng: fastrand::Rng,
    number: u64,
    gap: f64,
    /// The list reaches no one.
    silent: bool,
    most_held: usize,
    /// Clients come to so many of the dispatchers.
    active: usize,
    /// Each job that was served: its class, when it came, and whether it was in time.
    served: Vec<(usize, Micros, bool)>,
}

/// How fast a worker of each kind is.
const SPEEDS: [f64; 2] = [1.4, 0.9];

fn warmth(now: Micros, born: Micros) -> f64 {
    if born == 0 { 1.0 } else { (0.15 + 0.85 * (now - born) as f64 / COLD as f64).min(1.0) }
}

impl World {
    /// So many times what all workers can do is asked for.
    fn new(load: f64, seed: u64) -> World {
        let mean: f64 = KINDS.iter().map(|k| k.0 * k.4).sum();
        let class = |k: &(f64, Micros, f64, Micros, f64), effect| Class {
            idempotency: effect,
            latency_objective: k.1,
            objective_stretch: k.2,
            deadline: k.3,
            priority_weight: 1.0,
            late_fraction: 0.3,
            worker_kind: None,
        };
        let classes = vec![
            class(&KINDS[0], Idempotency::Idempotent),
            class(&KINDS[1], Idempotency::Idempotent),
            class(&KINDS[ONCE], Idempotency::NotIdempotent),
        ];
        let node = |me: usize| {
            let rules = SlowStartRules {
                initial_capacity: 0.15,
                duration: COLD,
                overload_window: SEC,
                ..settings().slow_start
            };
            let settings = Settings {
                instance: me as u32,
                instances: NODES as u32,
                classes: classes.clone(),
                slow_start: rules,
                reports_start: false,
                marks_retry: false,
                weights_include_load: true,
                limits: Limits { cancel: false, ..settings().limits },
                report_fields: ReportFields { util: Some(1), free_slots: Some(0) },
                ..settings()
            };
            DispatcherHarness::without_workers(settings, seed + me as u64)
        };
        let mut world = World {
            nodes: (0..NODES).map(node).collect(),
            boxes: (0..WORKERS).map(|_| Box::default()).collect(),
            jobs: BTreeMap::new(),
            due: BinaryHeap::new(),
            rng: fastrand::Rng::with_seed(seed),
            number: 0,
            gap: mean / (load * (WORKERS * SLOTS) as f64 * SPEEDS.iter().sum::<f64>() / 2.0),
            silent: false,
            most_held: 0,
            active: NODES,
            served: Vec::new(),
        };
        for node in 0..NODES {
            let list = (0..WORKERS).map(|n| world.entry(0, n)).collect();
            world.dispatch(0, node, Event::WorkerList(WorkerListUpdate::Cached(list)));
        }
        world.at(0, Due::Arrival);
        world.at(0, Due::Renew);
        world
    }

    fn entry(&self, now: Micros, n: usize) -> WorkerEntry {
        let w = &self.boxes[n];
        let held = w.held.iter().rev().find(|h| now - h.0 >= LATE).map_or(0, |h| h.1);
        let rating = SLOTS as f64 / (1.0 + held as f64 / SLOTS as f64);
        let lifecycle = if w.dead { Lifecycle::Gone } else { Lifecycle::Ready };
        WorkerEntry { lifecycle, started_at: w.born, weight: rating, kind: n % 2, cell: 0, ..entry(n as u32) }
    }

    fn at(&mut self, when: Micros, due: Due) {
        self.number += 1;
        self.due.push(Reverse((when, self.number, due)));
    }

    fn dispatch(&mut self, now: Micros, node: usize, event: Event) {
        for action in self.nodes[node].dispatch(now, event) {
            match action {
                Action::Send { request, worker, .. } => self.sent(now, node, request, worker.0 as usize),
                Action::SetTimer { delay, token } => self.at(now + delay, Due::Timer(node, token)),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let job = self.jobs.get_mut(&(node, request)).expect("a request");
                    assert!(!job.over, "answered twice");
                    job.over = true;
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, now: Micros, node: usize, request: RequestId, n: usize) {
        let job = self.jobs.get_mut(&(node, request)).expect("a request");
        let attempt = job.sent.len() as u32;
        assert!(!job.over && attempt < 3, "a send too many");
        assert!(job.class != ONCE || job.ran == 0, "it may have run, and was sent again");
        job.sent.push((n, now));
        let size = job.size;
        let w = &mut self.boxes[n];
        if w.dead {
            return self.at(now + 150 * MS, Due::Refused(n, node, request, attempt));
        }
        if warmth(now, w.born) < 1.0 {
            w.pressure.push((now, size));
        }
        w.queue.push_back((node, request, attempt));
        self.most_held = self.most_held.max(w.queue.len() + w.busy.len());
        self.start(now, n);
    }

    fn start(&mut self, now: Micros, n: usize) {
        while self.boxes[n].busy.len() < SLOTS
            && let Some((node, request, attempt)) = self.boxes[n].queue.pop_front()
        {
            let w = &mut self.boxes[n];
            w.busy.push((node, request));
            let run = self.jobs[&(node, request)].size / warmth(now, w.born) / SPEEDS[n % 2];
            let done = Due::Done(n, w.life, node, request, attempt);
            self.at(now + run as Micros, done);
        }
    }

    fn end(
        &mut self,
        now: Micros,
        n: usize,
        (node, request, attempt): (usize, RequestId, u32),
        outcome: Outcome,
    ) {
        let free = self.boxes[n].held.iter().rev().find(|h| now - h.0 >= LATE);
        let free = SLOTS.saturating_sub(free.map_or(0, |h| h.1)) as f64;
        let job = self.jobs.get_mut(&(node, request)).expect("a request");
        let took = now - job.sent[attempt as usize].1;
        job.ran += u32::from(outcome != Outcome::ConnectFailed);
        job.over |= outcome == Outcome::Ok;
        let aim = KINDS[job.class].1 + (KINDS[job.class].2 * job.size) as Micros;
        if outcome == Outcome::Ok {
            self.served.push((job.class, job.born, now - job.born <= aim));
        }
        // Answers carry a report; what does not read is the host's to drop, what is odd but reads is the module's.
        let report = match self.rng.u8(0..20) {
            0 => vec![f64::NAN, 0.5],
            1 => vec![1e300],
            2 => vec![-4.0, f64::INFINITY],
            3 => Vec::new(),
            _ => vec![free, 0.5],
        };
        let report = if free == 0.0 || outcome == Outcome::Ok { report } else { Vec::new() };
        let (closed, worker) = (job.over, WorkerId(n as u32));
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
        );
    }

    fn arrive(&mut self, now: Micros) {
        let node = self.rng.usize(..self.active);
        let draw = self.rng.f64();
        let class = if draw < KINDS[0].4 { 0 } else { usize::from(draw >= KINDS[0].4 + KINDS[1].4) + 1 };
        let size = (-KINDS[class].0 * (1.0 - self.rng.f64()).ln()).clamp(20e3, 5.0 * KINDS[class].0);
        let hint = (size * (0.6 + 0.9 * self.rng.f64())) as Micros;
        let request = self.nodes[node].next_id();
        let due = now + KINDS[class].3;
        let job = Job { class, size, born: now, sent: Vec::new(), ran: 0, over: false };
        self.jobs.insert((node, request), job);
        self.at(due, Due::GivenUp(node, request));
        self.dispatch(now, node, Event::Arrival(arrival(request, class, due, hint)));
    }

    fn run(&mut self, until: Micros) {
        while self.due.peek().is_some_and(|d| d.0.0 < until) {
            let Some(Reverse((now, _, due))) = self.due.pop() else { return };
            match due {
                Due::Arrival => {
                    self.arrive(now);
                    let gap = -self.gap * (1.0 - self.rng.f64()).ln();
                    self.at(now + gap as Micros + 1, Due::Arrival);
                }
                Due::Done(n, life, node, request, attempt) if self.boxes[n].life == life => {
                    self.boxes[n].busy.retain(|b| *b != (node, request));
                    if !self.jobs[&(node, request)].over {
                        self.end(now, n, (node, request, attempt), Outcome::Ok);
                    }
                    self.start(now, n);
                }
                Due::Done(..) => {}
                Due::Refused(n, node, request, attempt) => {
                    if !self.jobs[&(node, request)].over {
                        self.end(now, n, (node, request, attempt), Outcome::ConnectFailed);
                    }
                }
                Due::GivenUp(node, request) => {
                    let job = &self.jobs[&(node, request)];
                    if let (false, Some(&(n, _))) = (job.over, job.sent.last()) {
                        let attempt = job.sent.len() as u32 - 1;
                        self.end(now, n, (node, request, attempt), Outcome::Timeout);
                    }
                    self.dispatch(now, node, Event::ClientDisconnected(request));
                    let job = self.jobs.get_mut(&(node, request)).expect("a request");
                    assert!(job.over || job.sent.is_empty() || job.ran > 0, "no answer in time");
                    job.over = true;
                }
                Due::Timer(node, token) => self.dispatch(now, node, Event::Timer(token)),
                Due::Renew => {
                    for w in &mut self.boxes {
                        w.held.push_back((now, w.busy.len() + w.queue.len()));
                    }
                    self.list(now);
                    self.at(now + RENEWED, Due::Renew);
                }
            }
        }
    }

    fn list(&mut self, now: Micros) {
        if self.silent {
            return;
        }
        for node in 0..NODES {
            let list = (0..WORKERS).map(|n| self.entry(now, n)).collect();
            self.dispatch(now, node, Event::WorkerList(WorkerListUpdate::Delta(list)));
        }
    }

    /// Workers die at once, with all that they had.
    fn die(&mut self, now: Micros, boxes: std::ops::Range<usize>) {
        for n in boxes {
            let w = &mut self.boxes[n];
            w.life += 1;
            w.dead = true;
            let mut lost: Vec<_> = w.busy.drain(..).collect();
            lost.extend(w.queue.drain(..).map(|q| (q.0, q.1)));
            for (node, request) in lost {
                let job = &self.jobs[&(node, request)];
                let attempt = job.sent.len() as u32 - 1;
                if !job.over {
                    self.end(now, n, (node, request, attempt), Outcome::Reset);
                }
            }
        }
    }

    fn back(&mut self, now: Micros, boxes: std::ops::Range<usize>) {
        for n in boxes {
            (self.boxes[n].dead, self.boxes[n].born) = (false, now);
        }
    }

    /// The most that a cold worker was sent within a second, as a share of that at which it falls: N + 3 x root of N + 3
    /// jobs of mean work, where N are three times those that it can do in that time.
    fn pushed(&self) -> f64 {
        let mean: f64 = KINDS.iter().map(|k| k.0 * k.4).sum();
        let share = |w: &Box, from: Micros| {
            let within = w.pressure.iter().filter(|p| (from..from + SEC).contains(&p.0));
            let n = 3.0 * SLOTS as f64 * warmth(from, w.born) * 1e6 / mean;
            within.map(|p| p.1).sum::<f64>() / mean / (n + 3.0 * n.sqrt() + 3.0)
        };
        let most = |w: &Box| w.pressure.iter().map(|p| share(w, p.0)).fold(0.0, f64::max);
        self.boxes.iter().map(most).fold(0.0, f64::max)
    }

    /// The share of each class that came between these times and was served within its aim.
    fn in_time(&self, from: Micros, to: Micros) -> [f64; 3] {
        let within = |at: Micros| (from..to).contains(&at);
        [0, 1, 2].map(|class| {
            let asked = self.jobs.values().filter(|j| j.class == class && within(j.born)).count();
            let got = self.served.iter().filter(|s| s.0 == class && within(s.1) && s.2).count();
            got as f64 / asked as f64
        })
    }
}

/// A dispatcher that begins a queue where it can't see one fills every worker with all that it has: then all are late.
#[test]
fn what_waits_for_a_worker_that_tells_no_start_waits_at_its_dispatcher() {
    let mut world = World::new(1.15, 5);
    world.run(45 * SEC);
    let [short, long, once] = world.in_time(5 * SEC, 30 * SEC);
    println!("in time {short:.2} {long:.2} {once:.2}, held at most {}", world.most_held);
    assert!(world.most_held <= SLOTS + NODES, "a worker held {}", world.most_held);
    assert!(short >= 0.4 && long >= 0.5 && once >= 0.4, "in time {short:.2} {long:.2} {once:.2}");
    // Bigger jobs go to faster workers, also where nothing but answers tells how fast these are.
    let mean = |kind: usize| {
        let here = |j: &&Job| j.class == 1 && j.sent.first().is_some_and(|s| s.0 % 2 == kind);
        let sizes: Vec<f64> = world.jobs.values().filter(here).map(|j| j.size).collect();
        sizes.iter().sum::<f64>() / sizes.len() as f64
    };
    println!("mean size at fast ones {:.0}, at slow ones {:.0}", mean(0), mean(1));
}

/// A quarter of the workers die at once with all that they hold, and come back cold 8 s later.
#[test]
fn a_quarter_that_dies_and_comes_back_cold_is_not_overrun_and_nothing_runs_twice() {
    let mut world = World::new(0.7, 6);
    world.run(10 * SEC);
    world.die(10 * SEC, 0..3);
    world.run(18 * SEC);
    world.back(18 * SEC, 0..3);
    world.run(50 * SEC);
    let ([short, long, once], pushed) = (world.in_time(11 * SEC, 35 * SEC), world.pushed());
    println!("in time {short:.2} {long:.2} {once:.2}, pushed {pushed:.2}");
    assert!(pushed > 0.1 && pushed < 1.0, "a cold worker was sent {pushed:.2} of what it falls at");
    assert!(short >= 0.6 && long >= 0.7 && once >= 0.6, "in time {short:.2} {long:.2} {once:.2}");
}

/// Discovery is out from the start and for 25 s: three of the workers that the old list names are dead, three more die,
/// and all come back before anyone is told.
#[test]
fn work_goes_on_while_discovery_is_out_for_half_of_the_day() {
    let mut world = World::new(0.5, 7);
    (world.silent, world.boxes[0].dead, world.boxes[1].dead, world.boxes[2].dead) = (true, true, true, true);
    world.run(6 * SEC);
    world.die(6 * SEC, 3..6);
    world.run(15 * SEC);
    world.back(15 * SEC, 0..6);
    world.run(25 * SEC);
    world.silent = false;
    world.run(50 * SEC);
    let [short, long, once] = world.in_time(0, 25 * SEC);
    println!("in time {short:.2} {long:.2} {once:.2}");
    assert!(short >= 0.5 && long >= 0.6 && once >= 0.5, "in time {short:.2} {long:.2} {once:.2}");
    let later = world.in_time(27 * SEC, 40 * SEC);
    assert!(later.iter().all(|share| *share >= 0.8), "{later:?} once the list is back");
}

/// Every rating falls to a fifth at once, but that of a worker that has just started and holds nothing. It is no larger
/// than it was for that, and is sent no more.
#[test]
fn ratings_that_fall_with_the_load_do_not_make_an_idle_cold_worker_large() {
    let sent_to_cold = |loaded: f64| {
        let rules = SlowStartRules {
            initial_capacity: 0.15,
            duration: COLD,
            overload_window: SEC,
            ..settings().slow_start
        };
        let settings = Settings { weights_include_load: true, slow_start: rules, ..settings() };
        let mut harness = DispatcherHarness::without_workers(settings, 3);
        let of = |n: u32, rating: f64| WorkerEntry { weight: rating, ..entry(n) };
        harness.dispatch(0, Event::WorkerList(WorkerListUpdate::Full((0..6).map(|n| of(n, 3.0)).collect())));
        let mut now = SEC;
        for _ in 0..40 {
            harness.serve(now, 200 * MS, |_| 1.0);
            now += 300 * MS;
        }
        let mut list: Vec<WorkerEntry> = (1..6).map(|n| of(n, 3.0 / loaded)).collect();
        list.push(WorkerEntry { started_at: now, ..of(0, 3.0) });
        harness.dispatch(now, Event::WorkerList(WorkerListUpdate::Delta(list)));
        // The warm ones say nothing any more, and are soon full: only its budget holds the cold one back.
        let mut sent = 0;
        for n in 0..200 {
            let (request, actions) = harness.arrive(now + n * 4 * MS, 1, 50 * MS);
            if sends(&actions).iter().any(|s| s.1 == WorkerId(0)) {
                sent += 1;
                let (attempt, worker) = (0, WorkerId(0));
                harness.dispatch(now + n * 4 * MS + MS, Event::AttemptStarted { request, attempt, worker });
                harness.end_attempt(now + n * 4 * MS + 2 * MS, request, (worker, attempt), Outcome::Ok);
            }
        }
        sent
    };
    let sent = [sent_to_cold(5.0), sent_to_cold(1.0)];
    println!("{sent:?}");
    assert!(sent[1] > 0 && sent[0] <= sent[1], "{sent:?}");
}

/// Two of three dispatchers are drained: the third has all the work, and finds in reports the slots that these leave free.
#[test]
fn a_dispatcher_whose_fellows_rest_uses_what_they_leave_free() {
    let mut world = World::new(0.55, 8);
    world.active = 1;
    world.run(40 * SEC);
    let [short, long, once] = world.in_time(2 * SEC, 30 * SEC);
    println!("in time {short:.2} {long:.2} {once:.2}, held at most {}", world.most_held);
    assert!(short >= 0.85 && long >= 0.85 && once >= 0.85, "in time {short:.2} {long:.2} {once:.2}");
}

/// Where the first job of each of 48 fresh dispatchers goes, which all have the same lists.
fn first_jobs(settings: &Settings, lists: &[&[WorkerEntry]]) -> Vec<usize> {
    let mut at = vec![0; lists[0].len()];
    for me in 0..48 {
        let settings = Settings { instance: me, ..settings.clone() };
        let mut harness = DispatcherHarness::without_workers(settings, 100 + u64::from(me));
        for list in lists {
            harness.dispatch(0, Event::WorkerList(WorkerListUpdate::Full(list.to_vec())));
        }
        let (_, actions) = harness.arrive(2 * MS, 0, 200 * MS);
        at[sends(&actions)[0].1.0 as usize] += 1;
    }
    at
}

fn of_live_ratings(balancers: u32) -> Settings {
    Settings { instances: balancers, reports_start: false, weights_include_load: true, ..settings() }
}

/// Ten workers, the first five rated so, the others 3.
fn rated(rating: f64) -> Vec<WorkerEntry> {
    (0..10).map(|n| WorkerEntry { weight: if n < 5 { rating } else { 3.0 }, ..entry(n) }).collect()
}

/// All of a fleet start at once and know nothing: their first jobs must not all go to the first of the list.
#[test]
fn fresh_dispatchers_do_not_all_begin_at_one_worker() {
    let list: Vec<WorkerEntry> = (0..9).map(|n| WorkerEntry { weight: 3.0, ..entry(n) }).collect();
    let at = first_jobs(&of_live_ratings(48), &[&list]);
    println!("{at:?}");
    assert!(at.iter().all(|&n| n <= 16), "{at:?}");
}

/// Live ratings say that half of the workers hold four jobs a core. Where one job is more than a dispatcher's part, it
/// looks at that for the two it draws; a dispatcher that has the slots to itself goes by what it sent.
#[test]
fn of_two_workers_drawn_a_small_part_goes_to_what_a_live_rating_says_is_busy() {
    let (idle, half) = (rated(3.0), rated(0.6));
    let busy =
        |balancers| first_jobs(&of_live_ratings(balancers), &[&idle, &half])[..5].iter().sum::<usize>();
    let (many, one) = (busy(48), busy(1));
    println!("of 48: {many} among 48 dispatchers, {one} where there is one");
    assert!(many <= 18, "{many}");
    assert!((18..=30).contains(&one), "{one}");
}

/// A rating of nothing at all is no promise to be idle: what is rated so gets no job while others are there.
#[test]
fn a_rating_of_nothing_draws_no_jobs() {
    let settings = Settings { instances: 48, ..settings() };
    let to_none: usize = first_jobs(&settings, &[&rated(0.0)])[..5].iter().sum();
    println!("{to_none} of 48");
    assert!(to_none <= 4, "{to_none} of 48");
}
