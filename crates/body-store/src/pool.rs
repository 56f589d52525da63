//! Calls that may block, on a bounded number of threads beside the executor.

use async_io::Timer;
use async_lock::Semaphore;
use futures_lite::future::or;
use std::time::{Duration, Instant};

/// Calls that are under way at once. A disk that hangs holds up no more threads than this.
const CALLS: usize = 4;

/// The bound on calls.
pub struct Pool {
    calls: std::sync::Arc<Semaphore>,
}

impl Pool {
    /// A pool on which nothing runs.
    pub fn new() -> Pool {
        Pool { calls: std::sync::Arc::new(Semaphore::new(CALLS)) }
    }

    /// What a call gives, and how long it took once it had begun; `None` where it is not over by `deadline`. The call
    /// then runs on, and what it gives is dropped.
    pub async fn run<T: Send + 'static>(
        &self,
        deadline: Instant,
        call: impl FnOnce() -> T + Send + 'static,
    ) -> Option<(T, Duration)> {
        let work = async {
            let turn = self.calls.acquire_arc().await;
            let task = blocking::unblock(move || {
                // Held by the call itself: one that is no longer waited for still counts.
                let _turn = turn;
                let begun = Instant::now();
                (call(), begun.elapsed())
            });
            // A task that is dropped would be cancelled before it begins, or run on: either is sound here.
            Some(task.await)
        };
        or(work, async {
            Timer::at(deadline).await;
            None
        })
        .await
    }
}
