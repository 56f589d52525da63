//! What the node has taken in, sent and answered.

use std::cell::Cell;
use stepusher::Outcome;

/// One count.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// One more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
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

impl Counters {
    /// All counts with their names, in the order in which they are shown.
    pub fn figures(&self) -> Vec<(&'static str, u64)> {
        let mut figures = vec![
            ("taken", self.taken.get()),
            ("served", self.served.get()),
            ("throttled", self.throttled.get()),
            ("failed", self.failed.get()),
            ("lapsed", self.lapsed.get()),
            ("sent", self.sent.get()),
        ];
        figures.extend(OUTCOMES.iter().zip(&self.outcomes).map(|(name, count)| (*name, count.get())));
        figures.extend([
            ("server_links", self.server_links.get()),
            ("probes", self.probes.get()),
            ("lists", self.lists.get()),
            ("watches_broken", self.watches_broken.get()),
        ]);
        figures
    }
}
