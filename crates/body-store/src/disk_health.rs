//! Whether the disk may be used: a circuit breaker that failures open for a time that doubles. No I/O, time
//! passed in.

use crate::decision::{NotStoredReason, Timestamp};
use std::time::Duration;

/// How long the first failure disables the disk; each further one doubles it.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// The longest time that failures disable the disk before one body tries it again.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The failures of the disk since its last success.
#[derive(Debug, Default)]
pub(crate) struct DiskHealth {
    last_failure: Option<NotStoredReason>,
    disabled_until: Timestamp,
    backoff: Duration,
}

impl DiskHealth {
    /// Whether a file may be created now.
    ///
    /// # Errors
    /// The reason of the last failure, while that disables the disk.
    pub(crate) fn check(&self, now: Timestamp) -> Result<(), NotStoredReason> {
        match self.last_failure {
            Some(reason) if now < self.disabled_until => Err(reason),
            _ => Ok(()),
        }
    }

    /// Disables the disk for a while. Returns whether the disk was healthy before.
    pub(crate) fn record_failure(&mut self, now: Timestamp, reason: NotStoredReason) -> bool {
        // Bodies that meet the same failure at the same time count as one.
        if now >= self.disabled_until {
            self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
            self.disabled_until = now + self.backoff;
        }
        self.last_failure.replace(reason).is_none()
    }

    /// Enables the disk. Returns whether it had failed before.
    pub(crate) fn record_success(&mut self) -> bool {
        self.backoff = Duration::ZERO;
        self.last_failure.take().is_some()
    }
}
