//! The errors that end the program.

use std::fmt;
use std::io;

/// Why a batch cannot be handled. The error texts use the simulator's names of messages and fields.
#[derive(Debug)]
pub enum BatchError {
    /// The line is not JSON of the form of a [`Batch`](crate::wire::Batch).
    Malformed(serde_json::Error),
    /// A `create` message holds invalid settings.
    InvalidSettings(sorrelhaven_config::ConfigError),
    /// A message is for the instance of this name, which was never created or was killed.
    UnknownInstance(String),
    /// An `update` message refers to a worker list of this number, which no `ledger` message has defined.
    UnknownWorkerList(usize),
    /// An `update` message has a mode that is not one of the `UPDATE_` constants of `instance.rs`.
    UnknownUpdateMode(u8),
    /// A `verdict` or `pingResult` message has an unknown outcome code in `result`.
    UnknownOutcome(u8),
    /// A worker in a `ledger` message has an unknown lifecycle code.
    UnknownLifecycle(u8),
}

impl fmt::Display for BatchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BatchError::Malformed(error) => write!(formatter, "malformed batch: {error}"),
            BatchError::InvalidSettings(error) => {
                write!(formatter, "\"create\" message: invalid settings: {error}")
            }
            BatchError::UnknownInstance(name) => {
                write!(formatter, "message for dispatcher {name:?}, which does not exist")
            }
            BatchError::UnknownWorkerList(number) => {
                write!(formatter, "\"update\" message: no \"ledger\" message has defined \"bank\" {number}")
            }
            BatchError::UnknownUpdateMode(mode) => {
                write!(formatter, "\"update\" message: unknown \"mode\" {mode}")
            }
            BatchError::UnknownOutcome(code) => {
                write!(formatter, "\"verdict\" or \"pingResult\" message: unknown \"result\" {code}")
            }
            BatchError::UnknownLifecycle(code) => {
                write!(formatter, "\"ledger\" message: unknown \"lifecycle\" {code}")
            }
        }
    }
}

impl std::error::Error for BatchError {}

/// Why the program ends with a failure. Lines are counted from 1.
#[derive(Debug)]
pub enum SimulatorError {
    /// Standard input cannot be read, or the line is not UTF-8.
    Read {
        /// The number of the line.
        line: u64,
        /// The error of the read.
        source: io::Error,
    },
    /// The batch on a line cannot be handled.
    Batch {
        /// The number of the line.
        line: u64,
        /// Why it cannot be handled.
        source: BatchError,
    },
    /// A reply cannot be written to standard output.
    Write(io::Error),
}

impl fmt::Display for SimulatorError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SimulatorError::Read { line, source } => {
                write!(formatter, "cannot read line {line} of standard input: {source}")
            }
            SimulatorError::Batch { line, source } => write!(formatter, "line {line}: {source}"),
            SimulatorError::Write(source) => write!(formatter, "cannot write a reply: {source}"),
        }
    }
}

impl std::error::Error for SimulatorError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SimulatorError::Read { source, .. } | SimulatorError::Write(source) => Some(source),
            SimulatorError::Batch { source, .. } => Some(source),
        }
    }
}
