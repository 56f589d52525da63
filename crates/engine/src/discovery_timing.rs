//! When a list of discovery must have arrived, and the time limits and delays of calls that follow from it.
//!
//! The platform limits the whole time from the moment at which discovery had a change, and could be reached, to the
//! last request that is sent against it. A delay before a call and the time that the answer takes share that time, so
//! all of them are computed here.

use crate::clock::to_duration;
use sorrelhaven_dispatcher::Micros;
use std::time::Duration;

/// The platform treats a node as notified of a change this long after discovery had it and could be reached.
const NOTICE_LIMIT: Duration = Duration::from_secs(6);
/// This limit after a reload that changes the address of discovery.
const MOVED_NOTICE_LIMIT: Duration = Duration::from_secs(4);
/// A call that failed extends the `max_list_staleness` of the settings by this factor.
const STALENESS_FACTOR_AFTER_FAILURE: u32 = 4;
/// The least of these limits. Shorter ones in the settings would leave no time for an answer.
const MIN_NOTICE_LIMIT: Duration = Duration::from_secs(1);

/// Discovery sends at least a blank line every 2 s. A watch that is silent for this long is broken.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Part of the drain grace that is left for the node itself: it may be held up between reading its clock and writing.
const HOLD_UP_ALLOWANCE: Duration = Duration::from_millis(200);
/// A shorter drain grace in the settings is treated as this one.
const MIN_DRAIN_GRACE: Duration = Duration::from_millis(200);
/// A longer drain grace in the settings is treated as this one.
const MAX_DRAIN_GRACE: Duration = Duration::from_secs(2);

/// The shortest upper bound of a delay after a failed call, so that a short drain grace causes no flood of calls.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Discovery that rejects calls is overloaded: all nodes together repeat about this many of them a second, unless the
/// time limits demand more.
const REPEATED_REJECTED_CALLS_PER_SECOND: u32 = 10;
/// How many connections all nodes together repeat a second that were not made. They cost discovery little, but the nodes
/// call it at this rate when it returns.
const REPEATED_CONNECTIONS_PER_SECOND: u32 = 30;
/// Connections are repeated at least this often within the time limit of an answer.
const MIN_CONNECTIONS_WITHIN_LIMIT: u32 = 3;
/// The least part of the longest time between unanswered calls that is drawn.
const MIN_CALL_INTERVAL_SHARE: f64 = 0.85;

/// A local agent that does not respond is called again after a random share of the drain grace between these two.
const MIN_AGENT_SHARE: f64 = 0.2;
const MAX_AGENT_SHARE: f64 = 0.4;

/// Whom a node calls for the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent on the node's own machine, to which discovery pushes the list. It responds at once, and calls of it
    /// are cheap. The platform treats the node as notified of whatever the agent has.
    LocalAgent,
    /// A service that all nodes call, and that their calls may overload.
    SharedService,
}

/// Why a call has to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// A watch that had delivered the current list ended. The watches of other nodes may have ended with it.
    WatchEnded,
    /// No connection was made. Discovery itself has no work with such a call.
    Unreachable,
    /// Discovery responded with an error status, or with no usable list.
    Rejected,
}

/// The settings from which the limits follow.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryRules {
    /// How long requests may still be sent to a worker after the node was notified that it drains.
    pub drain_grace: Micros,
    /// A node that has no watch, and has not called for this long, counts as notified of what was listed that long ago.
    pub max_list_staleness: Micros,
    /// How many nodes call the same discovery service.
    pub instances: u32,
}

/// The limits and delays of one deployment.
#[derive(Clone, Debug)]
pub struct DiscoveryTiming {
    mode: DiscoveryMode,
    drain_grace: Duration,
    /// From the moment at which discovery had a change and could be reached to the last send that may ignore it.
    answer_limit: Duration,
    /// The same after a change of the address.
    moved_answer_limit: Duration,
    /// The longest delay after a call that discovery has not rejected, and after one that is not connected.
    max_retry_delay: Duration,
    /// The longest delay after a call that discovery rejected.
    max_rejected_delay: Duration,
    /// The random part of the time after which a watch counts as silent. Half of that time has then passed already.
    max_silence_jitter: Duration,
}

impl DiscoveryTiming {
    /// Computes the limits from the settings.
    ///
    /// An answer that begins within the notice limit can only be in time if its call began within the drain grace, so
    /// no delay before a call is longer than that. Only where many nodes share a service are the delays longer, up to a
    /// third of the whole limit, and up to half of it if the service rejects calls: one that is overloaded, and not given
    /// time, serves none of them.
    pub fn new(mode: DiscoveryMode, rules: DiscoveryRules) -> DiscoveryTiming {
        let drain_grace = to_duration(rules.drain_grace).clamp(MIN_DRAIN_GRACE, MAX_DRAIN_GRACE);
        let usable_grace = drain_grace.saturating_sub(HOLD_UP_ALLOWANCE);
        let staleness = to_duration(rules.max_list_staleness).saturating_mul(STALENESS_FACTOR_AFTER_FAILURE);
        let notice_limit = staleness.clamp(MIN_NOTICE_LIMIT, NOTICE_LIMIT);
        let answer_limit = notice_limit + usable_grace;
        let third = answer_limit / MIN_CONNECTIONS_WITHIN_LIMIT;
        let grace_delay = usable_grace.max(MIN_RETRY_DELAY).min(third);
        let instances = Duration::from_secs(rules.instances.into());
        let max_retry_delay = (instances / REPEATED_CONNECTIONS_PER_SECOND).clamp(grace_delay, third);
        let rejected_delay = instances / REPEATED_REJECTED_CALLS_PER_SECOND;
        DiscoveryTiming {
            mode,
            drain_grace,
            answer_limit,
            moved_answer_limit: notice_limit.min(MOVED_NOTICE_LIMIT) + usable_grace,
            max_retry_delay,
            max_silence_jitter: grace_delay / 2,
            max_rejected_delay: rejected_delay.clamp(max_retry_delay, answer_limit / 2),
        }
    }

    /// The time from the moment at which discovery had a change and could be reached to the last send that may ignore it.
    pub fn answer_limit(&self) -> Duration {
        self.answer_limit
    }

    /// Draws the delay between a failed call and the next one.
    ///
    /// Without a random part, nodes whose watches end together would call in step: discovery would serve as many as it
    /// can, and reject the same others each time.
    pub fn retry_delay(&self, failure: CallFailure, rng: &mut fastrand::Rng) -> Duration {
        match (self.mode, failure) {
            (DiscoveryMode::LocalAgent, _) => self.agent_delay(rng),
            (DiscoveryMode::SharedService, CallFailure::WatchEnded) => {
                self.max_retry_delay.mul_f64(rng.f64())
            }
            (DiscoveryMode::SharedService, CallFailure::Unreachable) => upper_half(self.max_retry_delay, rng),
            (DiscoveryMode::SharedService, CallFailure::Rejected) => upper_half(self.max_rejected_delay, rng),
        }
    }

    /// Draws the time from a call that is not connected to the next one beside it.
    pub fn connect_interval(&self, rng: &mut fastrand::Rng) -> Duration {
        match self.mode {
            DiscoveryMode::LocalAgent => self.agent_delay(rng),
            DiscoveryMode::SharedService => upper_half(self.max_retry_delay, rng),
        }
    }

    /// Draws the time from a call that is connected and not answered to the next one beside it. `moved`: discovery's
    /// address has changed, and it was not heard there yet.
    ///
    /// An overloaded service has the call in its queue, and a further call makes the queue longer. But the call may be
    /// lost: half of the limit is left for the answer to the next call.
    pub fn answer_interval(&self, moved: bool, rng: &mut fastrand::Rng) -> Duration {
        if self.mode == DiscoveryMode::LocalAgent {
            return self.agent_delay(rng);
        }
        let limit = if moved { self.moved_answer_limit } else { self.answer_limit };
        (limit / 2).mul_f64(MIN_CALL_INTERVAL_SHARE + (1.0 - MIN_CALL_INTERVAL_SHARE) * rng.f64())
    }

    /// Draws how long a watch may be silent before discovery is called again beside it.
    pub fn silence_limit(&self, rng: &mut fastrand::Rng) -> Duration {
        match self.mode {
            DiscoveryMode::LocalAgent => SILENCE_LIMIT,
            // The watches of all nodes may fall silent together.
            DiscoveryMode::SharedService => SILENCE_LIMIT + self.max_silence_jitter.mul_f64(rng.f64()),
        }
    }

    fn agent_delay(&self, rng: &mut fastrand::Rng) -> Duration {
        let share = MIN_AGENT_SHARE + (MAX_AGENT_SHARE - MIN_AGENT_SHARE) * rng.f64();
        self.drain_grace.mul_f64(share)
    }
}

/// Draws a delay between half of `max` and `max`.
fn upper_half(max: Duration, rng: &mut fastrand::Rng) -> Duration {
    (max / 2).mul_f64(1.0 + rng.f64())
}
