//! Delays between the polls of discovery: exponential backoff with full jitter, and the delay of hedged
//! polls.

use crate::clock::to_duration;
use sorrelhaven_dispatcher::Micros;
use std::time::Duration;

/// The bound of the first delay after a failure; it doubles with each further one.
const INITIAL_BOUND: Duration = Duration::from_secs(1);
/// The bound does not grow beyond this.
const MAX_BOUND: Duration = Duration::from_secs(16);
/// The least bound after a rejection: discovery is overloaded, and each further poll delays those that wait.
const MIN_BOUND_AFTER_REJECTION: Duration = Duration::from_secs(4);

/// A silent agent is polled again after a share of the drain grace that is drawn between these two.
const MIN_HEDGE_SHARE: f64 = 0.2;
const MAX_HEDGE_SHARE: f64 = 0.4;
/// The drain grace counts as no less than this...
const MIN_DRAIN_GRACE: Duration = Duration::from_millis(200);
/// ...and no more than this, whatever the settings say.
const MAX_DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Draws the delays between polls of discovery.
///
/// Each delay after a failure lies anywhere between zero and a bound that doubles. Nodes that are killed
/// together start together: without jitter they would poll at the same moments for ever, and discovery, which
/// can answer some of them, would reject the same others each time.
#[derive(Clone)]
pub struct Backoff {
    rng: fastrand::Rng,
    bound: Duration,
    max_bound: Duration,
    drain_grace: Duration,
}

impl Backoff {
    /// Starts with the shortest bound; equal seeds draw equal delays.
    ///
    /// `drain_grace`: how long after the notice of a drain requests may still be sent to the worker.
    /// `max_list_staleness`: what discovery published so long ago counts as known to the node, and four
    /// times that after a failed poll. A delay takes half of the latter at most, and leaves the rest to the
    /// poll.
    pub fn new(seed: u64, drain_grace: Micros, max_list_staleness: Micros) -> Backoff {
        Backoff {
            rng: fastrand::Rng::with_seed(seed),
            bound: INITIAL_BOUND,
            max_bound: to_duration(max_list_staleness).saturating_mul(2).clamp(INITIAL_BOUND, MAX_BOUND),
            drain_grace: to_duration(drain_grace).clamp(MIN_DRAIN_GRACE, MAX_DRAIN_GRACE),
        }
    }

    /// Draws the delay after a failure; `rejected`: discovery answered, and refused to send the list.
    pub fn retry_delay(&mut self, rejected: bool) -> Duration {
        if rejected {
            self.bound = self.bound.max(MIN_BOUND_AFTER_REJECTION).min(self.max_bound);
        }
        let delay = self.bound.mul_f64(self.rng.f64());
        self.bound = (2 * self.bound).min(self.max_bound);
        delay
    }

    /// Draws the delay before an agent on the node's own machine is polled again beside the polls that it has
    /// not answered yet.
    ///
    /// Such an agent answers at once and at no cost, and the node counts as notified of whatever the agent
    /// has. After a silence that may be a drain whose grace has begun already, so the delay is a part of
    /// that.
    pub fn hedge_delay(&mut self) -> Duration {
        let share = MIN_HEDGE_SHARE + (MAX_HEDGE_SHARE - MIN_HEDGE_SHARE) * self.rng.f64();
        self.drain_grace.mul_f64(share)
    }

    /// Returns to the shortest bound, after a watch that has lasted or when discovery has another address.
    pub fn reset(&mut self) {
        self.bound = INITIAL_BOUND;
    }
}
