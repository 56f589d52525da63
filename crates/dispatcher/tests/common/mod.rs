//! Small builders that the tests share.
#![allow(dead_code)]

use sorrelhaven_dispatcher::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(effect: Effect) -> Class {
    Class { effect, aim: 200 * MS, stretch: 2.5, deadline: 5 * S, worth: 1.0, late_worth: 0.0, kind: None }
}

pub fn keyed(scope: Scope) -> Effect {
    Effect::Keyed { scope, window: 3 * S }
}

/// Class 0 is safe, 1 unsafe, 2 keyed within a zone, 3 keyed everywhere, 4 keyed within a cell.
pub fn settings() -> Settings {
    Settings {
        me: 0,
        balancers: 2,
        zone: 0,
        kinds: 2,
        classes: [Effect::Safe, Effect::Unsafe, keyed(Scope::Zone), keyed(Scope::All), keyed(Scope::Cell)]
            .map(class)
            .to_vec(),
        limits: Limits {
            max_attempts: 3,
            second_copies: false,
            cancel: true,
            probes: false,
            max_retry_after: 2 * S,
            connect_timeout: 250 * MS,
        },
        rules: RuleFigures {
            cold_from: 0.2,
            cold: 10 * S,
            fall_multiple: 3.0,
            fall: 2 * S,
            full_may_have_run: false,
        },
        prices: Prices::default(),
        marks_retry: true,
        subscribe: false,
        tells_start: true,
        progress: 0,
        tick: MS,
        live_weights: false,
        report: ReportFields::default(),
    }
}

pub fn entry(n: u32) -> Entry {
    Entry {
        worker: WorkerId(n),
        key: u64::from(n) * 7919 % 101,
        lifecycle: Lifecycle::Ready,
        born: 0,
        kind: 0,
        zone: (n % 2) as usize,
        cell: u64::from(n % 3),
        rating: 1.0,
    }
}

/// A first try without a key, whose body can be sent again.
pub fn arrival(request: RequestId, class: usize, due: Micros, hint: Micros) -> Arrival {
    let (hint, width) = (Some(hint), 1.0);
    Arrival { request, class, due, hint, width, resent: false, key: 0, sendable: true }
}

/// A dispatcher with its host's side of the story.
pub struct Desk {
    pub dispatcher: Dispatcher,
    pub next: u64,
}

impl Desk {
    pub fn new(settings: Settings, workers: u32) -> Self {
        let mut desk = Desk { dispatcher: Dispatcher::new(settings, 7), next: 0 };
        desk.tell(0, Event::Members(Members::Full((0..workers).map(entry).collect())));
        desk
    }

    pub fn tell(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(now, event, &mut actions);
        actions
    }

    /// The id of its next request.
    pub fn request(&mut self) -> RequestId {
        self.next += 1;
        RequestId(self.next - 1)
    }

    pub fn arrive(&mut self, now: Micros, class: usize, hint: Micros) -> (RequestId, Vec<Action>) {
        let request = self.request();
        (request, self.tell(now, Event::Arrival(arrival(request, class, now + 5 * S, hint))))
    }

    pub fn end(
        &mut self,
        now: Micros,
        request: RequestId,
        sent: (WorkerId, u32),
        outcome: Outcome,
    ) -> Vec<Action> {
        let (worker, attempt) = sent;
        let (closed, report) = (outcome == Outcome::Ok, Vec::new());
        self.tell(now, Event::Outcome { request, attempt, worker, outcome, took: 10 * MS, closed, report })
    }

    /// Sends a job and has it served at `speed`; gives the worker that had it.
    pub fn serve(&mut self, now: Micros, hint: Micros, speed: impl Fn(WorkerId) -> f64) -> Option<WorkerId> {
        let (request, actions) = self.arrive(now, 0, hint);
        let worker = sends(&actions).first().map(|s| s.1)?;
        self.tell(now + MS, Event::Started { request, attempt: 0, worker });
        let took = (hint as f64 / speed(worker)) as Micros;
        let (outcome, report) = (Outcome::Ok, Vec::new());
        self.tell(
            now + took,
            Event::Outcome { request, attempt: 0, worker, outcome, took, closed: true, report },
        );
        Some(worker)
    }
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, WorkerId)> {
    let send = |a: &Action| match a {
        Action::Send { request, worker, .. } => Some((*request, *worker)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}
