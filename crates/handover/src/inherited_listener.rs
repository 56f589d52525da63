//! Adopts the listening socket that this process inherits from the platform.

use rustix::fd::{BorrowedFd, OwnedFd, RawFd};
use rustix::io::{Errno, fcntl_dupfd_cloexec};
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::{SocketType, getsockname};
use std::fmt;
use std::net::{SocketAddr, TcpListener};

/// The lowest descriptor that can be an inherited socket; 0 to 2 are the standard streams.
const FIRST_INHERITED_DESCRIPTOR: RawFd = 3;

/// Why a descriptor cannot be adopted as a listening TCP socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InheritError {
    /// The number is negative, or that of a standard stream (0 to 2), which the platform never uses to pass a
    /// socket.
    NotInheritable {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// No open descriptor has this number, or the descriptor cannot be duplicated.
    NotOpen {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// The descriptor refers to something else than a socket, such as a file.
    NotSocket {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// The socket does not accept connections: `listen` was not called on it.
    NotListening {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// The socket listens, but not for TCP connections.
    NotTcp {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// The socket's properties cannot be read.
    Inspect {
        /// The descriptor's number.
        descriptor: RawFd,
        /// The error of the system call.
        error: Errno,
    },
}

impl fmt::Display for InheritError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InheritError::NotInheritable { descriptor } => {
                write!(formatter, "descriptor {descriptor} is not one that a program is handed")
            }
            InheritError::NotOpen { descriptor } => write!(formatter, "descriptor {descriptor} is not open"),
            InheritError::NotSocket { descriptor } => {
                write!(formatter, "descriptor {descriptor} is not a socket")
            }
            InheritError::NotListening { descriptor } => {
                write!(formatter, "the socket at descriptor {descriptor} does not listen")
            }
            InheritError::NotTcp { descriptor } => {
                write!(formatter, "the socket at descriptor {descriptor} is not one for TCP")
            }
            InheritError::Inspect { descriptor, error } => {
                write!(formatter, "descriptor {descriptor}: {error}")
            }
        }
    }
}

impl std::error::Error for InheritError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            InheritError::Inspect { error, .. } => Some(error),
            _ => None,
        }
    }
}

/// Duplicates the inherited `descriptor`, and returns the duplicate as a listener. The inherited descriptor
/// itself stays open. Must be called before this process opens any descriptor of its own: if the platform
/// passed no descriptor of this number, one that this process opened could have the number and would be
/// adopted instead.
///
/// # Errors
/// The descriptor is not open, is a standard stream, or is not a listening TCP socket.
pub fn inherited_listener(descriptor: RawFd) -> Result<TcpListener, InheritError> {
    let duplicate = duplicate(descriptor)?;
    match socket_acceptconn(&duplicate) {
        Ok(true) => {}
        Ok(false) => return Err(InheritError::NotListening { descriptor }),
        Err(Errno::NOTSOCK) => return Err(InheritError::NotSocket { descriptor }),
        Err(error) => return Err(InheritError::Inspect { descriptor, error }),
    }
    if !is_tcp(&duplicate) {
        return Err(InheritError::NotTcp { descriptor });
    }
    Ok(TcpListener::from(duplicate))
}

fn duplicate(descriptor: RawFd) -> Result<OwnedFd, InheritError> {
    if descriptor < FIRST_INHERITED_DESCRIPTOR {
        return Err(InheritError::NotInheritable { descriptor });
    }
    // SAFETY: the borrowed descriptor is used for a single `fcntl`, which returns an error if the number is
    // not open, and no owner of the descriptor exists that could close it meanwhile.
    #[allow(unsafe_code)]
    let inherited = unsafe { BorrowedFd::borrow_raw(descriptor) };
    fcntl_dupfd_cloexec(inherited, FIRST_INHERITED_DESCRIPTOR)
        .map_err(|_| InheritError::NotOpen { descriptor })
}

fn is_tcp(socket: &OwnedFd) -> bool {
    let address = getsockname(socket).ok().and_then(|address| SocketAddr::try_from(address).ok());
    address.is_some() && socket_type(socket) == Ok(SocketType::STREAM)
}
