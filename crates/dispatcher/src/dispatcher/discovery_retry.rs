//! The backoff with which the worker list is asked for again after a failure.

use crate::interface::Micros;

/// The first pause before the worker list is asked for again.
const INITIAL_PAUSE: Micros = 250_000;
/// How many times the pause doubles at most.
const MAX_DOUBLINGS: u32 = 4;

/// Exponential backoff with jitter.
#[derive(Default)]
pub(super) struct DiscoveryRetry {
    failures: u32,
}

impl DiscoveryRetry {
    /// Counts a failure; the pause before the next try.
    pub(super) fn next_pause(&mut self, rng: &mut fastrand::Rng) -> Micros {
        let pause = INITIAL_PAUSE << self.failures.min(MAX_DOUBLINGS);
        let jitter = rng.i64(0..pause / 2 + 1);
        self.failures += 1;
        pause + jitter
    }

    /// Forgets the failures.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
    }
}
