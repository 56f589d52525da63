//! The listening socket that the platform passes to this process.

use rustix::fd::{BorrowedFd, OwnedFd, RawFd};
use rustix::io::{Errno, fcntl_dupfd_cloexec};
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::{SocketType, getsockname};
use std::fmt;
use std::net::{SocketAddr, TcpListener};

/// The first descriptor after standard input, output and error.
const FIRST_INHERITED_DESCRIPTOR: RawFd = 3;

/// Why a descriptor cannot be adopted as a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InheritError {
    /// It is negative, or one of the standard streams.
    NotInheritable {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// It is not open.
    NotOpen {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// It is not a socket.
    NotSocket {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// It is a socket that does not listen.
    NotListening {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// It is not a TCP socket.
    NotTcp {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// Its properties cannot be read.
    Inspect {
        /// The descriptor's number.
        descriptor: RawFd,
        /// The system's error.
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

/// Adopts the listening socket at `descriptor`, through a duplicate that is closed with the returned
/// listener; the descriptor itself stays open. Must be called before this process opens any descriptor, which
/// could get the same number.
///
/// # Errors
/// The descriptor is not open, not a TCP socket, or does not listen.
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
    // SAFETY: the number is used for one `fcntl`, which fails if it is not open; nothing owns or closes it
    // here.
    #[allow(unsafe_code)]
    let inherited = unsafe { BorrowedFd::borrow_raw(descriptor) };
    fcntl_dupfd_cloexec(inherited, FIRST_INHERITED_DESCRIPTOR)
        .map_err(|_| InheritError::NotOpen { descriptor })
}

fn is_tcp(socket: &OwnedFd) -> bool {
    let address = getsockname(socket).ok().and_then(|address| SocketAddr::try_from(address).ok());
    address.is_some() && socket_type(socket) == Ok(SocketType::STREAM)
}
