//! Jobs that wait for other jobs or for a time: the decision part, without I/O or clock.
//!
//! | file | concern |
//! | --- | --- |
//! | `graph` | which job waits for which; how an end travels down |
//! | `release` | in which order, in which shares and how fast what is due is let go |
//!
//! ```
//! use sorrelhaven_deferred_jobs::{Effect, Fate, Graph, Limits, Unknown};
//!
//! let limits = Limits { jobs: 10, conditions: 4, depth: 5, remembered: 10, unknown: Unknown::Refuse };
//! let mut graph = Graph::new(limits);
//! assert_eq!(graph.add(&"fee".into(), &[]), Ok(true));
//! assert_eq!(graph.add(&"licence".into(), &["fee".into()]), Ok(false));
//! assert_eq!(graph.settle(&"fee".into(), Fate::Served), [Effect::Released("licence".into())]);
//! ```

mod graph;
mod release;

pub use graph::{Effect, Fate, Graph, Limits, Name, Refusal, Unknown};
pub use release::{JobId, Micros, Pace, Release, Rules};
