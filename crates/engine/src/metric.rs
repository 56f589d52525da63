//! The two kinds of metric in the engine: a counter and the maximum of a duration.

use std::cell::Cell;
use std::time::Duration;

/// A count that only increases.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The current count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// The longest duration recorded so far; zero before the first.
#[derive(Default)]
pub struct MaxDuration(Cell<Duration>);

impl MaxDuration {
    /// Records a duration, which becomes the maximum if it is longer.
    pub fn record(&self, duration: Duration) {
        self.0.set(self.0.get().max(duration));
    }

    /// The maximum in whole microseconds.
    pub fn as_micros(&self) -> u64 {
        u64::try_from(self.0.get().as_micros()).unwrap_or(u64::MAX)
    }
}
