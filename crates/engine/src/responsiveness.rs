//! How long the event loop is held up.
//!
//! All work of a node shares one thread, so one long step delays every answer. Steps and timers are measured as they run:
//! the operators see the longest of each, how often a step took more than [`LONG_STEP`], and a log line that names it.

use crate::count::{Count, Longest};
use std::time::{Duration, Instant};
use tracing::warn;

/// A step that takes longer is counted and logged: deadlines have a slack of 150 ms for everything that holds a node up.
pub const LONG_STEP: Duration = Duration::from_millis(50);

/// What held the event loop up so far.
#[derive(Default)]
pub struct Responsiveness {
    /// The longest step of the event loop: one poll of one task.
    pub longest_step: Longest,
    /// Steps longer than [`LONG_STEP`].
    pub long_steps: Count,
    /// The longest time by which a timer of the module fired late.
    pub longest_timer_lag: Longest,
}

impl Responsiveness {
    /// A step that began at `begun` has just ended.
    pub fn step_ended(&self, begun: Instant) {
        let took = begun.elapsed();
        self.longest_step.note(took);
        if took > LONG_STEP {
            self.long_steps.add();
            warn!(took_ms = took.as_millis(), "slow event loop step");
        }
    }

    /// A part of a step that began at `begun` has just ended: named in the log where it alone took long.
    pub fn part_ended(&self, part: &'static str, begun: Instant) {
        let took = begun.elapsed();
        if took > LONG_STEP {
            warn!(part, took_ms = took.as_millis(), "slow part of an event loop step");
        }
    }
}
