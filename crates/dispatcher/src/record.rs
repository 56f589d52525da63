//! What a dispatcher remembers, as plain metrics. Nothing here decides.

use std::collections::VecDeque;

/// A decayed mean of s/t.
#[derive(Clone, Copy, Default)]
pub struct Epc {
    /// The decayed sum.
    pub sum: f64,
    /// The decayed count.
    pub n: f64,
}

impl Epc {
    /// Takes one more observation; all before it lose 1/`history` of their weight.
    pub fn add(&mut self, ratio: f64, history: f64) {
        let keep = 1.0 - 1.0 / history;
        self.sum = self.sum * keep + ratio;
        self.n = self.n * keep + 1.0;
    }

    /// The mean, where `prior` stands for `weight` observations.
    pub fn mean(&self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.n + weight)
    }
}

/// What a dispatcher has learned of a kind of machine: its EPC and how many slots it has been seen to use.
#[derive(Clone, Copy, Default)]
pub struct Kind {
    /// Its EPC.
    pub epc: Epc,
    /// The slots it has been seen to use.
    pub slots: f64,
    /// The largest rating of one of it, where ratings fall with what a worker holds; else 0.
    pub size: f64,
    /// The share of its slots that others leave to this dispatcher, as reports say.
    pub share: Epc,
    /// How long jobs of a class usually wait for their start, in microseconds; from the fourth on, alike.
    pub wait: [f64; 4],
}

/// The keys of the jobs that a worker was sent last.
#[derive(Default)]
pub struct Keys(VecDeque<u64>);

impl Keys {
    /// A job with this key, 0 for none, was sent; the worker is taken to keep `most` keys.
    pub fn sent(&mut self, key: u64, most: usize) {
        if key == 0 {
            return;
        }
        self.0.retain(|&k| k != key);
        self.0.push_back(key);
        self.0.drain(..self.0.len().saturating_sub(most));
    }

    /// Whether it was one of the last.
    pub fn holds(&self, key: u64) -> bool {
        self.0.contains(&key)
    }
}
