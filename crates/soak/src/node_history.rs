//! The successive processes of one node: a restart or a kill starts a new one.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// SIGKILL follows SIGTERM after this time: the longest deadline, counted as 3 s, and 0.7 s more.
pub const EARLIEST_KILL: Duration = Duration::from_millis(3_700);

/// One process of a node.
#[derive(Clone, PartialEq, Eq)]
pub struct Incarnation {
    /// The address at which the process accepts clients.
    pub address: SocketAddr,
    number: usize,
}

/// How the soak ended an incarnation.
#[derive(Clone, Copy)]
pub enum EndCause {
    /// SIGTERM was sent at this time.
    Terminated(Instant),
    /// The process was killed with SIGKILL.
    Killed,
}

#[derive(Default)]
struct History {
    current: Option<Incarnation>,
    /// How each incarnation was ended, by incarnation number; `None` until then.
    ends: Vec<Option<EndCause>>,
}

/// The incarnations of one node, shared by the fleet and the clients of the node.
#[derive(Default)]
pub struct NodeHistory {
    history: Mutex<History>,
}

impl NodeHistory {
    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The incarnation that was started last.
    pub fn current(&self) -> Incarnation {
        self.history().current.clone().expect("the node has been started")
    }

    /// Records a new incarnation that accepts clients at `address`.
    pub fn record_start(&self, address: &str) {
        let mut history = self.history();
        let number = history.ends.len();
        history.ends.push(None);
        let address = address.parse().expect("the address in the ready line is valid");
        history.current = Some(Incarnation { address, number });
    }

    /// Records how the current incarnation is ended. Must be called before the signal is sent, so that no
    /// client attributes the effects to a running process.
    pub fn record_end(&self, cause: EndCause) {
        let mut history = self.history();
        let number = history.current.as_ref().expect("the node has been started").number;
        history.ends[number] = Some(cause);
    }

    fn end_of(&self, incarnation: &Incarnation) -> Option<EndCause> {
        self.history().ends[incarnation.number]
    }

    /// Whether the soak ended this incarnation with SIGKILL.
    pub fn was_killed(&self, incarnation: &Incarnation) -> bool {
        matches!(self.end_of(incarnation), Some(EndCause::Killed))
    }

    /// Whether SIGKILL has followed SIGTERM at this incarnation while a request was outstanding whose sending began at
    /// `request_started_at`.
    pub fn was_killed_after_sigterm(&self, incarnation: &Incarnation, request_started_at: Instant) -> bool {
        let Some(EndCause::Terminated(at)) = self.end_of(incarnation) else { return false };
        let killed_at = at + EARLIEST_KILL;
        request_started_at < killed_at && Instant::now() >= killed_at
    }

    /// Whether an incarnation may close a connection without an answer to a request whose sending began at
    /// `request_started_at`: it was killed, or SIGTERM was sent to it more than `accept_period` earlier.
    pub fn may_close(
        &self,
        incarnation: &Incarnation,
        request_started_at: Instant,
        accept_period: Duration,
    ) -> bool {
        match self.end_of(incarnation) {
            Some(EndCause::Killed) => true,
            Some(EndCause::Terminated(at)) => request_started_at > at + accept_period,
            None => false,
        }
    }
}
