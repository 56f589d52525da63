//! Measures event loop delays.
//!
//! All tasks of a node share one thread, so a long step delays every answer. Each step and timer is measured.
//! The metrics show the longest step, the longest timer lag and the number of steps longer than
//! [`LONG_STEP_THRESHOLD`]; each such step is logged.

use crate::metric::{Counter, MaxDuration};
use std::time::{Duration, Instant};
use tracing::warn;

/// Longer steps are counted and logged. Deadlines tolerate delays of the node of up to 150 ms in total.
pub const LONG_STEP_THRESHOLD: Duration = Duration::from_millis(50);

/// The event loop delays since the node started.
#[derive(Default)]
pub struct Responsiveness {
    /// The longest step of the event loop. A step is one poll of one task.
    pub longest_step: MaxDuration,
    /// The number of steps longer than [`LONG_STEP_THRESHOLD`].
    pub long_steps: Counter,
    /// The longest delay between the due time of a dispatcher timer and its firing.
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

    /// Logs a part of a step that started at `started` and has just ended, if it took longer than
    /// [`LONG_STEP_THRESHOLD`] by itself.
    pub fn record_part(&self, part: &'static str, started: Instant) {
        let elapsed = started.elapsed();
        if elapsed > LONG_STEP_THRESHOLD {
            warn!(part, took_ms = elapsed.as_millis(), "slow part of an event loop step");
        }
    }
}
