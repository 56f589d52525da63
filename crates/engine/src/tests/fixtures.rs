//! Shared by the tests of the engine: an engine that runs in the test's own thread, and jobs and attempts for
//! it.

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

/// Creates an engine whose only worker is `s-1` at `address`, and whose only class is at-most-once.
pub fn engine(address: SocketAddr) -> Rc<Engine> {
    engine_with_config(&sorrelhaven_test_support::single_worker_config(address, "at_most_once"))
}

pub fn engine_with_config(text: &str) -> Rc<Engine> {
    Engine::new(&Config::parse(text, |_| None).expect("the configuration is valid"), None)
}

/// Creates an engine whose only worker cannot be reached: nothing listens at its address.
pub fn engine_with_unreachable_worker() -> Rc<Engine> {
    engine("127.0.0.1:1".parse().expect("the text is an address"))
}

/// The parameters of the first attempt of a request, at the only worker, with a deadline after `timeout`.
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

/// Runs one attempt to its end and returns the messages that it sent to its request.
pub fn run_attempt(
    engine: &Rc<Engine>,
    payload: Rc<RequestPayload>,
    spec: AttemptSpec,
) -> Receiver<RequestMessage> {
    let (sender, messages) = async_channel::unbounded();
    run(engine, attempt::run(engine.upstreams.clone(), payload, spec, sender));
    messages
}

/// Returns how the attempt ended. Panics unless the next message reports that.
pub fn next_end(messages: &Receiver<RequestMessage>) -> AttemptEnd {
    match messages.try_recv() {
        Ok(RequestMessage::AttemptEnded { end, .. }) => end,
        other => panic!("the next message does not report the end of the attempt: {other:?}"),
    }
}

/// A job of the first class whose client stops waiting for the answer at `deadline`, in dispatcher time.
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

/// Runs `work` to its end while the engine's tasks run, and returns its result.
pub fn run<T>(engine: &Rc<Engine>, work: impl Future<Output = T>) -> T {
    async_io::block_on(or(work, async { match engine.tasks.run().await {} }))
}

/// Stores `bytes` in memory as the body of a request `r1`, and returns the payload of that request.
pub fn payload(engine: &Rc<Engine>, target: &str, bytes: &[u8]) -> RequestPayload {
    let mut writer =
        engine.bodies.begin_upload(0, Some(bytes.len() as u64)).ok().expect("the body is not rejected");
    let body = writer.body();
    let upload = async {
        writer.push(bytes).await?;
        Ok::<BodyEnd, BodyEnd>(writer.finish().await)
    };
    futures_lite::future::block_on(upload).expect("the whole body is stored");
    RequestPayload {
        id: "r1".into(),
        method: "POST".to_string(),
        target: target.to_string(),
        headers: Vec::new(),
        body,
    }
}
