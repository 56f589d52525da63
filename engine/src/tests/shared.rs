//! What the tests of the engine share: one in this thread.

use crate::Engine;
use futures_lite::future::or;
use sorrelhaven_config::Config;
use std::net::SocketAddr;
use std::rc::Rc;

/// An engine that knows one executor, `s-1` at `dial`.
pub fn engine(dial: SocketAddr) -> Rc<Engine> {
    let text = sorrelhaven_standins::one_box(dial, "at_most_once");
    Engine::new(&Config::parse(&text, |_| None).expect("a configuration"))
}

/// Runs the engine's tasks until `work` is done.
pub fn run<T>(engine: &Rc<Engine>, work: impl Future<Output = T>) -> T {
    async_io::block_on(or(work, async { match engine.tasks.run().await {} }))
}
