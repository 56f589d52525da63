//! Retries system calls after transient failures: a signal interrupted the call, or this machine lacks
//! resources.

use crate::errno::{SocketCall, SocketFailure, classify};
use async_io::Timer;
use std::io;
use std::time::{Duration, Instant};

/// The pause before repeating a call that failed because this machine lacked resources.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);

/// How to proceed after a failed call that may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Repeat the call at once, because a signal interrupted it.
    Immediately,
    /// Repeat the call after a pause, because this machine lacks resources.
    AfterPause,
    /// Report the error: it is permanent, or the time for retries is over.
    GiveUp,
}

/// Decides how to proceed after a call of the group `call` failed with `error`. The call is not repeated
/// after `retry_until`.
pub fn retry_decision(call: SocketCall, error: &io::Error, retry_until: Instant) -> RetryDecision {
    if Instant::now() >= retry_until {
        return RetryDecision::GiveUp;
    }
    match classify(call, error) {
        SocketFailure::Interrupted => RetryDecision::Immediately,
        SocketFailure::Shortage => RetryDecision::AfterPause,
        SocketFailure::NotReady | SocketFailure::DescriptorLimit | SocketFailure::Connection => {
            RetryDecision::GiveUp
        }
    }
}

/// Runs `operation`, and repeats it for up to `timeout` while it is interrupted or this machine lacks
/// resources.
///
/// # Errors
/// The error of the last try.
pub(crate) async fn retry_on_shortage<T>(
    call: SocketCall,
    timeout: Duration,
    mut operation: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let retry_until = Instant::now() + timeout;
    loop {
        let error = match operation().await {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        match retry_decision(call, &error, retry_until) {
            RetryDecision::Immediately => {}
            RetryDecision::AfterPause => shortage_pause().await,
            RetryDecision::GiveUp => return Err(error),
        }
    }
}

/// Waits for 5 ms, after which a call that failed because this machine lacked resources may be repeated.
pub async fn shortage_pause() {
    Timer::after(SHORTAGE_PAUSE).await;
}
