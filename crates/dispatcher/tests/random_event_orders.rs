//! Odd but legal event orders: the rules are checked on what comes out, by bookkeeping of the test's own.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sorrelhaven_dispatcher::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Arrive { class: usize, hint: i64, left: i64 },
    End { pick: usize, outcome: Outcome },
    Start { pick: usize },
    Lapse { pick: usize },
    List { worker: u32, lifecycle: Lifecycle, cold: bool },
    Stray { n: u64 },
    Pass { time: i64 },
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
    prop_oneof![
        6 => (0usize..7, prop_oneof![Just(-5), Just(0), 1..900 * MS, Just(i64::MAX)], -10i64..5_000)
            .prop_map(|(class, hint, left)| Step::Arrive { class, hint, left: left * MS }),
        6 => (any::<usize>(), outcome).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        3 => any::<usize>().prop_map(|pick| Step::Start { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Lapse { pick }),
        2 => (0u32..6, lifecycle, any::<bool>())
            .prop_map(|(worker, lifecycle, cold)| Step::List { worker, lifecycle, cold }),
        1 => any::<u64>().prop_map(|n| Step::Stray { n }),
        6 => (1i64..400).prop_map(|t| Step::Pass { time: t * MS }),
    ]
}

#[derive(Clone)]
struct Seen {
    class: usize,
    due: Micros,
    attempts: u32,
    ran: Option<(WorkerId, Micros)>,
    ended: bool,
}

struct Out {
    request: RequestId,
    attempt: u32,
    worker: WorkerId,
    sent: Micros,
    cancelled: bool,
}

struct World {
    harness: DispatcherHarness,
    now: Micros,
    seen: BTreeMap<RequestId, Seen>,
    out: Vec<Out>,
    timers: Vec<(Micros, u64)>,
    ready: [bool; 6],
    full_proves: bool,
}

impl World {
    fn dispatch(&mut self, event: Event) {
        let actions = self.harness.dispatch(self.now, event);
        for action in actions {
            self.obey(action);
        }
    }

    fn obey(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send { request, worker, .. } => {
                let r = self.seen.get_mut(&request).expect("a known request");
                assert!(!r.ended, "sent after its end");
                assert!(self.ready[worker.0 as usize], "sent to a draining worker");
                assert!(!self.out.iter().any(|o| o.request == request), "two attempts at once");
                assert!(r.attempts < 3, "too many attempts");
                let same = |f: WorkerId| match r.class {
                    0 | 3 => true,
                    2 => f.0 % 2 == worker.0 % 2,
                    4 => f.0 % 3 == worker.0 % 3,
                    _ => false,
                };
                if let Some((first, at)) = r.ran {
                    assert!(same(first), "repeat outside its group");
                    assert!(r.class == 0 || now - at <= 3 * SEC, "repeat outside its window");
                }
                self.out.push(Out { request, attempt: r.attempts, worker, sent: now, cancelled: false });
                r.attempts += 1;
            }
            Action::Reject { request, .. } => {
                let running = self.out.iter().any(|o| o.request == request);
                let r = self.seen.get_mut(&request).expect("a known request");
                assert!(!r.ended, "two answers");
                assert!(matches!(r.class, 0 | 3) || r.ran.is_none() && !running, "harmful refusal");
                r.ended = true;
            }
            Action::Fail { request } => {
                let r = self.seen.get_mut(&request).expect("a known request");
                assert!(!r.ended, "two answers");
                r.ended = true;
            }
            Action::Cancel { request, attempt } => {
                for o in &mut self.out {
                    o.cancelled |= o.request == request && o.attempt == attempt;
                }
            }
            Action::SetTimer { delay, token } => {
                assert!(delay > 0);
                self.timers.push((now + delay, token));
            }
            Action::Probe { .. } => panic!("probes are not permitted here"),
            Action::WatchWorkerList | Action::Log(_) => {}
        }
    }

    fn end(&mut self, i: usize, outcome: Outcome) {
        let o = self.out.swap_remove(i);
        let r = self.seen.get_mut(&o.request).expect("a known request");
        let proof = match outcome {
            Outcome::Rejected => self.full_proves,
            Outcome::ConnectFailed | Outcome::NotSent => true,
            _ => false,
        };
        if !proof && r.ran.is_none() {
            r.ran = Some((o.worker, o.sent));
        }
        r.ended |= outcome == Outcome::Ok;
        let closed = r.ended;
        self.dispatch(Event::AttemptEnded {
            request: o.request,
            attempt: o.attempt,
            worker: o.worker,
            outcome,
            elapsed: self.now - o.sent,
            request_concluded: closed,
            load_report: Vec::new(),
        });
    }

    /// Lets time pass: timers fire, withdrawn attempts end, attempts time out when their request is due.
    fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += MS;
            let (due, later) = std::mem::take(&mut self.timers).into_iter().partition(|t| t.0 <= self.now);
            self.timers = later;
            let due: Vec<(Micros, u64)> = due;
            for (_, token) in due {
                self.dispatch(Event::Timer(token));
            }
            while let Some(i) = self.out.iter().position(|o| o.cancelled) {
                self.end(i, Outcome::Cancelled);
            }
            while let Some(i) = self.out.iter().position(|o| self.seen[&o.request].due <= self.now) {
                self.end(i, Outcome::Timeout);
            }
            for (id, r) in &self.seen {
                assert!(r.ended || self.now <= r.due + 5 * MS, "no answer in time for {id:?}");
            }
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Arrive { class, hint, left } => {
                let request = RequestId(self.harness.next_request);
                self.harness.next_request += 1;
                let due = self.now + left;
                let seen = Seen { class, due, attempts: 0, ran: None, ended: false };
                self.seen.insert(request, seen);
                let hint = (hint != 0).then_some(hint);
                self.dispatch(Event::Arrival(Arrival {
                    request,
                    class,
                    deadline: due,
                    work_hint: hint,
                    slots: 1.0,
                    is_retry: false,
                    affinity_key: 0,
                    body_sendable: true,
                }));
            }
            Step::End { pick, outcome } if !self.out.is_empty() => self.end(pick % self.out.len(), outcome),
            Step::Start { pick } if !self.out.is_empty() => {
                let o = &self.out[pick % self.out.len()];
                let (request, attempt, worker) = (o.request, o.attempt, o.worker);
                self.dispatch(Event::AttemptStarted { request, attempt, worker });
            }
            Step::Lapse { pick } if !self.seen.is_empty() => {
                let id = RequestId((pick % self.seen.len()) as u64);
                self.seen.get_mut(&id).expect("a known request").ended = true;
                self.dispatch(Event::ClientDisconnected(id));
            }
            Step::List { worker, lifecycle, cold } => {
                self.ready[worker as usize] = lifecycle == Lifecycle::Ready;
                let born = if cold { self.now } else { 0 };
                let entry = WorkerEntry { lifecycle, started_at: born, ..entry(worker) };
                self.dispatch(list_delta([entry]));
            }
            Step::Stray { n } => {
                self.dispatch(Event::Timer(n % 4));
                self.dispatch(Event::ClientDisconnected(RequestId(u64::MAX - n % 9)));
                let worker = WorkerId((n % 6) as u32);
                self.dispatch(Event::AttemptStarted { request: RequestId(u64::MAX), attempt: 0, worker });
            }
            Step::Pass { time } => self.pass(time),
            _ => {}
        }
    }
}

#[test]
fn the_rules_hold_in_any_order_of_events() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = (prop::collection::vec(step(), 1..80), any::<bool>());
    runner
        .run(&steps, |(steps, full_proves)| {
            let mut settings = settings();
            settings.limits.rejection_may_have_run = !full_proves;
            let harness = DispatcherHarness::new(settings, 6);
            let (seen, out, timers) = (BTreeMap::new(), Vec::new(), Vec::new());
            let mut world = World { harness, now: SEC, seen, out, timers, ready: [true; 6], full_proves };
            for step in steps {
                world.run(step);
            }
            world.pass(6 * SEC);
            assert!(world.seen.values().all(|r| r.ended), "a request was never answered");
            Ok(())
        })
        .expect("every order keeps the rules");
}
