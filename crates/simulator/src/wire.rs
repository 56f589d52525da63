//! The simulator's messages: one JSON value per line. Requests, workers and instances are identified by name;
//! classes, zones and worker kinds by their index in the settings. The simulator's names of messages and
//! fields are mapped to Rust names by serde attributes in this module only.

mod commands;
mod messages;

pub use commands::{Command, CommandGroup, Reply};
pub use messages::{ArrivalMessage, AttemptEndMessage, Batch, Message, MessageGroup, WorkerRow};
