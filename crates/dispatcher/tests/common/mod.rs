//! Small builders that the tests share.
#![allow(dead_code)]

use sorrelhaven_dispatcher::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(effect: Idempotency) -> Class {
    Class {
        idempotency: effect,
        latency_objective: 200 * MS,
        objective_stretch: 2.5,
        deadline: 5 * S,
        priority_weight: 1.0,
        late_fraction: 0.0,
        worker_kind: None,
    }
}

pub fn keyed(scope: Scope) -> Idempotency {
    Idempotency::Keyed { scope, window: 3 * S }
}

/// Class 0 is safe, 1 unsafe, 2 keyed within a zone, 3 keyed everywhere, 4 keyed within a cell.
pub fn settings() -> Settings {
    Settings {
        instance: 0,
        instances: 2,
        zone: 0,
        worker_kinds: 2,
        classes: [
            Idempotency::Idempotent,
            Idempotency::NotIdempotent,
            keyed(Scope::Zone),
            keyed(Scope::All),
            keyed(Scope::Cell),
        ]
        .map(class)
        .to_vec(),
        limits: Limits {
            max_attempts: 3,
            hedging: false,
            cancel: true,
            probes: false,
            max_retry_after: 2 * S,
            connect_timeout: 250 * MS,
            rejection_may_have_run: false,
        },
        slow_start: SlowStartRules {
            initial_capacity: 0.2,
            duration: 10 * S,
            overload_factor: 3.0,
            overload_window: 2 * S,
        },
        penalties: Penalties::default(),
        marks_retry: true,
        polls_discovery: false,
        reports_start: true,
        progress_interval: 0,
        tick: MS,
        weights_include_load: false,
        report_fields: ReportFields::default(),
    }
}

pub fn entry(n: u32) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(n),
        name_hash: u64::from(n) * 7919 % 101,
        lifecycle: Lifecycle::Ready,
        started_at: 0,
        kind: 0,
        zone: (n % 2) as usize,
        cell: u64::from(n % 3),
        weight: 1.0,
    }
}

/// A first try without a key, whose body can be sent again.
pub fn arrival(request: RequestId, class: usize, due: Micros, hint: Micros) -> Arrival {
    let (hint, width) = (Some(hint), 1.0);
    Arrival {
        request,
        class,
        deadline: due,
        work_hint: hint,
        slots: width,
        is_retry: false,
        affinity_key: 0,
        body_sendable: true,
    }
}

/// A dispatcher with its host's side of the story.
pub struct Desk {
    pub dispatcher: Dispatcher,
    pub next: u64,
}

impl Desk {
    pub fn new(settings: Settings, workers: u32) -> Self {
        let mut desk = Desk { dispatcher: Dispatcher::new(settings, 7), next: 0 };
        desk.tell(0, Event::WorkerList(WorkerListUpdate::Full((0..workers).map(entry).collect())));
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
        self.tell(
            now,
            Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome,
                elapsed: 10 * MS,
                request_concluded: closed,
                load_report: report,
            },
        )
    }

    /// Sends a job and has it served at `speed`; gives the worker that had it.
    pub fn serve(&mut self, now: Micros, hint: Micros, speed: impl Fn(WorkerId) -> f64) -> Option<WorkerId> {
        let (request, actions) = self.arrive(now, 0, hint);
        let worker = sends(&actions).first().map(|s| s.1)?;
        self.tell(now + MS, Event::AttemptStarted { request, attempt: 0, worker });
        let took = (hint as f64 / speed(worker)) as Micros;
        let (outcome, report) = (Outcome::Ok, Vec::new());
        self.tell(
            now + took,
            Event::AttemptEnded {
                request,
                attempt: 0,
                worker,
                outcome,
                elapsed: took,
                request_concluded: true,
                load_report: report,
            },
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
