//! Handover between processes of one node: adopts the listening socket that the platform passes to each
//! process it starts, and counts the processes of the node that are alive.
//!
//! Two processes may use the same socket at a time: a queued connection goes to the one that accepts it
//! first, and every socket option applies to both. Therefore no option is set here, and the socket is never
//! shut down.

mod inherited_listener;
mod process_registry;

pub use inherited_listener::{InheritError, inherited_listener};
pub use process_registry::{MAX_PROCESSES, ProcessRegistry};
