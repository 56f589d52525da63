//! All decisions of a dispatcher. The interface, its types, events and actions, is in `src/interface.rs`.
//! The ordinary path is OXTHAS: workers rank by Estimated Processing Capacity (EPC), thresholds in integer
//! progression over S_max give each job a lane by its size, and the lane worker meets one random rival.
//! Each departure from it says what it guards against and when it acts.

use crate::interface::*;
use crate::record::{Epc, Keys, Kind, distance};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The top N is so many times the jobs running at once: a queue known for longer than that has changed.
const N_PER_JOB: f64 = 3.0;
/// The least N: below it one failed worker would be too large a share, and big and small jobs share lanes.
const N_LEAST: f64 = 8.0;
/// The request rate and the mean size follow over about this many requests.
const RATE_HISTORY: f64 = 50.0;
/// The paper's α: one time-out halves a worker's EPC.
const ALPHA: f64 = 1.0;
/// β as a share of T_init. With `R_MAX` it leaves half of T_init, so a time-out never shrinks to nothing.
const BETA: f64 = 0.125;
/// The most time-outs that count against a worker: a long outage must not take as long to forgive.
const R_MAX: u32 = 4;
/// Completions after which an observation has lost two thirds of its weight: EPC must follow the load.
const HISTORY: f64 = 20.0;
/// How many observations the prior of an EPC counts for, so that one odd job does not rank a worker.
const PRIOR: f64 = 2.0;
/// S_max is the size that this share of jobs stay under: one outlier must not empty the top lanes.
const SIZE_RANK: f64 = 0.9;
const SIZE_STEP: f64 = 0.2;
/// A start notice takes a connection, a handshake and two crossings; one later than this tells of a queue.
const START_GRACE: Micros = 25_000;
/// After this long without news half of a worker's known queue is taken to be gone.
const WAIT_HALF: f64 = 2_000_000.0;
/// Starts over which a kind's usual wait, to which a worker's known wait fades, is taken.
const USUAL_HISTORY: f64 = 20.0;
/// How many times too long a job's expected time may be.
const HINT_ERROR: f64 = 2.0;
/// The first pause before a failed worker is tried again; it doubles with each further time-out.
const TRIAL_PAUSE: Micros = 250_000;
/// Doublings of that pause where a trial that finds the worker full still costs the job.
const LOSSY_TRIALS: u32 = 3;
/// The share of a cold worker's budget that is used: hints are rough and the other dispatchers blind.
const COLD_SHARE: f64 = 0.9;
/// Few dispatchers use less, for their jobs even out less.
const COLD_FEW: f64 = 1.25;
/// The share of what a cold worker can do in the window that one job may ask for, where it goes on credit.
const COLD_ONE: f64 = 0.8;
/// The set is chosen anew after this long: workers warm up.
const SET_KEPT: Micros = 1_000_000;
/// The share of the mean size that a send to a cold worker counts as at least.
const COLD_FLOOR: f64 = 0.25;
/// What a worker showed within this time counts: one that lives is not dead for a connection that breaks.
const LIFE: Micros = 1_000_000;
/// The first pause before the list is asked for again; it doubles up to 16 times.
const WATCH_PAUSE: Micros = 250_000;
/// Held requests that may find no room before the search stops: the next ones would mostly find none either.
const HELD_TRIES: usize = 3;
/// Puts a held request that can hardly meet its aim behind those that can.
const LATE: Micros = 1 << 60;
/// Withdrawn attempts allowed per request, less the price of waste, and saved up at most: each adds load.
const REPEATS: f64 = 0.1;
const REPEATS_MOST: f64 = 10.0;
/// What a worker fetches for a job whose key it has not had of late takes this share of a mean job.
const FETCH: f64 = 0.45;
/// Homes of a key in a large zone, in what its share of the jobs would fill there.
const HOMES: f64 = 3.0;
/// The arrivals over which a key's share is taken.
const SHARE_HISTORY: usize = 100;
/// The share of a fetch that a home is spared, as others' jobs, unseen, have brought the key there.
const HOME_HAS: f64 = 0.9;
/// Beyond so many times `ZONE` a zone is large: a dispatcher sees little of what goes to its workers.
const LARGE: f64 = 2.0;
/// Workers of a zone from which on it prefers its own as homes.
const ZONE: f64 = 4.0;
/// The keys that a worker is taken to keep for each slot.
const KEPT_PER_SLOT: f64 = 1.3;
/// What a priced crossing of zones counts as, in mean jobs for a price of 1.
const CROSSING: f64 = 2.0;
/// A kind out of all range must not claim room for all below it.
const KINDS_MOST: usize = 1023;
/// Timer tokens: one for the checks, one for the list.
const CHECK: u64 = 0;
const WATCH: u64 = 1;

/// Which request was sent, which attempt it is, and where it went.
type Sent = (RequestId, u32, WorkerId);

/// An attempt that has no outcome yet.
struct Attempt {
    request: RequestId,
    number: u32,
    class: usize,
    size: f64,
    width: f64,
    sent: Micros,
    wanted: Micros,
    started: Option<Micros>,
}

/// What this dispatcher knows of a worker.
#[derive(Default)]
struct Worker {
    entry: Entry,
    epc: Vec<Epc>,
    c: Vec<f64>,
    timeouts: u32,
    trial_at: Micros,
    full: Vec<(u32, Micros)>,
    wait: Vec<(f64, Micros)>,
    alive: Micros,
    in_flight: Vec<Attempt>,
    cold: (f64, Micros),
    keys: Keys,
}

impl Worker {
    /// How long a job sent now would wait: what starts told, fading to a `usual` wait, or what waits longer.
    fn wait_now(&self, class: usize, now: Micros, usual: f64) -> f64 {
        let known = usual + (self.wait[class].0 - usual) * self.fresh(class, now);
        self.unstarted().map(|a| (now - a.sent) as f64).fold(known, f64::max)
    }

    fn ready(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Ready
    }

    fn out(&self) -> f64 {
        self.in_flight.iter().map(|a| a.width).sum()
    }

    fn fresh(&self, class: usize, now: Micros) -> f64 {
        (-((now - self.wait[class].1) as f64) / WAIT_HALF).exp2()
    }

    fn unstarted(&self) -> impl Iterator<Item = &Attempt> {
        self.in_flight.iter().filter(|a| a.started.is_none())
    }
}

/// A request that has no final answer yet.
#[derive(Default)]
struct Request {
    class: usize,
    size: f64,
    key: u64,
    hinted: bool,
    width: f64,
    due: Micros,
    aim: Micros,
    wanted: Micros,
    attempts: u32,
    out: Option<(WorkerId, u32)>,
    streaming: bool,
    spent: bool,
    cancelled: bool,
    ran: Option<(WorkerId, Micros)>,
    tried: Vec<WorkerId>,
    check: Micros,
}

/// Decides for one dispatcher.
#[derive(Default)]
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    workers: Vec<Worker>,
    kinds: Vec<Kind>,
    fleet: Epc,
    ratings: f64,
    per_weight: f64,
    apart: f64,
    beyond: f64,
    set_until: Micros,
    shared_timeouts: u32,
    ready: Vec<WorkerId>,
    set: Vec<WorkerId>,
    set_stale: bool,
    n: usize,
    arrivals: f64,
    gap: f64,
    mean_size: f64,
    last_arrival: Micros,
    order: Vec<Vec<WorkerId>>,
    stale: Vec<bool>,
    requests: BTreeMap<RequestId, Request>,
    held: Vec<(Micros, RequestId)>,
    checks: BTreeSet<(Micros, RequestId)>,
    armed: Micros,
    s_max: f64,
    try_length: Vec<Micros>,
    watch_failures: u32,
    repeats: f64,
    recent: VecDeque<u64>,
}

impl Dispatcher {
    /// A dispatcher that knows its settings and nothing else; equal seeds and events give equal actions.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // A class out of range is the host's slip: the strictest stand-in keeps the rules for it.
        settings.classes.push(Class { late_worth: 1.0, ..Class::default() });
        let classes = settings.classes.len();
        Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            kinds: vec![Kind::default(); settings.kinds.max(1)],
            n: 2 * N_LEAST as usize,
            order: vec![Vec::new(); classes],
            stale: vec![true; classes],
            armed: Micros::MAX,
            try_length: vec![0; classes],
            repeats: 10.0 * (REPEATS - settings.prices.waste).max(0.0),
            settings,
            ..Dispatcher::default()
        }
    }

    /// Takes one event and appends what is to be done about it, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let freed = !matches!(event, Event::Arrival(_) | Event::Progress { .. } | Event::Lapsed(_));
        match event {
            Event::Members(members) => self.on_members(members, actions),
            Event::Arrival(arrival) => self.on_arrival(now, arrival, actions),
            Event::Started { request, attempt, worker } => self.on_started(now, (request, attempt, worker)),
            Event::Progress { .. } | Event::Probed { .. } => {}
            Event::Streaming { request, attempt, worker } => {
                self.on_started(now, (request, attempt, worker));
                self.requests.get_mut(&request).into_iter().for_each(|r| r.streaming = true);
            }
            Event::Outcome { request, attempt, worker, outcome, took, closed, report } => {
                self.on_report(worker, &report);
                self.on_outcome(now, (request, attempt, worker), (outcome, took, closed), actions);
            }
            Event::Written { request: r, attempt: n, worker: w } => {
                self.attempt((r, n, w)).into_iter().for_each(|a| a.sent = now)
            }
            Event::PassedOn(id) => self.requests.get_mut(&id).into_iter().for_each(|r| r.spent = true),
            Event::Lapsed(request) => self.forget(request, actions),
            Event::Timer(WATCH) => actions.push(Action::Watch),
            // A timer that was overtaken by an earlier one has nothing left to do, and must not set another.
            Event::Timer(_) if now < self.armed => return,
            Event::Timer(_) => {
                self.armed = Micros::MAX;
                while let Some(&(_, id)) = self.checks.first().filter(|c| c.0 <= now) {
                    self.checks.pop_first();
                    self.check(now, id, actions);
                }
            }
        }
        if freed {
            self.place_held(now, actions);
        }
        self.arm(now, actions);
    }

    /// How this dispatcher regards the workers in the list at this moment.
    pub fn census(&self, now: Micros) -> Census {
        let listed = |&id: &WorkerId| self.worker(id).entry.lifecycle != Lifecycle::Gone;
        (0..self.workers.len() as u32).map(WorkerId).filter(listed).map(|id| self.regard(id, now)).collect()
    }

    fn regard(&self, id: WorkerId, now: Micros) -> Regard {
        let mut classes = 0..self.settings.classes.len() - 1;
        match self.worker(id) {
            w if !w.ready() => Regard::Draining,
            w if !self.sound(id) || now < w.trial_at => Regard::Failed,
            _ if classes.all(|class| !self.takes(id, class, now)) => Regard::Full,
            _ => Regard::Used,
        }
    }

    // ---- Membership ----

    fn on_members(&mut self, members: Members, actions: &mut Vec<Action>) {
        let (entries, full, cached) = match members {
            Members::Failed => {
                let pause = WATCH_PAUSE << self.watch_failures.min(4);
                let jitter = self.rng.i64(0..pause / 2 + 1);
                self.watch_failures += 1;
                return actions.push(Action::Timer { delay: pause + jitter, token: WATCH });
            }
            Members::Delta(entries) => (entries, false, false),
            Members::Full(entries) => (entries, true, false),
            Members::Cached(entries) => (entries, true, true),
        };
        if full {
            self.workers.iter_mut().for_each(|w| w.entry.lifecycle = Lifecycle::Gone);
        }
        entries.into_iter().for_each(|entry| self.on_entry(entry));
        if cached && self.settings.subscribe {
            actions.push(Action::Watch);
        } else {
            self.watch_failures = 0;
        }
        let all = (0..self.workers.len() as u32).map(WorkerId);
        self.ready = all.filter(|&id| self.worker(id).ready()).collect();
        let own = self.ready.iter().filter(|&&id| self.worker(id).entry.zone == self.settings.zone).count();
        self.ratings = self.ready.iter().map(|&id| self.size(self.worker(id))).sum();
        self.apart = (own as f64 / ZONE).max(1.0);
        self.beyond = (self.apart - LARGE).max(0.0);
        self.set_stale = true;
    }

    fn on_entry(&mut self, entry: Entry) {
        let classes = self.settings.classes.len();
        let draw = self.rng.f64() * self.mean_size;
        let w = self.worker_mut(entry.worker);
        w.epc.resize(classes, Epc::default());
        w.full.resize(classes, (0, 0));
        w.wait.resize(classes, (0.0, 0));
        if entry.born > w.entry.born {
            // A fresh process: what the old one did or failed to do says nothing of it.
            w.timeouts = 0;
            w.full.fill((0, 0));
            w.cold = (draw, entry.born);
            w.keys = Keys::default();
        }
        w.entry = entry;
        w.entry.rating = if w.entry.rating.is_finite() { w.entry.rating.max(0.0) } else { 1.0 };
        w.entry.kind = w.entry.kind.min(KINDS_MOST);
        let (kind, rating) = (w.entry.kind, w.entry.rating);
        self.kinds.resize((kind + 1).max(self.kinds.len()), Kind::default());
        let size = if self.settings.live_weights { rating } else { 0.0 };
        self.kinds[kind].size = self.kinds[kind].size.max(size);
    }

    /// Chooses the workers that this dispatcher works with: the paper's top N, made narrow. Each one has
    /// its own, more of them the more a worker can do at present. Guards against stale knowledge, many
    /// connections, and all dispatchers at one cold worker. A closed worker takes no place of the N.
    fn choose_set(&mut self, now: Micros) {
        (0..self.ready.len()).for_each(|i| self.estimate(self.ready[i]));
        let total: f64 = self.ready.iter().map(|&id| self.weight(id, now)).sum();
        let n = self.n.min(self.ready.len());
        self.per_weight = n as f64 / total.max(1e-9);
        self.set = self.nearest(u64::from(self.settings.me) + 1, now, 3 * n, |_| true);
        let closed = |&id: &WorkerId| !self.sound(id) || self.worker(id).full.iter().any(|f| f.1 > now);
        let passed = self.set.iter().take(2 * n).filter(|id| closed(id)).count();
        self.set.truncate(n + passed);
        self.set_until = now + SET_KEPT;
    }

    /// What a worker can do at present beside others, one in another zone less the larger the own is.
    fn weight(&self, id: WorkerId, now: Micros) -> f64 {
        let w = self.worker(id);
        let apart = if w.entry.zone == self.settings.zone { 1.0 } else { self.apart };
        self.size(w).max(1e-3) * self.warmth(w, now) / apart
    }

    /// Up to `most` workers that take work and `fit`, the nearest to a key first. Few are sorted.
    fn nearest(&self, key: u64, now: Micros, most: usize, fit: impl Fn(&WorkerId) -> bool) -> Vec<WorkerId> {
        let far = |&id: &WorkerId| (distance(key, self.worker(id).entry.key, self.weight(id, now)), id);
        let mut rest: Vec<(f64, WorkerId)> = self.ready.iter().map(far).collect();
        let mut near = Vec::new();
        while near.len() < most && !rest.is_empty() {
            let nearer = |a: &(f64, WorkerId), b: &(f64, WorkerId)| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1));
            let others = rest.len().saturating_sub(2 * most);
            rest.select_nth_unstable_by(others, nearer);
            let mut some = rest.split_off(others);
            some.sort_unstable_by(nearer);
            near.extend(some.into_iter().rev().map(|n| n.1).filter(&fit).take(most - near.len()));
        }
        near
    }

    /// Follows the work that arrives, and N with it.
    fn note_arrival(&mut self, now: Micros, size: f64) {
        let gap = (now - self.last_arrival).clamp(1, 1_000_000) as f64;
        self.last_arrival = now;
        self.arrivals = (self.arrivals + 1.0).min(RATE_HISTORY);
        self.gap += (gap - self.gap) / self.arrivals;
        self.mean_size += (size - self.mean_size) / self.arrivals;
        let step = self.mean_size * if size > self.s_max { SIZE_RANK } else { SIZE_RANK - 1.0 };
        self.s_max = (self.s_max + step * SIZE_STEP).max(self.mean_size);
        let n = (N_PER_JOB * self.mean_size / self.gap).max(N_LEAST).ceil();
        if n > 1.3 * self.n as f64 || n < 0.7 * self.n as f64 {
            self.n = n as usize;
            self.set_stale = true;
        }
    }

    fn worker_mut(&mut self, id: WorkerId) -> &mut Worker {
        let i = id.0 as usize;
        self.workers.resize_with(self.workers.len().max(i + 1), Worker::default);
        &mut self.workers[i]
    }

    fn worker(&self, id: WorkerId) -> &Worker {
        &self.workers[id.0 as usize]
    }

    /// A worker's size. All would move in step with a late rating: its kind's largest stands for it.
    fn size(&self, w: &Worker) -> f64 {
        w.entry.rating.max(self.kinds[w.entry.kind].size)
    }

    fn kind(&self, w: &Worker) -> Kind {
        let known = self.kinds[w.entry.kind];
        Kind { slots: known.slots.max(1.0), ..known }
    }

    // ---- Capacity (EPC) ----

    /// Works out a worker's EPC when warm, from its record in each class, in all, its kind's and its rating.
    fn estimate(&mut self, id: WorkerId) {
        let w = self.worker(id);
        let rated = self.size(w) * self.ready.len() as f64 / self.ratings.max(1e-9);
        let by_rating = self.fleet.mean(1.0, PRIOR) * rated.sqrt().clamp(0.5, 2.0);
        let by_kind = self.kind(w).epc.mean(by_rating, PRIOR);
        let (sum, n) = w.epc.iter().fold((0.0, 0.0), |a, e| (a.0 + e.sum, a.1 + e.n));
        let own = Epc { sum, n }.mean(by_kind, PRIOR);
        let c = w.epc.iter().map(|e| e.mean(own, PRIOR).max(1e-3)).collect();
        self.workers[id.0 as usize].c = c;
    }

    fn epc(&self, w: &Worker, class: usize) -> f64 {
        w.c.get(class).copied().unwrap_or(1.0)
    }

    /// The share of its capacity that a starting worker has at least.
    fn warmth(&self, w: &Worker, now: Micros) -> f64 {
        let rules = &self.settings.rules;
        let age = now - w.entry.born;
        if w.entry.born <= 0 || age >= rules.cold {
            return 1.0;
        }
        (rules.cold_from + (1.0 - rules.cold_from) * age.max(0) as f64 / rules.cold as f64).clamp(0.01, 1.0)
    }

    /// Time-outs beyond those that the middle of the fleet has: a trouble that all share is no one's fault.
    fn excess(&self, w: &Worker) -> u32 {
        w.timeouts.saturating_sub(self.shared_timeouts)
    }

    /// c' = c/(1+α·R), where jobs far over their time count as time-outs until the worker shows life.
    fn penalised(&self, w: &Worker, class: usize, now: Micros) -> f64 {
        let c = self.epc(w, class) * self.warmth(w, now);
        let overdue = w.in_flight.iter().filter(|a| {
            let end = a.started.map(|at| at + (3.0 * a.size / c) as Micros + START_GRACE);
            end.is_some_and(|end| now > end && w.alive <= end)
        });
        c / (1.0 + ALPHA * (self.excess(w) as f64 + overdue.count() as f64))
    }

    /// Ranks the workers for a class again if anything that ranks them has changed.
    fn rank(&mut self, class: usize, now: Micros) {
        if std::mem::take(&mut self.set_stale) || now >= self.set_until {
            self.choose_set(now);
            self.stale.fill(true);
        }
        if !std::mem::take(&mut self.stale[class]) {
            return;
        }
        let mut r: Vec<u32> = self.set.iter().map(|&id| self.worker(id).timeouts).collect();
        r.sort_unstable();
        self.shared_timeouts = r.get(r.len() / 2).copied().unwrap_or(0);
        let fits = |id: &&WorkerId| self.runs(**id, class);
        let group = if self.set.iter().any(|id| fits(&id)) { &self.set } else { &self.ready };
        let rated = |&id: &WorkerId| (self.penalised(self.worker(id), class, now), id);
        let mut ranked: Vec<(f64, WorkerId)> = group.iter().filter(fits).map(rated).collect();
        // Equals stay in this one's own order: by number, fresh dispatchers would all have one lane worker.
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.order[class] = ranked.into_iter().map(|(_, id)| id).collect();
    }

    // ---- Lane choice ----

    /// The lane of a job among `n`, 0 the smallest jobs: w_r = (1+…+r)/(1+…+n)·S_max.
    fn lane(&self, r: &Request, n: usize) -> usize {
        if !r.hinted {
            return n / 2;
        }
        let all = (n * (n + 1) / 2) as f64;
        (1..n).find(|&x| r.size <= (x * (x + 1) / 2) as f64 / all * self.s_max).map_or(n - 1, |x| x - 1)
    }

    /// How long a job sent now would take: outstanding cost plus the job, over EPC, after the wait that
    /// starts tell of. The second figure leaves out what free slots can take; the last tells if any are left.
    fn predicted(&self, r: &Request, id: WorkerId, now: Micros) -> (f64, f64, bool) {
        let w = self.worker(id);
        let c = self.penalised(w, r.class, now);
        let slots = self.kind(w).slots;
        let mut cost = 0.0;
        for a in &w.in_flight {
            let done = a.started.map_or(0.0, |at| (now - at) as f64 * c);
            cost += a.width * (a.size - done).max(a.size * 0.1);
        }
        let fetch = if r.key == 0 || w.keys.holds(r.key) { 0.0 } else { FETCH * self.mean_size };
        let run = r.size / c + fetch;
        let rest = cost / (c * slots) + run;
        let fits = w.out() + r.width <= slots;
        let least = w.wait_now(r.class, now, 0.0) + if fits { run } else { rest };
        (w.wait_now(r.class, now, self.usual(w, r.class, now)) + rest, least, fits)
    }

    /// The wait that a worker's kind usually has. A cold one has just started, with nothing in its queue.
    fn usual(&self, w: &Worker, class: usize, now: Micros) -> f64 {
        if self.warmth(w, now) < 1.0 { 0.0 } else { self.kind(w).wait[class.min(3)] }
    }

    /// Whether nothing stands before a job sent now, as far as is known, or by the `usual` wait.
    fn starts_at_once(&self, r: &Request, id: WorkerId, now: Micros, usual: f64) -> bool {
        let (_, _, fits) = self.predicted(r, id, now);
        fits && self.room(id, now) && self.worker(id).wait_now(r.class, now, usual) < START_GRACE as f64
    }

    /// Whether a job sent now would be in time, or late for no queue's sake, and by no more than a hint errs.
    fn worth_sending(&self, r: &Request, id: WorkerId, now: Micros, alone: bool) -> bool {
        let (_, least, _) = self.predicted(r, id, now);
        let left = (r.wanted - now) as f64;
        least <= left || alone && least <= HINT_ERROR * left && self.starts_at_once(r, id, now, 0.0)
    }

    /// Whether a job sent now would likely start at once. One not yet started tells of a queue or a hang.
    fn room(&self, id: WorkerId, now: Micros) -> bool {
        let w = self.worker(id);
        if !self.settings.tells_start {
            // Where reports tell of free slots no queue is begun: this one keeps to what others leave.
            let share = self.kind(w).share.mean(1.0 / f64::from(self.settings.balancers.max(1)), PRIOR);
            let most = (self.kind(w).slots.max(self.size(w)) * share).max(1.0);
            return now >= w.trial_at && (self.settings.report.free_slots.is_none() || w.out() + 1.0 <= most);
        }
        let running: f64 = w.in_flight.iter().filter(|a| a.started.is_some()).map(|a| a.width).sum();
        now >= w.trial_at
            && (w.unstarted().count() as f64) < (self.kind(w).slots - running).max(1.0)
            && w.unstarted().all(|a| now - a.sent < START_GRACE)
    }

    /// Takes a late report in: how many slots there are, and the share others leave, fair where none is free.
    fn on_report(&mut self, id: WorkerId, report: &[f64]) {
        let free = self.settings.report.free_slots.and_then(|i| report.get(i));
        let Some(free) = free.filter(|f| (0.0..=1024.0).contains(*f)) else { return };
        let fair = 1.0 / f64::from(self.settings.balancers.max(1));
        let w = self.worker_mut(id);
        let (kind, out) = (w.entry.kind, w.out());
        let kind = &mut self.kinds[kind];
        kind.slots = kind.slots.max(free.round()).max(1.0);
        let left = if *free < 0.5 { fair } else { ((free + out) / kind.slots).min(1.0) };
        kind.share.add(left, HISTORY / 2.0);
    }

    /// How long a job would wait for what others hold, as a live rating tells, as far as the one job that may
    /// always go is beyond this one's part of the slots. It is late and the same to all: for two drawn alone.
    fn others(&self, r: &Request, id: WorkerId, now: Micros) -> f64 {
        let w = self.worker(id);
        let beyond = 1.0 - self.kind(w).slots / f64::from(self.settings.balancers.max(1));
        let per_core = (self.size(w) / w.entry.rating.max(1e-6) - 1.0).max(0.0);
        per_core * beyond.max(0.0) * self.mean_size / self.penalised(w, r.class, now)
    }

    /// When a job sent now would end, where a crossing that has a price counts as so much time.
    fn ends(&self, r: &Request, id: WorkerId, now: Micros) -> f64 {
        let crosses = self.worker(id).entry.zone != self.settings.zone;
        let price = if crosses { self.settings.prices.crossing * CROSSING * self.mean_size } else { 0.0 };
        self.predicted(r, id, now).0 + price
    }

    /// A key's homes, nearest first, alike in a zone but for their number: as few places as its jobs fill.
    fn homes(&self, r: &Request, now: Micros) -> Vec<WorkerId> {
        let fit = |&w: &WorkerId| {
            self.sound(w) && self.takes(w, r.class, now) && self.may_send(r, w, now) && !r.tried.contains(&w)
        };
        let others = self.recent.iter().filter(|&&k| k == r.key).count().saturating_sub(1);
        let share = others as f64 / self.recent.len().max(SHARE_HISTORY / 5) as f64;
        let n = (HOMES * share * self.beyond * ZONE).ceil().max(1.0);
        self.nearest(r.key, now, if r.key == 0 { 0 } else { n as usize }, fit)
    }

    /// Picks the worker for a request, or none if it is better held.
    fn pick(&mut self, id: RequestId, now: Micros) -> Option<WorkerId> {
        let (class, draw) = (self.requests.get(&id)?.class, self.rng.f64());
        self.rank(class, now);
        let r = self.requests.get(&id)?;
        let order = self.order[class].iter().copied();
        let legal: Vec<WorkerId> = order.filter(|&w| self.may_send(r, w, now)).collect();
        let untried: Vec<WorkerId> = legal.iter().copied().filter(|w| !r.tried.contains(w)).collect();
        let fresh = if untried.is_empty() { legal } else { untried };
        let first = self.settings.classes[r.class].effect != Effect::Unsafe && r.attempts == 0;
        if first && let Some(&w) = fresh.iter().find(|&&w| self.trial_due(r, w, now)) {
            return Some(w);
        }
        let mut top: Vec<WorkerId> =
            fresh.iter().copied().filter(|&w| self.sound(w) && self.takes(w, class, now)).collect();
        if top.is_empty() {
            // Everything is suspect: whatever may be tried again is better than nowhere.
            top = fresh.into_iter().filter(|&w| self.trial_due(r, w, now)).collect();
        }
        // What would be late anyway takes an open worker only if nothing else waits for one.
        let alone = self.held.first().is_none_or(|h| h.1 == id);
        let usual = |w| self.usual(self.worker(w), class, now);
        let fit = |w| self.starts_at_once(r, w, now, usual(w)) && self.worth_sending(r, w, now, false);
        let n = top.len();
        let rival = *top.get((draw * n as f64) as usize)?;
        let lane = top[n - 1 - self.lane(r, n)];
        let homes = self.homes(r, now);
        let spared = HOME_HAS * self.beyond / self.apart * FETCH * self.mean_size;
        let has = |w| homes.contains(&w) && !self.worker(w).keys.holds(r.key);
        let ends = |w| self.ends(r, w, now) - if has(w) { spared } else { 0.0 };
        let beside = |w| ends(w) + self.others(r, w, now);
        let earlier = |a, b| if beside(b) < beside(a) { b } else { a };
        let best = homes.iter().copied().fold(earlier(lane, rival), |a, b| earlier(b, a));
        if fit(best) {
            return Some(best);
        }
        // The better one would start or end it late: the others are rivals too. A key is worth the wait.
        let held = |w| homes.contains(&w) || self.worker(w).keys.holds(r.key);
        let known = |w| r.key == 0 || held(w) || self.beyond > 0.0 && fit(w);
        top.extend(homes.iter().filter(|w| !self.set.contains(w)));
        let open = top.into_iter().filter(|&w| known(w) && self.room(w, now));
        let (_, best) = open.map(|w| (ends(w), w)).min_by(|a, b| a.0.total_cmp(&b.0))?;
        self.worth_sending(r, best, now, alone).then_some(best)
    }

    // ---- Attempts and time-outs ----

    fn on_arrival(&mut self, now: Micros, a: Arrival, actions: &mut Vec<Action>) {
        let class = a.class.min(self.settings.classes.len() - 1);
        let spec = &self.settings.classes[class];
        let hint = a.hint.filter(|&h| h > 0).map(|h| h as f64);
        let size = hint.unwrap_or(self.s_max.max(1.0)).min(1e12);
        // A client's further tries count from its first, by `due`; one that marks none may be in a hurry.
        self.try_length[class] = self.try_length[class].max(a.due.saturating_sub(now));
        let first = self.settings.marks_retry && !a.resent;
        let origin = if first { now } else { now.min(a.due.saturating_sub(self.try_length[class])) };
        let aim = origin.saturating_add(spec.aim).saturating_add((spec.stretch * size) as Micros).min(a.due);
        let wanted = if spec.late_worth > 0.0 { a.due } else { aim };
        let request = Request {
            class,
            size,
            key: a.key,
            hinted: hint.is_some(),
            width: if a.width.is_finite() { a.width.clamp(0.0, 1024.0) } else { 1.0 },
            due: a.due,
            aim,
            wanted,
            spent: !a.sendable,
            ..Request::default()
        };
        self.requests.insert(a.request, request);
        self.recent.push_back(a.key);
        self.recent.drain(..self.recent.len().saturating_sub(SHARE_HISTORY));
        self.note_arrival(now, size);
        self.repeats = (self.repeats + (REPEATS - self.settings.prices.waste).max(0.0)).min(REPEATS_MOST);
        self.place(now, a.request, actions);
    }

    /// Sends a request on, or holds it.
    fn place(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if now >= r.due || !self.may_try_again(r, now) {
            self.give_up(id, actions);
        } else if let Some(worker) = self.pick(id, now) {
            self.send(now, id, worker, actions);
        } else {
            self.hold(now, id);
            self.check_at(id, self.latest_start(id));
        }
    }

    /// Queues a request, the most urgent first; one that can hardly meet its aim goes behind all that can, as
    /// a hint may err. Guards against a backlog in which each job waits for its deadline until it is late.
    fn hold(&mut self, now: Micros, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let at = self.latest_start(id);
        let spare = r.wanted - r.aim + ((HINT_ERROR - 1.0) * (r.wanted - at) as f64) as Micros;
        let at = if at - spare > now { at - spare } else { at.saturating_add(LATE) };
        let i = self.held.partition_point(|&h| h < (at, id));
        self.held.insert(i, (at, id));
    }

    fn send(&mut self, now: Micros, id: RequestId, worker: WorkerId, actions: &mut Vec<Action>) {
        let w = self.worker(worker);
        let Some(r) = self.requests.get(&id) else { return };
        // T = T_init − β·R: half of the slack this job has, so that another worker can still be in time.
        let slack = r.wanted.saturating_sub(now) as f64 - r.size / self.penalised(w, r.class, now);
        let t = (slack / 2.0 * (1.0 - BETA * self.excess(w) as f64)) as Micros;
        let check = (now + t.max(3 * START_GRACE)).min(r.due);
        let (cold, before) = (self.warmth(w, now) < 1.0, self.repeat_until(r));
        let debt = if cold { self.cold_debt(worker, now).max(0.0) + self.cold_cost(r) } else { 0.0 };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let (request, number, started) = (id, r.attempts, None);
        let Request { class, size, width, wanted, key, .. } = *r;
        r.attempts += 1;
        r.out = Some((worker, number));
        r.cancelled = false;
        r.tried.push(worker);
        let kept = (KEPT_PER_SLOT * self.kind(self.worker(worker)).slots).ceil() as usize;
        let w = &mut self.workers[worker.0 as usize];
        w.keys.sent(key, kept);
        w.in_flight.push(Attempt { request, number, class, size, width, sent: now, wanted, started });
        w.cold = (debt, now);
        actions.push(Action::Send { request, worker, timeout: 0, before });
        self.check_at(id, check);
    }

    fn attempt(&mut self, (request, number, worker): Sent) -> Option<&mut Attempt> {
        self.worker_mut(worker).in_flight.iter_mut().find(|a| a.request == request && a.number == number)
    }

    fn on_started(&mut self, now: Micros, sent: Sent) {
        let worker = sent.2;
        self.worker_mut(worker).alive = now;
        let Some(a) = self.attempt(sent) else { return };
        if a.started.is_none() {
            a.started = Some(now);
            let (class, waited) = (a.class, (now - a.sent) as f64);
            self.note_wait(now, worker, class, waited);
        }
        let w = self.worker_mut(worker);
        let running: f64 = w.in_flight.iter().filter(|a| a.started.is_some()).map(|a| a.width).sum();
        let kind = w.entry.kind;
        self.kinds[kind].slots = self.kinds[kind].slots.max(running);
    }

    /// So long a job of this class has waited at a worker, for its start or in vain.
    fn note_wait(&mut self, now: Micros, id: WorkerId, class: usize, waited: f64) {
        let warm = self.warmth(self.worker(id), now) >= 1.0;
        let w = &mut self.workers[id.0 as usize];
        let fresh = w.fresh(class, now);
        w.wait[class] = ((w.wait[class].0 * fresh + waited) / (1.0 + fresh), now);
        let usual = &mut self.kinds[w.entry.kind].wait[class.min(3)];
        *usual += if warm { (waited - *usual) / USUAL_HISTORY } else { 0.0 };
    }

    fn on_outcome(&mut self, now: Micros, sent: Sent, end: (Outcome, Micros, bool), to: &mut Vec<Action>) {
        let ((id, number, worker), (outcome, took, closed)) = (sent, end);
        let w = self.worker_mut(worker);
        if let Some(i) = w.in_flight.iter().position(|a| a.request == id && a.number == number) {
            let attempt = w.in_flight.swap_remove(i);
            self.learn(now, worker, &attempt, outcome, took);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        let last = r.out.take_if(|out| *out == (worker, number)).is_some();
        if closed {
            return self.forget(id, to);
        }
        let Some(r) = self.requests.get_mut(&id).filter(|_| last) else { return };
        let unseen = matches!(outcome, Outcome::ConnectFailed | Outcome::Moot);
        let never_ran = unseen || outcome == Outcome::Full && !self.settings.rules.full_may_have_run;
        r.ran = r.ran.or((!never_ran).then_some((worker, now - took)));
        if matches!(outcome, Outcome::Moot | Outcome::Unusable) || now >= r.due {
            self.give_up(id, to);
        } else {
            self.place(now, id, to);
        }
    }

    /// Looks at a request again at the time set for it.
    fn check(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.streaming) else { return };
        if now >= r.due {
            // An outstanding attempt is answered by its own time-out, which comes within the slack.
            if r.out.is_none() {
                self.give_up(id, actions);
            }
            return;
        }
        let Some((worker, number)) = r.out else {
            let at = self.latest_start(id);
            return if now >= at { self.give_up(id, actions) } else { self.check_at(id, at) };
        };
        let safe = self.settings.classes[r.class].effect != Effect::Unsafe;
        let may = self.settings.limits.cancel && self.settings.tells_start && !r.cancelled;
        let (again, w) = (may && safe && self.may_try_again(r, now), self.worker(worker));
        let out = w.unstarted().find(|a| a.request == id && a.number == number);
        let Some(a) = out.filter(|_| again) else { return };
        if now >= r.wanted {
            return self.give_up(id, actions);
        }
        // Not started in time T: this worker has timed out, unless it has shown life and is only behind.
        let other = if w.alive > a.sent { None } else { self.pick(id, now) };
        let Some(r) = self.requests.get_mut(&id) else { return };
        if other.is_some_and(|o| o != worker) && self.repeats >= 1.0 {
            self.repeats -= 1.0;
            r.cancelled = true;
            actions.push(Action::Cancel { request: id, attempt: number });
        } else {
            let at = (now + 3 * START_GRACE).min(r.wanted).max(now + 1);
            self.check_at(id, at);
        }
    }

    fn check_at(&mut self, id: RequestId, at: Micros) {
        if let Some(r) = self.requests.get_mut(&id) {
            self.checks.remove(&(r.check, id));
            r.check = at;
            self.checks.insert((at, id));
        }
    }

    /// Keeps one timer set for the earliest check.
    fn arm(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if let Some(&(at, _)) = self.checks.first().filter(|c| c.0 < self.armed) {
            self.armed = at;
            let delay = (at - now).clamp(self.settings.tick.max(1), 3_600_000_000);
            actions.push(Action::Timer { delay, token: CHECK });
        }
    }

    /// Ends a request without an answer from a worker: a refusal where that is harmless, else a failure.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let effect = self.settings.classes[r.class].effect;
        // What can't be sent again is refused only where it never ran, so that a failure is told as one.
        let again = matches!(effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. }) && !r.spent;
        let refuse = again || r.out.is_none() && r.ran.is_none();
        let (request, retry_after) = (id, self.settings.limits.max_retry_after);
        actions.push(if refuse { Action::Refuse { request, retry_after } } else { Action::Fail { request } });
        self.forget(id, actions);
    }

    /// Drops a request that has its final answer, and stops the work still outstanding for it.
    fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.checks.remove(&(r.check, id));
        self.held.retain(|h| h.1 != id);
        let may = self.settings.limits.cancel && !r.streaming && !r.cancelled;
        actions.extend(r.out.filter(|_| may).map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }

    // ---- The four rules, per send ----

    /// Whether the request may have a further attempt at all.
    fn may_try_again(&self, r: &Request, now: Micros) -> bool {
        r.attempts < self.settings.limits.max_attempts.max(1) && !r.spent && now < self.repeat_until(r)
    }

    /// Until when the request may be sent; a link that comes up later must not carry it.
    fn repeat_until(&self, r: &Request) -> Micros {
        match (self.settings.classes[r.class].effect, r.ran) {
            (Effect::Unsafe, Some(_)) => Micros::MIN,
            (Effect::Keyed { window, .. }, Some((_, at))) => at.saturating_add(window),
            _ => Micros::MAX,
        }
    }

    /// Whether this send keeps the rules. The request may still have one attempt out, to be withdrawn first.
    fn may_send(&self, r: &Request, id: WorkerId, now: Micros) -> bool {
        let w = self.worker(id);
        if !w.ready() || !self.may_try_again(r, now) {
            return false;
        }
        if let Effect::Keyed { scope, .. } = self.settings.classes[r.class].effect
            && let Some(first) = r.ran.map(|ran| ran.0).or(r.out.map(|out| out.0))
        {
            let (f, w) = (&self.worker(first).entry, &w.entry);
            if scope == Scope::Zone && f.zone != w.zone || scope == Scope::Cell && f.cell != w.cell {
                return false;
            }
        }
        self.cold_budget(id, self.cold_cost(r), now)
    }

    // ---- Cold budget ----

    /// Whether a cold worker can take this much more. All dispatchers together must stay under a multiple of
    /// its present capacity in any window; each takes its share of it, and less, as hints are rough. Where
    /// that is less than a job, one may go all the same, and the next when the share has made up for it: with
    /// their debts at random points, the dispatchers take turns. No one job may fill the window.
    fn cold_budget(&self, id: WorkerId, cost: f64, now: Micros) -> bool {
        let w = self.worker(id);
        if self.warmth(w, now) >= 1.0 {
            return true;
        }
        let (capacity, rate) = self.cold_rate(id, now);
        let fall = self.settings.rules.fall as f64;
        let debt = self.cold_debt(id, now);
        // What it has not got through yet says that it can do less than that.
        let behind =
            w.in_flight.iter().any(|a| (now - a.sent) as f64 > 2.0 * a.size / capacity + START_GRACE as f64);
        !behind && (debt.max(0.0) + cost <= rate * fall || debt <= 0.0 && cost <= capacity * fall * COLD_ONE)
    }

    /// What a send counts against a cold worker: a hint far under the mean is likelier wrong than right.
    fn cold_cost(&self, r: &Request) -> f64 {
        (r.size * r.width).max(self.mean_size * COLD_FLOOR)
    }

    /// What this dispatcher has sent a cold worker beyond its share; below 0 where it has sent less.
    fn cold_debt(&self, id: WorkerId, now: Micros) -> f64 {
        let w = self.worker(id);
        w.cold.0 - (now - w.cold.1) as f64 * self.cold_rate(id, now).1
    }

    /// The present capacity of a cold worker, as work over time, and this dispatcher's share of what all may
    /// send, by how many have it among their N. What its size carries shows in this one's own work.
    fn cold_rate(&self, id: WorkerId, now: Micros) -> (f64, f64) {
        let w = self.worker(id);
        let rules = &self.settings.rules;
        let all = f64::from(self.settings.balancers);
        let carried = all * self.mean_size / self.gap.max(1.0) * self.size(w) / self.ratings.max(1e-9);
        let capacity = carried * self.warmth(w, now);
        let chance = if self.set.contains(&id) { self.per_weight * self.weight(id, now) } else { 1.0 };
        let holders = (all * chance.min(1.0)).max(1.0);
        let share = COLD_SHARE - COLD_FEW / (holders + 2.0);
        (capacity, capacity * rules.fall_multiple * share / holders)
    }

    // ---- Health ----

    /// Counts what an attempt's end says of its worker.
    fn learn(&mut self, now: Micros, id: WorkerId, a: &Attempt, outcome: Outcome, took: Micros) {
        // A cold worker seen to be slower than its warmth explains is slow, and its record says so.
        let warmth = self.warmth(self.worker(id), now);
        match outcome {
            Outcome::Ok => {
                let known = self.epc(self.worker(id), a.class);
                let most = if warmth < 1.0 { known } else { 4.0 * known };
                let ratio = (a.size / took.max(1) as f64 / warmth).min(most);
                let w = self.worker_mut(id);
                w.alive = now;
                let kind = w.entry.kind;
                w.epc.get_mut(a.class).into_iter().for_each(|e| e.add(ratio, HISTORY));
                w.full.get_mut(a.class).into_iter().for_each(|f| f.0 = f.0.saturating_sub(1));
                let cleared = now <= a.wanted && std::mem::take(&mut w.timeouts) > 0;
                self.set_stale |= cleared;
                if warmth >= 1.0 {
                    self.fleet.add(ratio, 4.0 * HISTORY);
                    self.kinds[kind].epc.add(ratio, 2.0 * HISTORY);
                }
                self.estimate(id);
                self.stale.fill(true);
            }
            Outcome::Moot | Outcome::Unusable => {}
            // A connection has broken, not a worker that lives: of one that has died the next connect tells.
            Outcome::Reset if self.worker(id).alive > now - LIFE => {}
            // The answer was lost, not the job: the worker has shown life after it should have ended.
            Outcome::Timeout
                if a.started.is_some_and(|at| self.worker(id).alive > at + 3 * a.size as Micros) => {}
            // Withdrawn before it started, the job may well be queued there still.
            Outcome::Cancelled if a.started.is_some() || now - a.sent < 3 * START_GRACE => {}
            // A worker that has shown life since is not at fault: its queue is as long as the job waited.
            Outcome::Cancelled if self.worker(id).alive > a.sent => {
                let w = self.worker_mut(id);
                w.wait[a.class] = (w.wait_now(a.class, now, 0.0).max((now - a.sent) as f64), now);
            }
            Outcome::Full => {
                let effect = self.settings.classes[a.class].effect;
                let lossy = self.settings.rules.full_may_have_run && effect == Effect::Unsafe;
                // A full queue is taken to be longer than this job could have waited, fast as the answer was.
                let w = self.worker_mut(id);
                let longest = a.wanted.saturating_sub(now) as f64;
                w.wait[a.class] = (w.wait_now(a.class, now, 0.0).max(longest), now);
                // It may turn away one class alone: that class stays away, longer where this cost the job.
                if let Some(f) = w.full.get_mut(a.class) {
                    let doublings = f.0 + 1 + LOSSY_TRIALS * u32::from(lossy);
                    *f = ((f.0 + 1).min(R_MAX), now + (TRIAL_PAUSE << doublings));
                }
                self.set_stale = true;
            }
            _ => {
                // Where many share a worker, few starts are seen, and only those of jobs that had their turn.
                if self.beyond > 0.0 && outcome == Outcome::Timeout && a.started.is_none() {
                    self.note_wait(now, id, a.class, (now - a.sent) as f64);
                }
                let shared = self.shared_timeouts;
                self.set_stale = true;
                let w = self.worker_mut(id);
                w.timeouts = (w.timeouts + 1).min(R_MAX);
                w.trial_at = now + (TRIAL_PAUSE << w.timeouts.saturating_sub(shared));
            }
        }
    }

    fn sound(&self, id: WorkerId) -> bool {
        self.excess(self.worker(id)) == 0
    }

    /// Whether a worker is of the kind that runs this class.
    fn runs(&self, id: WorkerId, class: usize) -> bool {
        self.settings.classes[class].kind.is_none_or(|k| k == self.worker(id).entry.kind)
    }

    /// Whether a worker runs this class and has not turned it away of late.
    fn takes(&self, id: WorkerId, class: usize, now: Micros) -> bool {
        self.runs(id, class) && self.worker(id).full.get(class).is_none_or(|f| f.1 <= now)
    }

    /// Whether one job may try a worker that has failed: nothing else would show that it is back.
    fn trial_due(&self, r: &Request, id: WorkerId, now: Micros) -> bool {
        let w = self.worker(id);
        let left = r.wanted.saturating_sub(now) as f64 - r.size / self.epc(w, r.class);
        self.excess(w) > 0
            && now >= w.trial_at
            && w.in_flight.is_empty()
            && w.wait_now(r.class, now, 0.0) <= left.max(0.0)
    }

    // ---- Admission ----

    /// The last moment at which a held request could be sent and be in time.
    fn latest_start(&self, id: RequestId) -> Micros {
        let Some(r) = self.requests.get(&id) else { return 0 };
        let best = self.order[r.class].first().map_or(1.0, |&w| self.epc(self.worker(w), r.class));
        (r.wanted - (r.size / best) as Micros).min(r.due)
    }

    /// Sends what is held as soon as there is room, the most urgent first, with few tries that find none.
    fn place_held(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut i = 0;
        if !self.set.iter().any(|&id| self.room(id, now)) {
            return;
        }
        while let Some(&(_, id)) = self.held.first().filter(|h| h.0 <= now) {
            self.held.remove(0);
            self.hold(now, id);
        }
        while i < self.held.len().min(HELD_TRIES) {
            let id = self.held[i].1;
            if let Some(worker) = self.pick(id, now) {
                self.held.remove(i);
                self.send(now, id, worker, actions);
            } else {
                i += 1;
            }
        }
    }
}
