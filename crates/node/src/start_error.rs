//! Errors that keep a node from starting.

use crate::body_directory::BodyDirectoryError;
use sorrelhaven_handover::InheritError;
use std::net::SocketAddr;
use std::{fmt, io};

/// Why the node cannot start. `Display` writes one line that begins with the setting or variable that the
/// error concerns, or with `signals`.
#[derive(Debug)]
pub enum StartError {
    /// A setting or an environment variable is invalid.
    Config(sorrelhaven_config::ConfigError),
    /// The descriptor in `RELAY_FD` cannot be adopted as a listening TCP socket.
    Inherit(InheritError),
    /// The inherited listener cannot be registered with the event loop.
    RegisterInherited(io::Error),
    /// The signal handlers cannot be registered, or their socket pair cannot be created.
    Signals(io::Error),
    /// The directory for bodies cannot be used. The inner error names the setting.
    BodyDirectory(BodyDirectoryError),
    /// The UDP socket of the membership protocol cannot be bound.
    MembershipListen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The process cannot listen on the address for admin calls.
    AdminListen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The process cannot listen on the address for clients.
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Config(error) => error.fmt(formatter),
            StartError::Inherit(error) => write!(formatter, "RELAY_FD: {error}"),
            StartError::RegisterInherited(error) => write!(formatter, "RELAY_FD: {error}"),
            StartError::Signals(error) => write!(formatter, "signals: {error}"),
            StartError::BodyDirectory(error) => error.fmt(formatter),
            StartError::MembershipListen { address, error } => {
                write!(formatter, "membership.listen: {address}: {error}")
            }
            StartError::AdminListen { address, error } => write!(formatter, "ops: {address}: {error}"),
            StartError::Listen { address, error } => write!(formatter, "listen: {address}: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<BodyDirectoryError> for StartError {
    fn from(error: BodyDirectoryError) -> StartError {
        StartError::BodyDirectory(error)
    }
}
