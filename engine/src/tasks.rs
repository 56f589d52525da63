//! The one executor, of one thread: urgent tasks go ahead of all others.

use async_executor::{LocalExecutor, Task};
use event_listener::Event;
use futures_lite::future::{or, yield_now};

/// Ticks of the executor before the sockets are looked at again.
const TICKS: usize = 64;

/// All tasks of one node.
#[derive(Default)]
pub struct Tasks {
    urgent: LocalExecutor<'static>,
    ordinary: LocalExecutor<'static>,
    turns: Event,
}

impl Tasks {
    /// Starts a task that nobody waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.ordinary.spawn(task).detach();
    }

    /// Starts a task that ends when what it returns is dropped.
    pub fn hold(&self, task: impl Future<Output = ()> + 'static) -> Task<()> {
        self.ordinary.spawn(task)
    }

    /// Starts a task that goes before all others whenever it can run: news of draining boxes and births,
    /// and the operators' calls.
    pub fn spawn_urgent(&self, task: impl Future<Output = ()> + 'static) {
        self.urgent.spawn(task).detach();
    }

    /// Starts a task that goes before all others, and ends when what it returns is dropped.
    pub fn hold_urgent(&self, task: impl Future<Output = ()> + 'static) -> Task<()> {
        self.urgent.spawn(task)
    }

    /// Waits until nothing else has anything to do, or for long enough: between the pieces of large bodies, so that
    /// however many there are, a small job waits for one piece at most.
    pub async fn turn(&self) {
        self.turns.listen().await;
    }

    /// Runs all tasks, for ever.
    pub async fn run(&self) -> std::convert::Infallible {
        loop {
            for _ in 0..TICKS {
                while self.urgent.try_tick() {}
                if self.ordinary.try_tick() {
                    continue;
                }
                if self.turns.notify_additional(1) > 0 {
                    break;
                }
                or(self.urgent.tick(), self.ordinary.tick()).await;
            }
            // However much there is to do, large bodies go on, if slowly.
            self.turns.notify_additional(1);
            yield_now().await;
        }
    }
}
