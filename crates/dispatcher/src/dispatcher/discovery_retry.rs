//! Backoff before the worker list is requested again after a discovery failure.

use crate::interface::Micros;

/// Delay after the first failure, without jitter.
const INITIAL_DELAY: Micros = 250_000;
/// Upper bound of the number of times that the delay doubles, once for each further failure.
const MAX_DOUBLINGS: u32 = 4;

/// Exponential backoff with jitter of up to half the delay.
#[derive(Default)]
pub(super) struct DiscoveryRetry {
    failures: u32,
}

impl DiscoveryRetry {
    /// Records a failure and returns the delay before the next request.
    pub(super) fn next_delay(&mut self, rng: &mut fastrand::Rng) -> Micros {
        let delay = INITIAL_DELAY << self.failures.min(MAX_DOUBLINGS);
        let jitter = rng.i64(0..delay / 2 + 1);
        self.failures += 1;
        delay + jitter
    }

    /// Resets the backoff after a successful request.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
    }
}
