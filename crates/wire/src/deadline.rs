//! Deadlines of futures.

use async_io::Timer;
use futures_lite::future::or;
use std::time::Instant;

/// Runs `work` to its end; `None` if `deadline` passes before. `work` is polled first: a result that is ready
/// at the deadline is returned.
pub async fn timeout_at<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let timed_out = async {
        Timer::at(deadline).await;
        None
    };
    or(async { Some(work.await) }, timed_out).await
}
