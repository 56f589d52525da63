//! Handover between the processes of one node, such as at an upgrade: adopts the listening socket that the
//! platform passes to each process it starts, counts the running processes of the node, and remembers the ids of
//! requests that must not run twice.
//!
//! Two processes may listen on the same socket at a time. A queued connection goes to the process that
//! accepts it first, and every socket option applies to both processes. Therefore no option is set here, and
//! the socket is never shut down.

mod claim_table;
mod inherited_listener;
mod node_file;
mod process_registry;

pub use claim_table::{ClaimError, ClaimTable};
pub use inherited_listener::{InheritError, inherited_listener};
pub use process_registry::{MAX_PROCESSES, ProcessRegistry};
