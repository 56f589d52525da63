//! The metrics while requests live: at every step of the executor the counts add up, and at the end they are what
//! clients heard and boxes had.

use futures_lite::future::{or, yield_now};
use proptest::prelude::*;
use sorrelhaven_admin::Desk;
use sorrelhaven_body_store::BodyEnd;
use sorrelhaven_config::Config;
use sorrelhaven_engine::{Answer, Engine, Job, RequestPayload};
use sorrelhaven_lifecycle::LifecycleHandle;
use sorrelhaven_test_support::{FakeWorkers, WorkerBehavior, check_cases, workers_config};
use std::cell::Cell;
use std::rc::Rc;

const CLASSES: usize = 3;

/// What one request meets.
#[derive(Clone, Copy, Debug)]
struct Case {
    class: usize,
    act: WorkerBehavior,
    /// Its client leaves after so many steps.
    leaves: Option<u8>,
    /// It has this long, in microseconds.
    time: i64,
}

fn case() -> impl Strategy<Value = Case> {
    let acts = [
        WorkerBehavior::Done,
        WorkerBehavior::DoneAfterMillis(5),
        WorkerBehavior::Failed,
        WorkerBehavior::Rejected,
        WorkerBehavior::Killed,
        WorkerBehavior::InvalidRequest,
        WorkerBehavior::Truncated,
        WorkerBehavior::Malformed,
        WorkerBehavior::WrongRequestId,
        WorkerBehavior::ResetDuringBody,
        WorkerBehavior::ResetAfterBody,
        WorkerBehavior::Silent,
    ];
    let leaves = prop_oneof![3 => Just(None), 1 => (0u8..60).prop_map(Some)];
    (
        0..CLASSES,
        prop::sample::select(acts.to_vec()),
        leaves,
        prop_oneof![Just(0), Just(60_000), Just(150_000)],
    )
        .prop_map(|(class, act, leaves, time)| Case { class, act, leaves, time })
}

fn job(engine: &Rc<Engine>, number: usize, case: Case) -> Job {
    let mut writer = engine.bodies.begin(0, Some(4)).ok().expect("a body that is taken");
    let body = writer.body();
    let kept = async {
        writer.push(b"body").await?;
        Ok::<BodyEnd, BodyEnd>(writer.finish().await)
    };
    futures_lite::future::block_on(kept).expect("it is kept");
    let (id, method, target) = (format!("q-{number}").into(), "POST".to_string(), "/api".to_string());
    let headers = vec![("Idempotency-Key", format!("k-{number}"))];
    Job {
        class: case.class,
        deadline: engine.dispatcher_loop.clock.now() + case.time,
        work_hint: Some(1_000),
        slots: 1.0,
        is_retry: false,
        affinity_key: 0,
        body_sendable: true,
        body_permit: None,
        client_probe: None,
        payload: RequestPayload { id, method, target, headers, body },
    }
}

/// Whether the counts add up: by class and with what is in progress, and as the text shows them.
fn adds_up(engine: &Engine, desk: &Desk) -> bool {
    let counters = &engine.counters;
    let ended = |c: &sorrelhaven_engine::ClassCounters| {
        [&c.served, &c.rejected, &c.failed, &c.client_gone].map(|count| count.get()).iter().sum::<u64>()
    };
    let (taken, done): (u64, u64) = counters
        .classes()
        .map(|(_, c)| (c.admitted.get(), ended(c)))
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    let metrics = desk.metrics();
    let shown: u64 = metrics.classes.iter().map(|c| c.passed + c.dropped + c.bad_gateway).sum();
    let left = counters.total(|c| &c.client_gone);
    taken == done + metrics.in_progress
        && shown + left == done
        && counters.classes().all(|(_, c)| ended(c) <= c.admitted.get())
        && metrics.skipped_executors <= metrics.known_executors
}

#[test]
fn a_scrape_adds_up_at_every_step_of_every_life() {
    let steps = Rc::new(Cell::new(0_u64));
    let seen = steps.clone();
    check_cases(24, prop::collection::vec(case(), 1..12), move |cases| {
        let boxes = FakeWorkers::new(2);
        boxes.script(&cases.iter().map(|c| c.act).collect::<Vec<_>>());
        let text = workers_config(&boxes.addresses);
        let engine = Engine::new(&Config::parse(&text, |_| None).expect("a configuration"), None);
        let desk = Desk::new(engine.clone(), Rc::<LifecycleHandle>::default(), None);
        let at = engine.clone();
        engine.tasks.spawn_urgent(async move { at.dispatcher_loop.run_timers().await });
        let heard = Rc::new(Cell::new([0_u64; 4]));
        for (number, case) in cases.iter().copied().enumerate() {
            let (at, heard) = (engine.clone(), heard.clone());
            engine.tasks.spawn(async move {
                let ticket = at.take(job(&at, number, case)).expect("its id is its own");
                let leaves = async {
                    match case.leaves {
                        Some(steps) => {
                            for _ in 0..steps {
                                yield_now().await;
                            }
                        }
                        None => std::future::pending().await,
                    }
                    None
                };
                let place = match or(async { Some(ticket.answer().await) }, leaves).await {
                    Some(Some(Answer::Served(_))) => 0,
                    Some(Some(Answer::Rejected { .. })) => 1,
                    Some(Some(Answer::Failed) | None) => 2,
                    None => {
                        ticket.client_disconnected();
                        3
                    }
                };
                let mut all = heard.get();
                all[place] += 1;
                heard.set(all);
            });
        }
        let sum = |heard: &Cell<[u64; 4]>| heard.get().iter().sum::<u64>() as usize;
        let watch = async {
            let mut sound = adds_up(&engine, &desk);
            while sum(&heard) < cases.len() || engine.dispatcher_loop.registered_requests() > 0 {
                yield_now().await;
                seen.set(seen.get() + 1);
                sound &= adds_up(&engine, &desk);
            }
            sound
        };
        let sound = async_io::block_on(or(watch, async { match engine.tasks.run().await {} }));
        prop_assert!(sound, "the metrics did not add up");
        let metrics = desk.metrics();
        let of = |count: fn(&sorrelhaven_admin::ClassMetrics) -> u64| {
            metrics.classes.iter().map(count).sum::<u64>()
        };
        let [served, refused, failed, left] = heard.get();
        let counted = [of(|c| c.passed), of(|c| c.dropped), of(|c| c.bad_gateway)];
        // One that leaves in the step in which its answer comes was answered, and has left.
        let crossed = counted.iter().sum::<u64>() - (served + refused + failed);
        prop_assert!(crossed <= left && engine.counters.total(|c| &c.client_gone) == left - crossed);
        prop_assert!(counted[0] >= served && counted[1] >= refused && counted[2] >= failed);
        prop_assert_eq!(metrics.in_progress, 0);
        // Each run was written whole; what a box turned away was, too.
        prop_assert!(metrics.upstream_tries >= boxes.executed_requests().len() as u64);
        Ok(())
    });
    assert!(steps.get() > 1_000, "{} scrapes", steps.get());
}
