//! Runs blocking calls on a bounded number of threads, so that they don't block the async executor.

use async_io::Timer;
use async_lock::Semaphore;
use futures_lite::future::or;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The number of calls that may run at the same time. A disk that hangs blocks at most this many threads,
/// apart from those that close files, which do not use the pool.
const MAX_CONCURRENT_CALLS: usize = 4;

/// Limits the number of blocking calls that run at the same time.
pub(crate) struct BlockingPool {
    permits: Arc<Semaphore>,
}

/// The result of a call that has returned before its deadline.
pub(crate) struct CompletedCall<T> {
    pub(crate) value: T,
    /// How long the call ran, without the wait for a permit and for a thread.
    pub(crate) duration: Duration,
}

/// The call has not returned by its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlineExceeded;

impl fmt::Display for DeadlineExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the blocking call did not return by its deadline")
    }
}

impl std::error::Error for DeadlineExceeded {}

impl BlockingPool {
    pub(crate) fn new() -> BlockingPool {
        BlockingPool { permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS)) }
    }

    /// Runs a call on another thread and waits for its result. If [`MAX_CONCURRENT_CALLS`] calls are running,
    /// waits until one of them returns.
    ///
    /// # Errors
    /// The call has not returned by `deadline`. A call that has started runs to its end, and its result is
    /// dropped; one that has not started is cancelled.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        deadline: Instant,
        call: impl FnOnce() -> T + Send + 'static,
    ) -> Result<CompletedCall<T>, DeadlineExceeded> {
        let completed = async {
            let permit = self.permits.acquire_arc().await;
            let task = blocking::unblock(move || {
                // The call holds the permit, since it occupies a thread until it returns, even if its caller
                // has stopped waiting at the deadline.
                let _permit = permit;
                let started_at = Instant::now();
                let value = call();
                CompletedCall { value, duration: started_at.elapsed() }
            });
            // At the deadline the task is dropped: that cancels a call that has not started, and lets one
            // that has started run to its end. Both are safe here.
            Ok(task.await)
        };
        let timeout = async {
            Timer::at(deadline).await;
            Err(DeadlineExceeded)
        };
        or(completed, timeout).await
    }
}
