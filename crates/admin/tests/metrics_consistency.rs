//! The metrics while requests are in progress: they must add up after each step of the event loop, and at the
//! end they must match what clients received and workers executed.

use futures_lite::future::{or, yield_now};
use proptest::prelude::*;
use sorrelhaven_admin::{AdminService, ClassMetrics};
use sorrelhaven_body_store::BodyEnd;
use sorrelhaven_config::Config;
use sorrelhaven_engine::{Answer, ClassCounters, Engine, Job, RequestPayload};
use sorrelhaven_lifecycle::LifecycleHandle;
use sorrelhaven_test_support::{FakeWorkers, WorkerBehavior, check_cases, workers_config};
use std::cell::Cell;
use std::rc::Rc;

const CLASSES: usize = 3;

/// One request, how its worker behaves, and when its client disconnects.
#[derive(Clone, Copy, Debug)]
struct Case {
    class: usize,
    behavior: WorkerBehavior,
    /// The client disconnects after this many steps of the event loop; `None` if it waits for the answer.
    disconnects_after: Option<u8>,
    /// The client's timeout, in microseconds.
    timeout: i64,
}

fn case() -> impl Strategy<Value = Case> {
    let behaviors = [
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
    let disconnects_after = prop_oneof![3 => Just(None), 1 => (0u8..60).prop_map(Some)];
    (
        0..CLASSES,
        prop::sample::select(behaviors.to_vec()),
        disconnects_after,
        prop_oneof![Just(0), Just(60_000), Just(150_000)],
    )
        .prop_map(|(class, behavior, disconnects_after, timeout)| Case {
            class,
            behavior,
            disconnects_after,
            timeout,
        })
}

fn job(engine: &Rc<Engine>, number: usize, case: Case) -> Job {
    let mut writer = engine.bodies.begin_upload(0, Some(4)).ok().expect("the upload is accepted");
    let body = writer.body();
    let stored = async {
        writer.push(b"body").await?;
        Ok::<BodyEnd, BodyEnd>(writer.finish().await)
    };
    futures_lite::future::block_on(stored).expect("the body is stored");
    let (id, method, target) = (format!("q-{number}").into(), "POST".to_string(), "/api".to_string());
    let headers = vec![("Idempotency-Key", format!("k-{number}").into_bytes())];
    Job {
        class: case.class,
        deadline: engine.dispatcher_loop.clock.now() + case.timeout,
        work_hint: Some(1_000),
        slots: 1.0,
        is_retry: false,
        affinity_key: 0,
        body_sendable: true,
        body_permit: None,
        client_close_detector: None,
        payload: RequestPayload { id, method, target, headers, body },
    }
}

/// Whether each admitted request counts either as in progress or under exactly one end, in the counters and
/// in the metrics, and the number of unavailable workers does not exceed that of known workers.
fn is_consistent(engine: &Engine, service: &AdminService) -> bool {
    let counters = &engine.counters;
    let concluded = |class: &ClassCounters| {
        let ends = [&class.served, &class.rejected, &class.failed, &class.client_gone];
        ends.map(|count| count.get()).iter().sum::<u64>()
    };
    let total_admitted: u64 = counters.classes().map(|(_, class)| class.admitted.get()).sum();
    let total_concluded: u64 = counters.classes().map(|(_, class)| concluded(class)).sum();
    let metrics = service.metrics();
    let total_answered: u64 =
        metrics.classes.iter().map(|class| class.served + class.rejected + class.failed).sum();
    let total_client_gone = counters.total(|class| &class.client_gone);
    total_admitted == total_concluded + metrics.in_progress
        && total_answered + total_client_gone == total_concluded
        && counters.classes().all(|(_, class)| concluded(class) <= class.admitted.get())
        && metrics.unavailable_workers <= metrics.known_workers
}

/// The answer that a client received, or that it disconnected before the answer.
#[derive(Clone, Copy)]
enum Received {
    Served,
    Rejected,
    Failed,
    Disconnected,
}

/// The number of clients for each [`Received`], which is the index.
type ReceivedCounts = [u64; 4];

/// Submits the request of `case` and returns what its client received.
async fn run_case(engine: &Rc<Engine>, number: usize, case: Case) -> Received {
    let request = engine.submit(job(engine, number, case)).expect("the request's id is unique");
    let disconnected = async {
        match case.disconnects_after {
            Some(steps) => {
                for _ in 0..steps {
                    yield_now().await;
                }
            }
            None => std::future::pending().await,
        }
        None
    };
    match or(async { Some(request.answer().await) }, disconnected).await {
        Some(Some(Answer::Served(_))) => Received::Served,
        Some(Some(Answer::Rejected { .. })) => Received::Rejected,
        Some(Some(Answer::Failed) | None) => Received::Failed,
        None => {
            request.client_disconnected();
            Received::Disconnected
        }
    }
}

#[test]
fn metrics_are_consistent_after_each_step_and_match_what_clients_received() {
    let steps = Rc::new(Cell::new(0_u64));
    let counted_steps = steps.clone();
    check_cases(24, prop::collection::vec(case(), 1..12), move |cases| {
        let workers = FakeWorkers::new(2);
        workers.script(&cases.iter().map(|case| case.behavior).collect::<Vec<_>>());
        let text = workers_config(&workers.addresses);
        let engine = Engine::new(&Config::parse(&text, |_| None).expect("the configuration is valid"), None);
        let service = AdminService::new(engine.clone(), Rc::<LifecycleHandle>::default(), None);
        let timers = engine.clone();
        engine.tasks.spawn_urgent(async move { timers.dispatcher_loop.run_timers().await });
        let received = Rc::new(Cell::new(ReceivedCounts::default()));
        for (number, case) in cases.iter().copied().enumerate() {
            let (shared, received) = (engine.clone(), received.clone());
            engine.tasks.spawn(async move {
                let outcome = run_case(&shared, number, case).await;
                let mut counts = received.get();
                counts[outcome as usize] += 1;
                received.set(counts);
            });
        }
        let total = |received: &Cell<ReceivedCounts>| received.get().iter().sum::<u64>() as usize;
        let watch = async {
            let mut consistent = is_consistent(&engine, &service);
            while total(&received) < cases.len() || engine.dispatcher_loop.registered_requests() > 0 {
                yield_now().await;
                counted_steps.set(counted_steps.get() + 1);
                consistent &= is_consistent(&engine, &service);
            }
            consistent
        };
        let consistent = async_io::block_on(or(watch, async { match engine.tasks.run().await {} }));
        prop_assert!(consistent, "the metrics did not add up after a step of the event loop");
        let metrics = service.metrics();
        let sum = |count: fn(&ClassMetrics) -> u64| metrics.classes.iter().map(count).sum::<u64>();
        let [served, rejected, failed, disconnected] = received.get();
        let counted = [sum(|class| class.served), sum(|class| class.rejected), sum(|class| class.failed)];
        // If a client disconnects in the same step in which its answer arrives, the metrics count the request
        // as answered, and the test counts the client as disconnected.
        let both = counted.iter().sum::<u64>() - (served + rejected + failed);
        prop_assert!(
            both <= disconnected && engine.counters.total(|class| &class.client_gone) == disconnected - both
        );
        prop_assert!(counted[0] >= served && counted[1] >= rejected && counted[2] >= failed);
        prop_assert_eq!(metrics.in_progress, 0);
        // Each request that a worker executed was written to it completely, and so was each that it rejected.
        prop_assert!(metrics.attempts_written >= workers.executed_requests().len() as u64);
        Ok(())
    });
    assert!(steps.get() > 1_000, "the metrics were checked after only {} steps", steps.get());
}
