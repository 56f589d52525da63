//! Plain metrics that the operators read.

use std::cell::Cell;
use std::time::Duration;

/// A number that only rises.
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

/// The longest of all spans noted so far.
#[derive(Default)]
pub struct Longest(Cell<Duration>);

impl Longest {
    /// Takes one span into account.
    pub fn note(&self, span: Duration) {
        self.0.set(self.0.get().max(span));
    }

    /// The longest so far, in microseconds.
    pub fn micros(&self) -> u64 {
        u64::try_from(self.0.get().as_micros()).unwrap_or(u64::MAX)
    }
}
