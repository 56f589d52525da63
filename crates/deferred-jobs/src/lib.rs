//! Deferred jobs, which wait for other jobs or for a time: when to release which. This crate does no I/O and
//! reads no clock.
//!
//! | file | concern |
//! | --- | --- |
//! | `dependency_graph` | which job waits for which, and what a job's outcome means for its dependents |
//! | `add_error` | why a job is not added |
//! | `release_queue` | the order in which due jobs are released: priority aging and tenant shares |
//! | `release_window` | how many released jobs may be in progress, by the load of the workers |
//!
//! ```
//! use sorrelhaven_deferred_jobs::{
//!     DependentUpdate, DependencyGraph, JobOutcome, Limits, Readiness, UnknownNamePolicy,
//! };
//!
//! let limits = Limits {
//!     max_jobs: 10,
//!     max_dependencies: 4,
//!     max_chain_length: 5,
//!     max_remembered_outcomes: 10,
//!     unknown_names: UnknownNamePolicy::Reject,
//! };
//! let mut graph = DependencyGraph::new(limits);
//! assert_eq!(graph.add(&"fee".into(), &[]), Ok(Readiness::Ready));
//! assert_eq!(graph.add(&"licence".into(), &["fee".into()]), Ok(Readiness::Waiting));
//! let updates = graph.conclude(&"fee".into(), JobOutcome::Served);
//! assert_eq!(updates, [DependentUpdate::Released("licence".into())]);
//! ```

mod add_error;
mod dependency_graph;
mod release_queue;
mod release_window;

pub use add_error::AddError;
pub use dependency_graph::{
    DependencyGraph, DependentUpdate, JobName, JobOutcome, Limits, Readiness, UnknownNamePolicy,
};
pub use release_queue::{JobId, Micros, ReleaseQueue, ReleaseRules};
pub use release_window::{ReleaseOutcome, WindowLimits};
