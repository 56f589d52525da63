//! What a node is: starting, serving, drained or stopping; and what that means for its clients.
//!
//! [`Lifecycle`] is the one place that knows. It does no I/O and reads no clock: calls and signals go in with the time
//! at which they came, and each has an answer in every state.
//!
//! ```
//! use sorrelhaven_lifecycle::{Command, Lifecycle, Phase, CommandReply};
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let mut node = Lifecycle::default();
//! assert_eq!(node.call(Command::Ready, now), CommandReply::Failure("starting"));
//! node.loaded(now);
//! assert_eq!(node.call(Command::Ready, now), CommandReply::Success("serving"));
//! assert_eq!(node.call(Command::Drain, now), CommandReply::Success("drained"));
//! assert_eq!(node.phase(), Phase::Drained { since: now });
//! assert_eq!(node.call(Command::Resume, now), CommandReply::Success("serving"));
//! ```

mod handle;

pub use handle::LifecycleHandle;

use std::time::{Duration, Instant};

/// A client link that stands idle so long after a drain began is closed. 0.2 s after the first no nobody new comes,
/// and a link that is used before then ends with its answer; a job that came 2 s after the call would be held against
/// the node.
const DRAIN_IDLE: Duration = Duration::from_millis(1_500);
/// A request that was begun must be whole so long after a drain began: a job must not come 2 s after the call.
const DRAIN_WHOLE: Duration = Duration::from_millis(1_900);
/// After SIGTERM clients may still come for 0.4 s; the rest is a margin. What comes later than 0.7 s after it might
/// find the node killed before its answer.
const STOP_IDLE: Duration = Duration::from_millis(550);
/// What came whole so long after SIGTERM, less a margin, may be answered or not by the time the node is killed; what
/// came later is lost if it is not.
const STOP_LATE: Duration = Duration::from_millis(650);
/// The node may be killed so long after SIGTERM and the longest wait of a client, which counts as...
const KILL_AFTER: Duration = Duration::from_millis(700);
/// ...so much where it is longer.
const KILL_LONGEST: Duration = Duration::from_secs(3);
/// So long before that the last answers must be on their way...
const KILL_ANSWERED: Duration = Duration::from_millis(100);
/// ...and the last requests whole, or there is no time to serve them in.
const KILL_WHOLE: Duration = Duration::from_millis(300);

/// How long after SIGTERM the node may be killed at the earliest.
fn killed(longest: Duration) -> Duration {
    longest.min(KILL_LONGEST) + KILL_AFTER
}

/// What the node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It can't serve yet.
    Starting {
        /// A drain was asked for meanwhile: it is to be drained as soon as it can serve.
        drain: bool,
    },
    /// It takes clients.
    Serving,
    /// The operators have emptied it; it can take clients again.
    Drained {
        /// When they called.
        since: Instant,
    },
    /// It was told to end.
    Stopping {
        /// When it was told.
        since: Instant,
    },
}

/// What the operators call for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether the node wants clients.
    Ready,
    /// Empty the node.
    Drain,
    /// Take clients again.
    Resume,
}

/// The answer to a call, with what holds from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandReply {
    /// It is so.
    Success(&'static str),
    /// It is not so.
    Failure(&'static str),
}

/// The state of one node.
#[derive(Debug)]
pub struct Lifecycle(Phase);

impl Default for Lifecycle {
    /// A node that starts.
    fn default() -> Lifecycle {
        Lifecycle(Phase::Starting { drain: false })
    }
}

impl Lifecycle {
    /// What the node is.
    pub fn phase(&self) -> Phase {
        self.0
    }

    /// The node can serve.
    pub fn loaded(&mut self, now: Instant) {
        self.0 = match self.0 {
            Phase::Starting { drain: true } => Phase::Drained { since: now },
            Phase::Starting { drain: false } => Phase::Serving,
            phase @ (Phase::Serving | Phase::Drained { .. } | Phase::Stopping { .. }) => phase,
        };
    }

    /// The node was told to end.
    pub fn stop(&mut self, now: Instant) {
        self.0 = match self.0 {
            Phase::Starting { .. } | Phase::Serving | Phase::Drained { .. } => Phase::Stopping { since: now },
            phase @ Phase::Stopping { .. } => phase,
        };
    }

    /// Does what the operators call for, and says what holds.
    pub fn call(&mut self, call: Command, now: Instant) -> CommandReply {
        let (phase, reply) = match (call, self.0) {
            (Command::Ready, phase @ Phase::Starting { .. }) => (phase, CommandReply::Failure("starting")),
            (Command::Ready, Phase::Serving) => (Phase::Serving, CommandReply::Success("serving")),
            (Command::Ready, phase @ Phase::Drained { .. }) => (phase, CommandReply::Failure("drained")),
            (Command::Ready, phase @ Phase::Stopping { .. }) => (phase, CommandReply::Failure("stopping")),
            (Command::Drain, Phase::Starting { .. }) => {
                (Phase::Starting { drain: true }, CommandReply::Success("starting, to be drained once up"))
            }
            (Command::Drain, Phase::Serving) => {
                (Phase::Drained { since: now }, CommandReply::Success("drained"))
            }
            (Command::Drain, phase @ Phase::Drained { .. }) => {
                (phase, CommandReply::Success("drained already"))
            }
            (Command::Drain, phase @ Phase::Stopping { .. }) => {
                (phase, CommandReply::Success("stopping, it empties for good"))
            }
            (Command::Resume, Phase::Starting { .. }) => {
                (Phase::Starting { drain: false }, CommandReply::Success("starting, to serve once up"))
            }
            (Command::Resume, Phase::Serving) => (Phase::Serving, CommandReply::Success("serving already")),
            (Command::Resume, Phase::Drained { .. }) => (Phase::Serving, CommandReply::Success("serving")),
            (Command::Resume, phase @ Phase::Stopping { .. }) => (phase, CommandReply::Failure("stopping")),
        };
        self.0 = phase;
        reply
    }

    /// Whether clients are wanted.
    pub fn ready(&self) -> bool {
        self.0 == Phase::Serving
    }

    /// Whether the node empties: each answer ends its client link.
    pub fn empties(&self) -> bool {
        match self.0 {
            Phase::Drained { .. } | Phase::Stopping { .. } => true,
            Phase::Starting { .. } | Phase::Serving => false,
        }
    }

    /// From when on a client link that stands idle is closed; `None` where it may stand.
    pub fn idle_until(&self) -> Option<Instant> {
        match self.0 {
            Phase::Drained { since } => Some(since + DRAIN_IDLE),
            Phase::Stopping { since } => Some(since + STOP_IDLE),
            Phase::Starting { .. } | Phase::Serving => None,
        }
    }

    /// Whether links on which nothing has come are over: the node has been told to end and clients have had their time.
    pub fn closed(&self, now: Instant) -> bool {
        matches!(self.0, Phase::Stopping { .. }) && self.idle_until().is_some_and(|at| now >= at)
    }

    /// By when a request that has begun must be whole, whatever else it must keep to, where clients wait for `longest`
    /// at most.
    pub fn whole_by(&self, longest: Duration) -> Option<Instant> {
        match self.0 {
            Phase::Drained { since } => Some(since + DRAIN_WHOLE),
            // What has begun before idle links are closed is still read, as long as it can be answered.
            Phase::Stopping { since } => Some(since + killed(longest) - KILL_WHOLE),
            Phase::Starting { .. } | Phase::Serving => None,
        }
    }

    /// By when a request that came whole at `came` must have its answer, whatever its client allows, where clients wait
    /// for `longest` at most: the node may be killed then, and it came too late to be forgiven.
    pub fn answer_by(&self, came: Instant, longest: Duration) -> Option<Instant> {
        match self.0 {
            Phase::Stopping { since } if came >= since + STOP_LATE => {
                Some(since + killed(longest) - KILL_ANSWERED)
            }
            Phase::Stopping { .. } | Phase::Drained { .. } | Phase::Starting { .. } | Phase::Serving => None,
        }
    }
}
