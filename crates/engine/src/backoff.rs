//! Delays between the polls of discovery: exponential backoff with full jitter, and the delay before a
//! hedged poll.

use crate::clock::to_duration;
use sorrelhaven_dispatcher::Micros;
use std::time::Duration;

/// The upper bound of the first delay after a failure. The bound doubles with each further failure.
const INITIAL_BOUND: Duration = Duration::from_secs(1);
/// The upper bound never exceeds this.
const MAX_BOUND: Duration = Duration::from_secs(16);
/// After a rejection the bound is at least this: discovery is overloaded, and each further poll delays the
/// ones that are queued there.
const MIN_BOUND_AFTER_REJECTION: Duration = Duration::from_secs(4);

/// An agent that does not respond is polled again after a random share of the drain grace between these two.
const MIN_HEDGE_SHARE: f64 = 0.2;
const MAX_HEDGE_SHARE: f64 = 0.4;
/// A shorter drain grace in the settings is treated as this one.
const MIN_DRAIN_GRACE: Duration = Duration::from_millis(200);
/// A longer drain grace in the settings is treated as this one.
const MAX_DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Draws the random delays between polls of discovery.
///
/// Each delay after a failure is uniform between zero and an upper bound that doubles. Without jitter, nodes
/// that start at the same time after a common failure would poll in step: discovery would serve as many as
/// it can, and reject the same others each time.
#[derive(Clone)]
pub struct Backoff {
    rng: fastrand::Rng,
    bound: Duration,
    max_bound: Duration,
    drain_grace: Duration,
}

impl Backoff {
    /// Starts with the initial bound. Equal seeds draw equal delays.
    ///
    /// `drain_grace`: how long requests may still be sent to a worker after the node was notified that the
    /// worker drains. `max_list_staleness`: the platform treats a node as notified of a change this long
    /// after discovery published it, or four times as long if a poll has failed. A delay takes at most half
    /// of the latter; the rest is left for the poll.
    pub fn new(seed: u64, drain_grace: Micros, max_list_staleness: Micros) -> Backoff {
        Backoff {
            rng: fastrand::Rng::with_seed(seed),
            bound: INITIAL_BOUND,
            max_bound: to_duration(max_list_staleness).saturating_mul(2).clamp(INITIAL_BOUND, MAX_BOUND),
            drain_grace: to_duration(drain_grace).clamp(MIN_DRAIN_GRACE, MAX_DRAIN_GRACE),
        }
    }

    /// Draws the delay after a failure. `rejected`: discovery responded with an error status.
    pub fn retry_delay(&mut self, rejected: bool) -> Duration {
        if rejected {
            self.bound = self.bound.max(MIN_BOUND_AFTER_REJECTION).min(self.max_bound);
        }
        let delay = self.bound.mul_f64(self.rng.f64());
        self.bound = (2 * self.bound).min(self.max_bound);
        delay
    }

    /// Draws the delay before an agent on the node's own machine is polled again while earlier polls are
    /// outstanding.
    ///
    /// Polls of such an agent are cheap, and the platform treats the node as notified of a change as soon as
    /// the agent could report it. After an outage of the agent, that change may be a drain whose grace period
    /// has already begun, so the delay is a fraction of that period.
    pub fn hedge_delay(&mut self) -> Duration {
        let share = MIN_HEDGE_SHARE + (MAX_HEDGE_SHARE - MIN_HEDGE_SHARE) * self.rng.f64();
        self.drain_grace.mul_f64(share)
    }

    /// Resets the upper bound to the initial one: after a stable watch, or when discovery's address changes.
    pub fn reset(&mut self) {
        self.bound = INITIAL_BOUND;
    }
}
