//! Soak tests: a fleet of real processes of the program on loopback, under faults that overlap in time.
//!
//! A seed determines a [`Plan`], which can be printed: which nodes are paused, reloaded, killed or restarted
//! and when; which workers' connections are delayed, stalled or reset, or lose responses; the faults of
//! discovery and workers; which system calls of a node fail; and the offset of its wall clock. The seed also
//! determines what the clients send. [`run`] executes a plan and returns a [`Verdict`]: what clients received
//! is compared with what workers executed, and the number of invariant violations that each node counted must
//! be 0.
//!
//! ```no_run
//! use sorrelhaven_soak::{Plan, Size, run};
//!
//! let plan = Plan::draw(7, Size::SHORT);
//! println!("{plan}");
//! assert!(run(std::path::Path::new("target/debug/sorrelhaven"), &plan).violations.is_empty());
//! ```

mod client;
mod crowd;
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
