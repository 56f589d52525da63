//! The processes that serve as one node of the fleet, one after the other.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One process that serves as a node.
#[derive(Clone)]
pub struct Incarnation {
    /// The address at which it serves clients.
    pub address: SocketAddr,
    number: usize,
}

/// How an incarnation was ended from outside.
#[derive(Clone, Copy)]
pub enum EndCause {
    /// SIGTERM at this time.
    Terminated(Instant),
    /// SIGKILL.
    Killed,
}

#[derive(Default)]
struct History {
    current: Option<Incarnation>,
    /// The end of each incarnation, by number; `None` while it runs.
    ends: Vec<Option<EndCause>>,
}

/// The incarnations of one node.
#[derive(Default)]
pub struct NodeHistory {
    history: Mutex<History>,
}

impl NodeHistory {
    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The incarnation that serves clients now.
    pub fn current(&self) -> Incarnation {
        self.history().current.clone().expect("the node has been started")
    }

    /// Records that a new process serves at `address`.
    pub fn record_start(&self, address: &str) {
        let mut history = self.history();
        let number = history.ends.len();
        history.ends.push(None);
        let address = address.parse().expect("the program logs its address");
        history.current = Some(Incarnation { address, number });
    }

    /// Records that the current incarnation is ended.
    pub fn record_end(&self, cause: EndCause) {
        let mut history = self.history();
        let number = history.current.as_ref().expect("the node has been started").number;
        history.ends[number] = Some(cause);
    }

    fn end_of(&self, incarnation: &Incarnation) -> Option<EndCause> {
        self.history().ends[incarnation.number]
    }

    /// Whether an incarnation was killed.
    pub fn was_killed(&self, incarnation: &Incarnation) -> bool {
        matches!(self.end_of(incarnation), Some(EndCause::Killed))
    }

    /// Whether an incarnation may close a connection without an answer to a request that was begun at
    /// `request_begun`: it was killed, or had got SIGTERM more than `accept_period` before.
    pub fn may_close(
        &self,
        incarnation: &Incarnation,
        request_begun: Instant,
        accept_period: Duration,
    ) -> bool {
        match self.end_of(incarnation) {
            Some(EndCause::Killed) => true,
            Some(EndCause::Terminated(at)) => request_begun > at + accept_period,
            None => false,
        }
    }
}
