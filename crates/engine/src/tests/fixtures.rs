//! What the tests of the engine share: an engine in the test's own thread, with jobs and attempts for it.

use crate::attempt;
use crate::attempt_end::AttemptEnd;
use crate::attempt_spec::AttemptSpec;
use crate::job::{Job, RequestMessage};
use crate::{Engine, RequestPayload};
use async_channel::Receiver;
use futures_lite::future::or;
use sorrelhaven_body_store::BodyEnd;
use sorrelhaven_config::Config;
use sorrelhaven_dispatcher::{Micros, WorkerId};
use sorrelhaven_wire::PeerCloseDetector;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An engine that knows one worker, `s-1` at `address`.
pub fn engine(address: SocketAddr) -> Rc<Engine> {
    engine_with_config(&sorrelhaven_test_support::single_worker_config(address, "at_most_once"))
}

/// An engine with this configuration.
pub fn engine_with_config(text: &str) -> Rc<Engine> {
    Engine::new(&Config::parse(text, |_| None).expect("a configuration"), None)
}

/// An engine whose one worker is not to be reached.
pub fn engine_without_worker() -> Rc<Engine> {
    engine("127.0.0.1:1".parse().expect("an address"))
}

/// A first attempt at the one worker, which waits for `timeout`.
pub fn attempt_spec(timeout: Duration) -> AttemptSpec {
    let deadline = Instant::now() + timeout;
    AttemptSpec {
        attempt: 0,
        worker: WorkerId(0),
        deadline,
        send_by: deadline,
        request: Rc::default(),
        fully_sent: Rc::default(),
    }
}

/// Runs one attempt and returns its messages to the request.
pub fn run_attempt(
    engine: &Rc<Engine>,
    payload: Rc<RequestPayload>,
    spec: AttemptSpec,
) -> Receiver<RequestMessage> {
    let (sender, messages) = async_channel::unbounded();
    run(engine, attempt::run(engine.upstreams.clone(), payload, spec, sender));
    messages
}

/// How the attempt ended of which this is the next message; panics where it is another message, or none.
pub fn next_end(messages: &Receiver<RequestMessage>) -> AttemptEnd {
    match messages.try_recv() {
        Ok(RequestMessage::AttemptEnded { end, .. }) => end,
        other => panic!("no outcome: {other:?}"),
    }
}

/// A job of the first class with this payload, whose client gives up at `deadline`.
pub fn job(
    payload: RequestPayload,
    deadline: Micros,
    client_close_detector: Option<PeerCloseDetector>,
) -> Job {
    Job {
        class: 0,
        deadline,
        work_hint: Some(50_000),
        slots: 1.0,
        is_retry: false,
        affinity_key: 0,
        body_sendable: true,
        body_permit: None,
        client_close_detector,
        payload,
    }
}

/// Runs the engine's tasks until `work` is done.
pub fn run<T>(engine: &Rc<Engine>, work: impl Future<Output = T>) -> T {
    async_io::block_on(or(work, async { match engine.tasks.run().await {} }))
}

/// The payload of a request `r1` with this body, stored in memory.
pub fn payload(engine: &Rc<Engine>, target: &str, bytes: &[u8]) -> RequestPayload {
    let mut writer =
        engine.bodies.begin_upload(0, Some(bytes.len() as u64)).ok().expect("a body that is accepted");
    let body = writer.body();
    let stored = async {
        writer.push(bytes).await?;
        Ok::<BodyEnd, BodyEnd>(writer.finish().await)
    };
    futures_lite::future::block_on(stored).expect("it is stored");
    RequestPayload {
        id: "r1".into(),
        method: "POST".to_string(),
        target: target.to_string(),
        headers: Vec::new(),
        body,
    }
}
