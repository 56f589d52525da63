//! What the tests of the engine share: one in this thread.

use crate::attempt_spec::AttemptSpec;
use crate::job::Job;
use crate::{Engine, RequestPayload};
use futures_lite::future::or;
use sorrelhaven_body_store::BodyEnd;
use sorrelhaven_config::Config;
use sorrelhaven_dispatcher::{Micros, WorkerId};
use sorrelhaven_wire::PeerProbe;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An engine that knows one executor, `s-1` at `dial`.
pub fn engine(dial: SocketAddr) -> Rc<Engine> {
    configured(&sorrelhaven_test_support::single_worker_config(dial, "at_most_once"))
}

/// An engine with this configuration.
pub fn configured(text: &str) -> Rc<Engine> {
    Engine::new(&Config::parse(text, |_| None).expect("a configuration"), None)
}

/// A first execution at the one executor, which waits for so long.
pub fn order(wait: Duration) -> AttemptSpec {
    let deadline = Instant::now() + wait;
    AttemptSpec {
        attempt: 0,
        worker: WorkerId(0),
        deadline,
        send_by: deadline,
        request: Rc::default(),
        fully_sent: Rc::default(),
    }
}

/// A job of the first class with this parcel, whose client gives up at `due`.
pub fn job(parcel: RequestPayload, due: Micros, client: Option<PeerProbe>) -> Job {
    Job {
        class: 0,
        deadline: due,
        work_hint: Some(50_000),
        slots: 1.0,
        is_retry: false,
        affinity_key: 0,
        body_sendable: true,
        body_permit: None,
        client_probe: client,
        payload: parcel,
    }
}

/// Runs the engine's tasks until `work` is done.
pub fn run<T>(engine: &Rc<Engine>, work: impl Future<Output = T>) -> T {
    async_io::block_on(or(work, async { match engine.tasks.run().await {} }))
}

/// A parcel `r1` with this body, kept in memory.
pub fn parcel(engine: &Rc<Engine>, target: &str, bytes: &[u8]) -> RequestPayload {
    let mut writer = engine.bodies.begin(0, Some(bytes.len() as u64)).ok().expect("a body that is taken");
    let body = writer.body();
    let kept = async {
        writer.push(bytes).await?;
        Ok::<BodyEnd, BodyEnd>(writer.finish().await)
    };
    futures_lite::future::block_on(kept).expect("it is kept");
    let (id, method) = ("r1".into(), "POST".to_string());
    RequestPayload { id, method, target: target.to_string(), headers: Vec::new(), body }
}
