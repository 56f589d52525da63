//! The state machine of the lifecycle: phases, commands, and the deadlines of each phase.

use crate::shutdown;
use std::time::{Duration, Instant};

/// The phase of a node's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The node is starting and does not accept requests yet.
    Starting {
        /// Whether a drain was requested during startup, so that the node becomes drained when startup
        /// completes.
        drain_after_startup: bool,
    },
    /// The node accepts clients and requests.
    Serving,
    /// The operators have drained the node; they can resume it.
    Drained {
        /// When the drain was requested, or when startup completed if that was later.
        since: Instant,
    },
    /// The node is shutting down; no command leads to another phase.
    Stopping {
        /// When the shutdown was requested.
        since: Instant,
    },
}

/// A lifecycle command from the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Report whether the node accepts new clients.
    Ready,
    /// Stop accepting new clients and close their connections.
    Drain,
    /// Accept clients again after a drain.
    Resume,
}

/// The reply to a [`Command`]: whether it succeeded, with a text that describes the state afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandReply {
    /// The node is ready ([`Command::Ready`]), or is or will be in the requested state.
    Success(&'static str),
    /// The node is not ready ([`Command::Ready`]), or cannot enter the requested state.
    Failure(&'static str),
}

/// The lifecycle state of one node.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Phase,
}

impl Default for Lifecycle {
    /// A node that is starting, without a requested drain.
    fn default() -> Lifecycle {
        Lifecycle { phase: Phase::Starting { drain_after_startup: false } }
    }
}

impl Lifecycle {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Records that startup is complete: the node serves or, if a drain was requested meanwhile, is drained.
    pub fn startup_completed(&mut self, now: Instant) {
        self.phase = match self.phase {
            Phase::Starting { drain_after_startup: true } => Phase::Drained { since: now },
            Phase::Starting { drain_after_startup: false } => Phase::Serving,
            phase @ (Phase::Serving | Phase::Drained { .. } | Phase::Stopping { .. }) => phase,
        };
    }

    /// Records that a shutdown was requested. Its deadlines count from the first request; a repeated one does
    /// not extend them.
    pub fn begin_shutdown(&mut self, now: Instant) {
        self.phase = match self.phase {
            Phase::Starting { .. } | Phase::Serving | Phase::Drained { .. } => Phase::Stopping { since: now },
            phase @ Phase::Stopping { .. } => phase,
        };
    }

    /// Executes a command that arrived at `now`, and returns the reply.
    pub fn execute(&mut self, command: Command, now: Instant) -> CommandReply {
        match command {
            Command::Ready => self.readiness(),
            Command::Drain => self.drain(now),
            Command::Resume => self.resume(),
        }
    }

    fn readiness(&self) -> CommandReply {
        match self.phase {
            Phase::Starting { .. } => CommandReply::Failure("starting"),
            Phase::Serving => CommandReply::Success("serving"),
            Phase::Drained { .. } => CommandReply::Failure("drained"),
            Phase::Stopping { .. } => CommandReply::Failure("stopping"),
        }
    }

    fn drain(&mut self, now: Instant) -> CommandReply {
        match self.phase {
            Phase::Starting { .. } => {
                self.phase = Phase::Starting { drain_after_startup: true };
                CommandReply::Success("starting, to be drained once up")
            }
            Phase::Serving => {
                self.phase = Phase::Drained { since: now };
                CommandReply::Success("drained")
            }
            Phase::Drained { .. } => CommandReply::Success("drained already"),
            Phase::Stopping { .. } => CommandReply::Success("stopping, it empties for good"),
        }
    }

    fn resume(&mut self) -> CommandReply {
        match self.phase {
            Phase::Starting { .. } => {
                self.phase = Phase::Starting { drain_after_startup: false };
                CommandReply::Success("starting, to serve once up")
            }
            Phase::Serving => CommandReply::Success("serving already"),
            Phase::Drained { .. } => {
                self.phase = Phase::Serving;
                CommandReply::Success("serving")
            }
            Phase::Stopping { .. } => CommandReply::Failure("stopping"),
        }
    }

    /// Whether the node accepts new clients.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the node is drained or stopping, so that each response closes its client connection.
    pub fn is_draining(&self) -> bool {
        match self.phase {
            Phase::Drained { .. } | Phase::Stopping { .. } => true,
            Phase::Starting { .. } | Phase::Serving => false,
        }
    }

    /// When idle client connections must be closed; `None` if they may stay open.
    pub fn idle_close_at(&self) -> Option<Instant> {
        match self.phase {
            Phase::Drained { since } => Some(shutdown::drain_idle_close_at(since)),
            Phase::Stopping { since } => Some(shutdown::shutdown_idle_close_at(since)),
            Phase::Starting { .. } | Phase::Serving => None,
        }
    }

    /// Whether the node is stopping and the time for closing idle connections has passed, so that any
    /// connection without a request, even a new one, is closed at once.
    pub fn closes_idle_immediately(&self, now: Instant) -> bool {
        let is_stopping = matches!(self.phase, Phase::Stopping { .. });
        is_stopping && self.idle_close_at().is_some_and(|close_at| now >= close_at)
    }

    /// When a request whose first byte has arrived must be read completely, in addition to its other
    /// deadlines; `None` if the phase sets no such deadline. `longest_client_timeout` is the longest time
    /// that any client waits for its answer.
    pub fn request_read_deadline(&self, longest_client_timeout: Duration) -> Option<Instant> {
        match self.phase {
            Phase::Drained { since } => Some(shutdown::drain_request_read_deadline(since)),
            // A request that began before idle connections were closed is read as long as it can still be
            // answered.
            Phase::Stopping { since } => {
                Some(shutdown::shutdown_request_read_deadline(since, longest_client_timeout))
            }
            Phase::Starting { .. } | Phase::Serving => None,
        }
    }

    /// When a request that was completely received at `received_at` must be answered, even if its client
    /// would wait longer, because the process may be killed after that; `None` if there is no such deadline.
    /// `longest_client_timeout` is the longest time that any client waits for its answer.
    pub fn answer_deadline(&self, received_at: Instant, longest_client_timeout: Duration) -> Option<Instant> {
        match self.phase {
            Phase::Stopping { since } if shutdown::is_late_request(since, received_at) => {
                Some(shutdown::shutdown_answer_deadline(since, longest_client_timeout))
            }
            Phase::Stopping { .. } | Phase::Drained { .. } | Phase::Starting { .. } | Phase::Serving => None,
        }
    }
}
