//! The node's one executor, of one thread. Urgent tasks run before all others, but do not starve them.

use crate::responsiveness::Responsiveness;
use async_executor::{LocalExecutor, Task};
use event_listener::Event;
use futures_lite::future::{or, poll_fn, yield_now};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The most rounds before the system's sockets and timers are polled again...
const MAX_ROUNDS_PER_SLICE: usize = 64;
/// ...and the longest time, where steps take long: input and deadlines wait for that poll.
const MAX_SLICE_DURATION: Duration = Duration::from_millis(2);
/// The most urgent steps in a row while an ordinary task could run. Urgent work without end, such as timers
/// that are always due, must not keep requests from their answers.
const MAX_URGENT_STEPS_PER_ROUND: usize = 8;

/// The tasks of one node.
#[derive(Default)]
pub struct Tasks {
    responsiveness: Rc<Responsiveness>,
    urgent: LocalExecutor<'static>,
    ordinary: LocalExecutor<'static>,
    /// Notified when a task that waits in [`Tasks::yield_to_small_requests`] may go on.
    yielded_tasks: Event,
}

impl Tasks {
    /// An executor without tasks; it reports the time of each step to `responsiveness`.
    pub fn new(responsiveness: Rc<Responsiveness>) -> Tasks {
        Tasks { responsiveness, ..Tasks::default() }
    }

    /// Starts a task that runs to its end.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.ordinary.spawn(task).detach();
    }

    /// Starts a task that is cancelled when the returned handle is dropped.
    pub fn spawn_cancellable(&self, task: impl Future<Output = ()> + 'static) -> Task<()> {
        self.ordinary.spawn(task)
    }

    /// Starts a task that runs before all ordinary ones: the discovery watch, the dispatcher's timers,
    /// signals and the admin listener.
    pub fn spawn_urgent(&self, task: impl Future<Output = ()> + 'static) {
        self.urgent.spawn(task).detach();
    }

    /// Starts an urgent task that is cancelled when the returned handle is dropped.
    pub fn spawn_urgent_cancellable(&self, task: impl Future<Output = ()> + 'static) -> Task<()> {
        self.urgent.spawn(task)
    }

    /// Waits until no other task can run, or until the slice ends: between the blocks of large bodies.
    /// However many bodies are under way, a small job waits for one block at most.
    pub async fn yield_to_small_requests(&self) {
        self.yielded_tasks.listen().await;
    }

    /// Runs all tasks, for ever.
    pub async fn run(&self) -> Infallible {
        loop {
            self.run_slice().await;
            // However much there is to do, large bodies go on, if slowly.
            self.yielded_tasks.notify_additional(1);
            // Returns to the reactor, which polls the sockets and timers.
            yield_now().await;
        }
    }

    /// Runs tasks until the sockets and timers are to be polled again.
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

    /// Polls one task that can run, if there is one.
    fn run_step(&self, executor: &LocalExecutor<'_>) -> bool {
        let started = Instant::now();
        let ran = executor.try_tick();
        if ran {
            self.responsiveness.record_step(started);
        }
        ran
    }

    /// Waits until a task can run, and polls it.
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
