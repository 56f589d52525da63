//! Why the node could not start.

use crate::body_directory::BodyDirectoryError;
use sorrelhaven_handover::InheritError;
use std::net::SocketAddr;
use std::{fmt, io};

/// Why the node could not start. Displayed on one line that names the setting or variable at fault.
#[derive(Debug)]
pub enum StartError {
    /// A setting is at fault.
    Config(sorrelhaven_config::ConfigError),
    /// The inherited descriptor is no listening socket.
    Inherit(InheritError),
    /// The inherited listener cannot be registered with the event loop.
    RegisterInherited(io::Error),
    /// Signals cannot be handled.
    Signals(io::Error),
    /// The directory for bodies cannot be used.
    BodyDirectory(BodyDirectoryError),
    /// Membership's socket cannot be opened.
    MembershipListen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The admin listener cannot be opened.
    AdminListen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The listener for clients cannot be opened.
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
