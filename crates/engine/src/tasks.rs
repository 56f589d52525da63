//! The node's single-threaded executor. Urgent tasks run before ordinary ones, but do not starve them.
//!
//! A step is one poll of one task. A round runs a few urgent steps and at most one ordinary step. A slice is
//! a series of rounds, after which the sockets and timers of the system are polled.

use crate::responsiveness::Responsiveness;
use async_executor::{LocalExecutor, Task};
use event_listener::Event;
use futures_lite::future::{or, poll_fn, yield_now};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The most rounds in a slice.
const MAX_ROUNDS_PER_SLICE: usize = 64;
/// A slice also ends after this time, because input and deadlines wait for the poll that follows it.
const MAX_SLICE_DURATION: Duration = Duration::from_millis(2);
/// The most urgent steps in a round. Endless urgent work, such as timers that are always due, must not
/// prevent requests from being answered.
const MAX_URGENT_STEPS_PER_ROUND: usize = 8;

/// The tasks of one node.
#[derive(Default)]
pub struct Tasks {
    responsiveness: Rc<Responsiveness>,
    urgent: LocalExecutor<'static>,
    ordinary: LocalExecutor<'static>,
    /// Notified when a task that waits in [`Tasks::yield_to_small_requests`] may continue.
    yielded_tasks: Event,
}

impl Tasks {
    /// Creates an executor without tasks that reports the duration of each step to `responsiveness`.
    pub fn new(responsiveness: Rc<Responsiveness>) -> Tasks {
        Tasks { responsiveness, ..Tasks::default() }
    }

    /// Starts an ordinary task that runs to its end.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.ordinary.spawn(task).detach();
    }

    /// Starts an ordinary task that is cancelled when the returned handle is dropped.
    pub fn spawn_cancellable(&self, task: impl Future<Output = ()> + 'static) -> Task<()> {
        self.ordinary.spawn(task)
    }

    /// Starts an urgent task that runs to its end. For the discovery watch, the dispatcher's timers, signals
    /// and the admin listener.
    pub fn spawn_urgent(&self, task: impl Future<Output = ()> + 'static) {
        self.urgent.spawn(task).detach();
    }

    /// Starts an urgent task that is cancelled when the returned handle is dropped.
    pub fn spawn_urgent_cancellable(&self, task: impl Future<Output = ()> + 'static) -> Task<()> {
        self.urgent.spawn(task)
    }

    /// Waits until no other task can run, or until a slice ends; one waiting task is resumed at a time.
    /// Called between the blocks of large bodies, so that a small request waits for one block at most,
    /// however many large bodies are being sent.
    pub async fn yield_to_small_requests(&self) {
        self.yielded_tasks.listen().await;
    }

    /// Runs all tasks. Never returns.
    pub async fn run(&self) -> Infallible {
        loop {
            self.run_slice().await;
            // Resumes one yielded task per slice, so that large bodies make progress under any load.
            self.yielded_tasks.notify_additional(1);
            // Lets the reactor poll the sockets and timers.
            yield_now().await;
        }
    }

    /// Runs tasks until the sockets and timers must be polled again.
    async fn run_slice(&self) {
        let slice_end = Instant::now() + MAX_SLICE_DURATION;
        for _ in 0..MAX_ROUNDS_PER_SLICE {
            self.run_urgent_steps();
            if !self.run_step(&self.ordinary) {
                let resumed_yielded_task = self.yielded_tasks.notify_additional(1) > 0;
                if resumed_yielded_task {
                    return;
                }
                self.wait_and_run_step().await;
            }
            if Instant::now() >= slice_end {
                return;
            }
        }
    }

    fn run_urgent_steps(&self) {
        for _ in 0..MAX_URGENT_STEPS_PER_ROUND {
            if !self.run_step(&self.urgent) {
                return;
            }
        }
    }

    /// Runs one step if a task can run; returns whether one could.
    fn run_step(&self, executor: &LocalExecutor<'_>) -> bool {
        let started = Instant::now();
        let ran = executor.try_tick();
        if ran {
            self.responsiveness.record_step(started);
        }
        ran
    }

    /// Waits until a task can run, and runs one step of it.
    async fn wait_and_run_step(&self) {
        let mut step = pin!(or(self.urgent.tick(), self.ordinary.tick()));
        poll_fn(|context| {
            let started = Instant::now();
            let polled = step.as_mut().poll(context);
            if polled.is_ready() {
                self.responsiveness.record_step(started);
            }
            polled
        })
        .await;
    }
}
