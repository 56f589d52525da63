//! The soak: a fleet of real processes of the program on loopback, under faults that overlap in time.
//!
//! One seed gives one [`Plan`], which is printed: which nodes are stopped, reloaded, killed or told to end and when, which
//! executors' connections are delayed, stalled, cut one way or reset, what discovery does, which system calls of a node
//! fail, how far its wall clock is off, and how clients and executors behave. [`run`] plays it and gives a [`Verdict`]:
//! what clients heard is held against what executors ran, and each node's own count of violated invariants must be 0.
//!
//! ```no_run
//! use sorrelhaven_soak::{Plan, Size, run};
//!
//! let plan = Plan::draw(7, Size::SHORT);
//! println!("{plan}");
//! assert!(run(std::path::Path::new("target/debug/sorrelhaven"), &plan).faults.is_empty());
//! ```

mod client;
mod discovery;
mod fleet;
mod plan;
mod proxy;

pub use fleet::{Verdict, run};
pub use plan::{Plan, Size};
