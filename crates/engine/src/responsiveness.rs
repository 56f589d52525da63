//! Delays of the event loop.
//!
//! All work of a node shares one thread, so one long step delays every answer. Steps and timers are measured
//! as they run: the metrics show the longest of each and the number of steps longer than
//! [`LONG_STEP_THRESHOLD`], and the log names each of those.

use crate::metric::{Counter, MaxDuration};
use std::time::{Duration, Instant};
use tracing::warn;

/// A longer step is counted and logged. Deadlines have an allowance of 150 ms for everything that delays a
/// node.
pub const LONG_STEP_THRESHOLD: Duration = Duration::from_millis(50);

/// The delays of the event loop so far.
#[derive(Default)]
pub struct Responsiveness {
    /// The longest step of the event loop: one poll of one task.
    pub longest_step: MaxDuration,
    /// Steps longer than [`LONG_STEP_THRESHOLD`].
    pub long_steps: Counter,
    /// The longest time by which a timer of the dispatcher fired late.
    pub longest_timer_lag: MaxDuration,
}

impl Responsiveness {
    /// Records a step that started at `started` and has just ended.
    pub fn record_step(&self, started: Instant) {
        let elapsed = started.elapsed();
        self.longest_step.record(elapsed);
        if elapsed > LONG_STEP_THRESHOLD {
            self.long_steps.increment();
            warn!(took_ms = elapsed.as_millis(), "slow event loop step");
        }
    }

    /// Logs the part of a step that started at `started` and has just ended, where it alone took long.
    pub fn record_part(&self, part: &'static str, started: Instant) {
        let elapsed = started.elapsed();
        if elapsed > LONG_STEP_THRESHOLD {
            warn!(part, took_ms = elapsed.as_millis(), "slow part of an event loop step");
        }
    }
}
