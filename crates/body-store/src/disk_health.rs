//! A circuit breaker for the disk, with exponential backoff. No I/O; callers pass the time.

use crate::decision::{NotStoredReason, Timestamp};
use std::time::Duration;

/// The backoff after the first failure. Doubles with each failure that follows once it has elapsed.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// The upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Disables the disk after a failure, until the backoff has elapsed or a write succeeds. A success also
/// resets the backoff.
#[derive(Debug, Default)]
pub(crate) struct DiskHealth {
    /// `None` if no call has failed since the last success.
    last_failure: Option<NotStoredReason>,
    disabled_until: Timestamp,
    backoff: Duration,
}

impl DiskHealth {
    /// Checks that the disk is not disabled, so that a file may be created.
    ///
    /// # Errors
    /// The reason of the last failure, until its backoff has elapsed.
    pub(crate) fn check_enabled(&self, now: Timestamp) -> Result<(), NotStoredReason> {
        match self.last_failure {
            Some(reason) if now < self.disabled_until => Err(reason),
            _ => Ok(()),
        }
    }

    /// Disables the disk for the next backoff. Returns whether this is the first failure since the last
    /// success.
    pub(crate) fn record_failure(&mut self, now: Timestamp, reason: NotStoredReason) -> bool {
        // Several bodies may meet the same failure at once: those that report it while the disk is already
        // disabled do not extend the backoff.
        if now >= self.disabled_until {
            self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
            self.disabled_until = now + self.backoff;
        }
        self.last_failure.replace(reason).is_none()
    }

    /// Enables the disk. Returns whether a failure was recorded since the last success.
    pub(crate) fn record_success(&mut self) -> bool {
        self.backoff = Duration::ZERO;
        self.last_failure.take().is_some()
    }
}
