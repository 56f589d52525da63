//! The simulator's wire: one JSON value a line, ids as names, positions for classes and zones. The names of
//! its keys are mapped here to those of the code, and nowhere else.

mod commands;
mod messages;

pub use commands::{Command, CommandGroup, Reply};
pub use messages::{ArrivalMessage, AttemptEndMessage, Batch, Message, MessageGroup, WorkerRow};
