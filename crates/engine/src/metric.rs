//! The two kinds of metric that the engine keeps: a counter and a maximum.

use std::cell::Cell;
use std::time::Duration;

/// A counter that only rises.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The value so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// The longest of the durations noted so far.
#[derive(Default)]
pub struct MaxDuration(Cell<Duration>);

impl MaxDuration {
    /// Takes one duration into account.
    pub fn record(&self, duration: Duration) {
        self.0.set(self.0.get().max(duration));
    }

    /// The longest so far, in microseconds.
    pub fn as_micros(&self) -> u64 {
        u64::try_from(self.0.get().as_micros()).unwrap_or(u64::MAX)
    }
}
