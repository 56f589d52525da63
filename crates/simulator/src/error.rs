//! Why the simulator's host stops.

use std::fmt;
use std::io;

/// A fault in one batch of events.
#[derive(Debug)]
pub enum BatchError {
    /// The line is not a batch.
    Malformed(serde_json::Error),
    /// The settings of a new instance are invalid.
    InvalidSettings(sorrelhaven_config::ConfigError),
    /// An event names an instance that does not exist.
    UnknownInstance(String),
    /// An update refers to a worker list that was never sent.
    UnknownWorkerList(usize),
    /// An update has an unknown mode.
    UnknownUpdateMode(u8),
    /// An attempt or probe has an unknown outcome.
    UnknownOutcome(u8),
    /// A worker has an unknown lifecycle state.
    UnknownLifecycle(u8),
}

impl fmt::Display for BatchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BatchError::Malformed(error) => error.fmt(formatter),
            BatchError::InvalidSettings(error) => error.fmt(formatter),
            BatchError::UnknownInstance(name) => write!(formatter, "event for unknown {name}"),
            BatchError::UnknownWorkerList(number) => write!(formatter, "no ledger {number}"),
            BatchError::UnknownUpdateMode(mode) => write!(formatter, "update of unknown mode {mode}"),
            BatchError::UnknownOutcome(code) => write!(formatter, "unknown outcome {code}"),
            BatchError::UnknownLifecycle(code) => write!(formatter, "unknown lifecycle {code}"),
        }
    }
}

impl std::error::Error for BatchError {}

/// What ends the program with a failure.
#[derive(Debug)]
pub enum SimulatorError {
    /// A line of the input can't be read.
    Read {
        /// Counted from 1.
        line: u64,
        /// The cause.
        source: io::Error,
    },
    /// A line of the input is at fault.
    Batch {
        /// Counted from 1.
        line: u64,
        /// The cause.
        source: BatchError,
    },
    /// A reply can't be written.
    Write(io::Error),
}

impl fmt::Display for SimulatorError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SimulatorError::Read { line, source } => write!(formatter, "cannot read line {line}: {source}"),
            SimulatorError::Batch { line, source } => write!(formatter, "line {line}: {source}"),
            SimulatorError::Write(source) => write!(formatter, "cannot write: {source}"),
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
