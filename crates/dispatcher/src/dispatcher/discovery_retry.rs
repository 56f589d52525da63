//! The backoff after which the worker list is requested again when discovery has failed.

use crate::interface::Micros;

/// The pause after the first failure.
const INITIAL_DELAY: Micros = 250_000;
/// The pause doubles with each failure, up to this number of times.
const MAX_DOUBLINGS: u32 = 4;

/// Exponential backoff with jitter.
#[derive(Default)]
pub(super) struct DiscoveryRetry {
    failures: u32,
}

impl DiscoveryRetry {
    /// Records a failure, and returns the pause before the next request.
    pub(super) fn next_delay(&mut self, rng: &mut fastrand::Rng) -> Micros {
        let delay = INITIAL_DELAY << self.failures.min(MAX_DOUBLINGS);
        let jitter = rng.i64(0..delay / 2 + 1);
        self.failures += 1;
        delay + jitter
    }

    /// Resets the backoff.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
    }
}
