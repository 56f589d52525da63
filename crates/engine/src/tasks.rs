//! The one executor, of one thread: urgent tasks go ahead of all others, but never keep them waiting for long.

use crate::responsiveness::Responsiveness;
use async_executor::{LocalExecutor, Task};
use event_listener::Event;
use futures_lite::future::{or, poll_fn, yield_now};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Steps of tasks before the sockets and timers of the system are looked at again...
const STEPS: usize = 64;
/// ...or so much time, where steps take long: a connection's news and each deadline wait for that look.
const SLICE: Duration = Duration::from_millis(2);
/// Urgent steps on end while an ordinary task could run. Urgent work that never ends, such as timers that are always due,
/// must not keep requests from their answers.
const URGENT_ON_END: usize = 8;

/// All tasks of one node.
#[derive(Default)]
pub struct Tasks {
    responsiveness: Rc<Responsiveness>,
    urgent: LocalExecutor<'static>,
    ordinary: LocalExecutor<'static>,
    turns: Event,
}

impl Tasks {
    /// No tasks yet; how long each step of one takes is told to `responsiveness`.
    pub fn new(responsiveness: Rc<Responsiveness>) -> Tasks {
        Tasks { responsiveness, ..Tasks::default() }
    }

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

    /// Runs one task that can run up to where it waits, if there is one.
    fn step(&self, executor: &LocalExecutor<'_>) -> bool {
        let begun = Instant::now();
        let ran = executor.try_tick();
        if ran {
            self.responsiveness.step_ended(begun);
        }
        ran
    }

    /// Waits until a task can run, and runs it up to where it waits.
    async fn next_step(&self) {
        let mut step = pin!(or(self.urgent.tick(), self.ordinary.tick()));
        poll_fn(|context| {
            let begun = Instant::now();
            let polled = step.as_mut().poll(context);
            if polled.is_ready() {
                self.responsiveness.step_ended(begun);
            }
            polled
        })
        .await;
    }

    /// Runs all tasks, for ever.
    pub async fn run(&self) -> std::convert::Infallible {
        loop {
            let slice_ends = Instant::now() + SLICE;
            for _ in 0..STEPS {
                for _ in 0..URGENT_ON_END {
                    if !self.step(&self.urgent) {
                        break;
                    }
                }
                if !self.step(&self.ordinary) {
                    if self.turns.notify_additional(1) > 0 {
                        break;
                    }
                    self.next_step().await;
                }
                if Instant::now() >= slice_ends {
                    break;
                }
            }
            // However much there is to do, large bodies go on, if slowly.
            self.turns.notify_additional(1);
            yield_now().await;
        }
    }
}
