//! Handover between the processes of one node, such as at an upgrade: adopts the listening socket that the
//! platform passes to each process it starts, and counts the running processes of the node.
//!
//! Two processes may listen on the same socket at a time. A queued connection goes to the process that
//! accepts it first, and every socket option applies to both processes. Therefore no option is set here, and
//! the socket is never shut down.

mod inherited_listener;
mod process_registry;

pub use inherited_listener::{InheritError, inherited_listener};
pub use process_registry::{MAX_PROCESSES, ProcessRegistry};
