//! Waiting until a point in time.

use async_io::Timer;
use futures_lite::future::or;
use std::time::Instant;

/// What comes of `work`, or `None` once the deadline has passed.
pub async fn timeout_at<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    or(async { Some(work.await) }, async {
        Timer::at(deadline).await;
        None
    })
    .await
}
