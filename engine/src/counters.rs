//! What the node has taken in, sent and answered.

use std::cell::Cell;
use std::fmt;
use stepusher::Outcome;

/// One count.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// One more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.get().fmt(f)
    }
}

/// All counts since the start.
#[derive(Default)]
pub struct Counters {
    /// Requests taken.
    pub taken: Count,
    /// Answered with an executor's result.
    pub served: Count,
    /// Answered with a throttle.
    pub throttled: Count,
    /// Answered as failed.
    pub failed: Count,
    /// Clients that left before their answer.
    pub lapsed: Count,
    /// Executions begun.
    pub sent: Count,
    /// Server links opened.
    pub server_links: Count,
    /// Probes begun.
    pub probes: Count,
    /// Pieces of the host group's list taken.
    pub lists: Count,
    /// Watches on the host group that broke or fell silent.
    pub watches_broken: Count,
    outcomes: [Count; 9],
}

impl Counters {
    /// Counts how an execution ended.
    pub fn ended(&self, outcome: Outcome) {
        self.outcomes[place(outcome)].add();
    }
}

const OUTCOMES: [&str; 9] =
    ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "unusable"];

fn place(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Full => 2,
        Outcome::Timeout => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::Moot => 7,
        Outcome::Unusable => 8,
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "taken={} served={} throttled={}", self.taken, self.served, self.throttled)?;
        write!(f, " failed={} lapsed={} sent={}", self.failed, self.lapsed, self.sent)?;
        for (name, count) in OUTCOMES.iter().zip(&self.outcomes) {
            write!(f, " {name}={count}")?;
        }
        write!(f, " server_links={}", self.server_links)?;
        write!(f, " probes={} lists={} watches_broken={}", self.probes, self.lists, self.watches_broken)
    }
}
