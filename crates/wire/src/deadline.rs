//! A deadline for a future.

use async_io::Timer;
use futures_lite::future::or;
use std::time::Instant;

/// Runs `work` to completion and returns its result; drops it and returns `None` if it is not complete at
/// `deadline`. A result that is ready when the deadline is noticed is still returned, because `work` is
/// polled first.
pub async fn timeout_at<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let timed_out = async {
        Timer::at(deadline).await;
        None
    };
    or(async { Some(work.await) }, timed_out).await
}
