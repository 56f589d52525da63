//! The soak: a fleet of real processes of the program on loopback, under faults that overlap in time.
//!
//! One seed gives one [`Plan`], which can be printed: which nodes are paused, reloaded, killed or restarted
//! and when, which workers' connections are delayed, stalled, cut or reset, what discovery does, which system
//! calls of a node fail, how far its wall clock is off, and how clients and workers behave. [`run`] plays it
//! and returns a [`Verdict`]: what clients received is compared with what workers ran, and each node's own
//! count of violated invariants must be 0.
//!
//! ```no_run
//! use sorrelhaven_soak::{Plan, Size, run};
//!
//! let plan = Plan::draw(7, Size::SHORT);
//! println!("{plan}");
//! assert!(run(std::path::Path::new("target/debug/sorrelhaven"), &plan).violations.is_empty());
//! ```

mod client;
mod discovery;
mod fleet;
mod node_history;
mod plan;
mod proxy;
mod run;
mod verdict;

pub use plan::{Plan, Size};
pub use run::run;
pub use verdict::Verdict;
