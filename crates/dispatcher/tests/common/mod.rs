//! Settings, event constructors and a dispatcher harness for the integration tests.
#![allow(dead_code)]

pub mod fleet;

use sorrelhaven_dispatcher::*;

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        latency_objective: 200 * MS,
        objective_stretch: 2.5,
        deadline: 5 * SEC,
        priority_weight: 1.0,
        late_value_fraction: 0.0,
        worker_kind: None,
    }
}

pub fn keyed(scope: DedupScope) -> Idempotency {
    Idempotency::Keyed { scope, window: 3 * SEC }
}

/// Settings of one of two dispatchers, in zone 0. Class 0 is idempotent, class 1 is not. The others have an
/// idempotency key, with the deduplication scope zone (class 2), all workers (3) and cell (4).
pub fn settings() -> Settings {
    Settings {
        instance: 0,
        instances: 2,
        zone: 0,
        worker_kinds: 2,
        classes: [
            Idempotency::Idempotent,
            Idempotency::NotIdempotent,
            keyed(DedupScope::Zone),
            keyed(DedupScope::All),
            keyed(DedupScope::Cell),
        ]
        .map(class)
        .to_vec(),
        limits: Limits {
            max_attempts: 3,
            hedging: false,
            cancel: true,
            probes: false,
            max_retry_after: 2 * SEC,
            connect_timeout: 250 * MS,
            rejection_may_have_run: false,
        },
        slow_start: SlowStartRules {
            initial_capacity: 0.2,
            duration: 10 * SEC,
            overload_factor: 3.0,
            overload_window: 2 * SEC,
        },
        penalties: Penalties::default(),
        clients_mark_retries: true,
        worker_list_needs_watch: false,
        workers_report_start: true,
        progress_interval: 0,
        min_timer_delay: MS,
        weights_include_load: false,
        report_fields: ReportFields::default(),
    }
}

/// List entry of a ready worker: even numbers are in zone 0, odd ones in zone 1. There are three cells.
pub fn entry(number: u32) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(number),
        name_hash: u64::from(number) * 7919 % 101,
        lifecycle: Lifecycle::Ready,
        started_at: 0,
        kind: 0,
        zone: (number % 2) as usize,
        cell: u64::from(number % 3),
        weight: 1.0,
    }
}

/// Arrival of a request that is not a retry, has no affinity key, occupies one slot and whose body can be
/// sent.
pub fn arrival(request: RequestId, class: usize, deadline: Micros, work_hint: Micros) -> Arrival {
    Arrival {
        request,
        class,
        deadline,
        work_hint: Some(work_hint),
        slots: 1.0,
        is_retry: false,
        affinity_key: 0,
        body_sendable: true,
    }
}

/// Update with a complete worker list.
pub fn full_list(entries: impl IntoIterator<Item = WorkerEntry>) -> Event {
    Event::WorkerList(WorkerListUpdate::Full(entries.into_iter().collect()))
}

/// Update with the changed entries of the worker list.
pub fn list_delta(entries: impl IntoIterator<Item = WorkerEntry>) -> Event {
    Event::WorkerList(WorkerListUpdate::Delta(entries.into_iter().collect()))
}

/// End of an attempt, without a load report. The request is concluded if the outcome is [`Outcome::Ok`].
pub fn attempt_ended(
    request: RequestId,
    (worker, attempt): (WorkerId, u32),
    outcome: Outcome,
    elapsed: Micros,
) -> Event {
    Event::AttemptEnded {
        request,
        attempt,
        worker,
        outcome,
        elapsed,
        request_concluded: outcome == Outcome::Ok,
        load_report: Vec::new(),
    }
}

/// A dispatcher under test, and the number of its next request.
pub struct DispatcherHarness {
    pub dispatcher: Dispatcher,
    pub next_request: u64,
}

impl DispatcherHarness {
    /// Creates a dispatcher with this number of ready workers.
    pub fn new(settings: Settings, workers: u32) -> Self {
        let mut harness = DispatcherHarness::without_workers(settings, 7);
        harness.dispatch(0, full_list((0..workers).map(entry)));
        harness
    }

    pub fn without_workers(settings: Settings, seed: u64) -> Self {
        DispatcherHarness { dispatcher: Dispatcher::new(settings, seed), next_request: 0 }
    }

    /// Handles one event and returns the resulting actions.
    pub fn dispatch(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(now, event, &mut actions);
        actions
    }

    /// Returns a new request id; they are numbered consecutively.
    pub fn next_id(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request - 1)
    }

    /// Handles the arrival of a request whose client waits for 5 s; returns its id and the actions.
    pub fn arrive(&mut self, now: Micros, class: usize, work_hint: Micros) -> (RequestId, Vec<Action>) {
        let request = self.next_id();
        let arrival = arrival(request, class, now + 5 * SEC, work_hint);
        (request, self.dispatch(now, Event::Arrival(arrival)))
    }

    /// Handles the arrival of a request of class 0 with an affinity key and a work hint of 100 ms. Returns
    /// the worker that it is sent to, if it is sent at once.
    pub fn arrive_with_key(&mut self, now: Micros, affinity_key: u64) -> Option<WorkerId> {
        let request = self.next_id();
        let arrival = Arrival { affinity_key, ..arrival(request, 0, now + 5 * SEC, 100 * MS) };
        sends(&self.dispatch(now, Event::Arrival(arrival))).first().map(|send| send.worker)
    }

    /// Handles the end of an attempt at `now`. Its elapsed time is given as 10 ms, whenever it was sent.
    pub fn end_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        sent: (WorkerId, u32),
        outcome: Outcome,
    ) -> Vec<Action> {
        self.dispatch(now, attempt_ended(request, sent, outcome, 10 * MS))
    }

    /// Handles a request of class 0 from its arrival until a worker has served it; `speed` is the worker's
    /// speed in standard cores. Returns the worker, or none if the request was not sent at once.
    pub fn serve(
        &mut self,
        now: Micros,
        work_hint: Micros,
        speed: impl Fn(WorkerId) -> f64,
    ) -> Option<WorkerId> {
        let (request, actions) = self.arrive(now, 0, work_hint);
        let worker = sends(&actions).first().map(|send| send.worker)?;
        self.dispatch(now + MS, Event::AttemptStarted { request, attempt: 0, worker });
        let elapsed = (work_hint as f64 / speed(worker)) as Micros;
        self.dispatch(now + elapsed, attempt_ended(request, (worker, 0), Outcome::Ok, elapsed));
        Some(worker)
    }
}

/// Request and worker of an [`Action::Send`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentRequest {
    pub request: RequestId,
    pub worker: WorkerId,
}

/// Returns the requests that these actions send, in order.
pub fn sends(actions: &[Action]) -> Vec<SentRequest> {
    let send = |action: &Action| match *action {
        Action::Send { request, worker, .. } => Some(SentRequest { request, worker }),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}
