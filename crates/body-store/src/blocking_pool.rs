//! Runs calls that may block on a bounded number of threads, apart from the async executor.

use async_io::Timer;
use async_lock::Semaphore;
use futures_lite::future::or;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Calls that run at the same time. A disk that hangs blocks at most this many threads.
const MAX_CONCURRENT_CALLS: usize = 4;

/// Runs blocking calls, a bounded number at a time.
pub(crate) struct BlockingPool {
    slots: Arc<Semaphore>,
}

/// The result of a call that has ended in time.
pub(crate) struct CompletedCall<T> {
    pub(crate) value: T,
    /// How long the call ran, without its wait for a slot.
    pub(crate) duration: Duration,
}

/// A call had not ended by its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlineExceeded;

impl fmt::Display for DeadlineExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the call did not end before its deadline")
    }
}

impl std::error::Error for DeadlineExceeded {}

impl BlockingPool {
    /// A pool on which nothing runs.
    pub(crate) fn new() -> BlockingPool {
        BlockingPool { slots: Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS)) }
    }

    /// Runs a call and waits for its result.
    ///
    /// # Errors
    /// The call has not ended by `deadline`. It then runs on, and its result is dropped.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        deadline: Instant,
        call: impl FnOnce() -> T + Send + 'static,
    ) -> Result<CompletedCall<T>, DeadlineExceeded> {
        let completed = async {
            let slot = self.slots.acquire_arc().await;
            let task = blocking::unblock(move || {
                // The call itself holds the slot: one that is no longer waited for still counts.
                let _slot = slot;
                let started_at = Instant::now();
                let value = call();
                CompletedCall { value, duration: started_at.elapsed() }
            });
            // Dropping the task cancels it before it starts, or lets it run to its end: both are safe here.
            Ok(task.await)
        };
        let timeout = async {
            Timer::at(deadline).await;
            Err(DeadlineExceeded)
        };
        or(completed, timeout).await
    }
}
