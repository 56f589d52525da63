//! Random orders of events, including unusual ones: outcomes without a start notice, unknown ids, classes out
//! of range, workers that restart or leave the list at any time, and requests that arrive after their
//! deadline.
//!
//! The test keeps a model of all requests and outstanding attempts, and checks each action against it:
//!
//! - A request gets at most one final answer, and is concluded soon after its deadline.
//! - An attempt is sent only to a ready worker, and only for a request that is not concluded, has no
//!   outstanding attempt and has not reached the limit of attempts.
//! - A request that may have been executed is repeated only if it is idempotent, or within the scope and the
//!   window of its idempotency key.
//! - A request is rejected only if it was not executed, or if a repeat is harmless.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sorrelhaven_dispatcher::*;
use std::collections::BTreeMap;

const WORKERS: usize = 6;
const MAX_ATTEMPTS: u32 = 3;
/// Time for which workers keep an idempotency key.
const KEY_WINDOW: Micros = 3 * SEC;
/// Upper bound of the time from a request's deadline to its answer.
const MAX_LATENESS: Micros = 5 * MS;

/// Step of a test case. An index is reduced modulo the number of attempts or requests to choose from.
#[derive(Clone, Debug)]
enum Step {
    Arrive { class: usize, work_hint: Micros, time_left: Micros },
    EndAttempt { index: usize, outcome: Outcome },
    StartAttempt { index: usize },
    Disconnect { index: usize },
    UpdateWorker { worker: u32, lifecycle: Lifecycle, restarts: bool },
    UnknownIds { number: u64 },
    Wait { time: Micros },
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop::sample::select(vec![
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::NotSent,
    ]);
    let lifecycle = prop::sample::select(vec![Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone]);
    let work_hint = prop_oneof![Just(-5), Just(0), 1..900 * MS, Just(i64::MAX)];
    prop_oneof![
        6 => (0usize..7, work_hint, -10i64..5_000).prop_map(|(class, work_hint, left)| {
            Step::Arrive { class, work_hint, time_left: left * MS }
        }),
        6 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Step::EndAttempt { index, outcome }),
        3 => any::<usize>().prop_map(|index| Step::StartAttempt { index }),
        1 => any::<usize>().prop_map(|index| Step::Disconnect { index }),
        2 => (0u32..WORKERS as u32, lifecycle, any::<bool>()).prop_map(|(worker, lifecycle, restarts)| {
            Step::UpdateWorker { worker, lifecycle, restarts }
        }),
        1 => any::<u64>().prop_map(|number| Step::UnknownIds { number }),
        6 => (1i64..400).prop_map(|time| Step::Wait { time: time * MS }),
    ]
}

/// State of a request that has arrived.
#[derive(Clone)]
struct ModelRequest {
    class: usize,
    deadline: Micros,
    attempts: u32,
    /// First attempt that may have been executed: its worker and the time of its send.
    first_execution: Option<(WorkerId, Micros)>,
    /// Whether the request has its final answer, or its client has disconnected.
    is_concluded: bool,
}

struct OutstandingAttempt {
    request: RequestId,
    number: u32,
    worker: WorkerId,
    sent_at: Micros,
    is_cancelled: bool,
}

/// The dispatcher under test, and the state that follows from its events and actions.
struct Model {
    harness: DispatcherHarness,
    now: Micros,
    requests: BTreeMap<RequestId, ModelRequest>,
    outstanding: Vec<OutstandingAttempt>,
    timers: Vec<(Micros, u64)>,
    ready: [bool; WORKERS],
    rejection_proves_not_run: bool,
}

/// Returns whether a request of this class that `first` may have executed can be repeated at `worker`: it is
/// idempotent, or both workers are in the scope of its idempotency key.
fn may_repeat_at(class: usize, first: WorkerId, worker: WorkerId) -> bool {
    match class {
        0 | 3 => true,
        2 => first.0 % 2 == worker.0 % 2,
        4 => first.0 % 3 == worker.0 % 3,
        _ => false,
    }
}

impl Model {
    fn new(harness: DispatcherHarness, rejection_proves_not_run: bool) -> Model {
        Model {
            harness,
            now: SEC,
            requests: BTreeMap::new(),
            outstanding: Vec::new(),
            timers: Vec::new(),
            ready: [true; WORKERS],
            rejection_proves_not_run,
        }
    }

    fn dispatch(&mut self, event: Event) {
        for action in self.harness.dispatch(self.now, event) {
            self.check_action(action);
        }
    }

    fn request(&mut self, id: RequestId) -> &mut ModelRequest {
        self.requests.get_mut(&id).expect("the request has arrived")
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, .. } => self.check_send(request, worker),
            Action::Reject { request, .. } => self.check_rejection(request),
            Action::Fail { request } => {
                let request = self.request(request);
                assert!(!request.is_concluded, "a request that is concluded is failed");
                request.is_concluded = true;
            }
            Action::Cancel { request, attempt } => {
                for outstanding in &mut self.outstanding {
                    outstanding.is_cancelled |=
                        outstanding.request == request && outstanding.number == attempt;
                }
            }
            Action::SetTimer { delay, token } => {
                assert!(delay > 0);
                self.timers.push((self.now + delay, token));
            }
            Action::Probe { .. } => panic!("a worker is probed, which the settings do not permit"),
            Action::WatchWorkerList | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, id: RequestId, worker: WorkerId) {
        let now = self.now;
        let is_ready = self.ready[worker.0 as usize];
        let is_outstanding = self.outstanding.iter().any(|attempt| attempt.request == id);
        let request = self.request(id);
        assert!(!request.is_concluded, "an attempt is sent for a request that is concluded");
        assert!(is_ready, "an attempt is sent to a worker that is not ready");
        assert!(!is_outstanding, "an attempt is sent while another one is outstanding");
        assert!(
            request.attempts < MAX_ATTEMPTS,
            "an attempt is sent beyond the {MAX_ATTEMPTS} permitted ones"
        );
        if let Some((first, at)) = request.first_execution {
            assert!(
                may_repeat_at(request.class, first, worker),
                "a request is repeated at a worker that would execute it again"
            );
            assert!(
                request.class == 0 || now - at <= KEY_WINDOW,
                "a request is repeated after the window of its idempotency key"
            );
        }
        let number = request.attempts;
        request.attempts += 1;
        let attempt = OutstandingAttempt { request: id, number, worker, sent_at: now, is_cancelled: false };
        self.outstanding.push(attempt);
    }

    fn check_rejection(&mut self, id: RequestId) {
        let is_running = self.outstanding.iter().any(|attempt| attempt.request == id);
        let request = self.request(id);
        assert!(!request.is_concluded, "a request that is concluded is rejected");
        let never_ran = request.first_execution.is_none() && !is_running;
        assert!(
            matches!(request.class, 0 | 3) || never_ran,
            "a request that may have been executed, and must not be repeated, is rejected"
        );
        request.is_concluded = true;
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) {
        let attempt = self.outstanding.swap_remove(index);
        let never_ran = match outcome {
            Outcome::Rejected => self.rejection_proves_not_run,
            Outcome::ConnectFailed | Outcome::NotSent => true,
            _ => false,
        };
        let request = self.request(attempt.request);
        if !never_ran && request.first_execution.is_none() {
            request.first_execution = Some((attempt.worker, attempt.sent_at));
        }
        request.is_concluded |= outcome == Outcome::Ok;
        let request_concluded = request.is_concluded;
        self.dispatch(Event::AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            worker: attempt.worker,
            outcome,
            elapsed: self.now - attempt.sent_at,
            request_concluded,
            load_report: Vec::new(),
        });
    }

    /// Advances the clock in steps of 1 ms: timers expire, cancelled attempts end, and attempts time out at
    /// the deadline of their request.
    fn wait(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += MS;
            self.fire_timers();
            while let Some(index) = self.outstanding.iter().position(|attempt| attempt.is_cancelled) {
                self.end_attempt(index, Outcome::Cancelled);
            }
            while let Some(index) = self.outstanding.iter().position(|attempt| self.is_timed_out(attempt)) {
                self.end_attempt(index, Outcome::Timeout);
            }
            for (id, request) in &self.requests {
                let may_be_unanswered = self.now <= request.deadline + MAX_LATENESS;
                assert!(
                    request.is_concluded || may_be_unanswered,
                    "{id:?} is not concluded {MAX_LATENESS} µs after its deadline"
                );
            }
        }
    }

    fn fire_timers(&mut self) {
        let timers = std::mem::take(&mut self.timers);
        let (due, later): (Vec<_>, Vec<_>) = timers.into_iter().partition(|timer| timer.0 <= self.now);
        self.timers = later;
        for (_, token) in due {
            self.dispatch(Event::Timer(token));
        }
    }

    fn is_timed_out(&self, attempt: &OutstandingAttempt) -> bool {
        self.requests[&attempt.request].deadline <= self.now
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Arrive { class, work_hint, time_left } => self.arrive(class, work_hint, time_left),
            Step::EndAttempt { index, outcome } if !self.outstanding.is_empty() => {
                self.end_attempt(index % self.outstanding.len(), outcome);
            }
            Step::StartAttempt { index } if !self.outstanding.is_empty() => {
                let attempt = &self.outstanding[index % self.outstanding.len()];
                let (request, worker) = (attempt.request, attempt.worker);
                self.dispatch(Event::AttemptStarted { request, attempt: attempt.number, worker });
            }
            Step::Disconnect { index } if !self.requests.is_empty() => {
                let id = RequestId((index % self.requests.len()) as u64);
                self.request(id).is_concluded = true;
                self.dispatch(Event::ClientDisconnected(id));
            }
            Step::UpdateWorker { worker, lifecycle, restarts } => {
                self.ready[worker as usize] = lifecycle == Lifecycle::Ready;
                let started_at = if restarts { self.now } else { 0 };
                self.dispatch(list_delta([WorkerEntry { lifecycle, started_at, ..entry(worker) }]));
            }
            Step::UnknownIds { number } => self.report_unknown_ids(number),
            Step::Wait { time } => self.wait(time),
            Step::EndAttempt { .. } | Step::StartAttempt { .. } | Step::Disconnect { .. } => {}
        }
    }

    fn arrive(&mut self, class: usize, work_hint: Micros, time_left: Micros) {
        let id = self.harness.next_id();
        let deadline = self.now + time_left;
        let request =
            ModelRequest { class, deadline, attempts: 0, first_execution: None, is_concluded: false };
        self.requests.insert(id, request);
        self.dispatch(Event::Arrival(Arrival {
            work_hint: (work_hint != 0).then_some(work_hint),
            ..arrival(id, class, deadline, work_hint)
        }));
    }

    /// Reports a timer that may not have been set, and events of requests that have not arrived.
    fn report_unknown_ids(&mut self, number: u64) {
        self.dispatch(Event::Timer(number % 4));
        self.dispatch(Event::ClientDisconnected(RequestId(u64::MAX - number % 9)));
        let worker = WorkerId((number % WORKERS as u64) as u32);
        self.dispatch(Event::AttemptStarted { request: RequestId(u64::MAX), attempt: 0, worker });
    }
}

#[test]
fn rules_hold_in_any_order_of_events() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = (prop::collection::vec(step(), 1..80), any::<bool>());
    runner
        .run(&steps, |(steps, rejection_proves_not_run)| {
            let mut settings = settings();
            settings.limits.rejection_may_have_run = !rejection_proves_not_run;
            let harness = DispatcherHarness::new(settings, WORKERS as u32);
            let mut model = Model::new(harness, rejection_proves_not_run);
            for step in steps {
                model.run(step);
            }
            model.wait(6 * SEC);
            assert!(
                model.requests.values().all(|request| request.is_concluded),
                "a request is not concluded 6 s after the last step"
            );
            Ok(())
        })
        .expect("the rules hold in every order of events");
}
