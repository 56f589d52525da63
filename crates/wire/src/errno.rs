//! Classifies the errors of system calls on sockets. No other module compares error numbers of sockets.
//!
//! `docs/errnos.md` has the table of calls and errors that this follows. The caller of a system call passes
//! its error to [`classify`] and acts on the [`SocketFailure`].

use rustix::io::Errno;
use std::io;

/// The system calls whose errors have different meanings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketCall {
    /// `accept4` on a listener.
    Accept,
    /// `socket`, `bind` and `listen` for a listener; an address in use is not a shortage.
    Listen,
    /// `socket` and `connect` to a peer.
    Connect,
    /// `read`, `write`, `recv`, `send`, `shutdown`, `poll` and options of an established connection.
    Transfer,
}

/// The meaning of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketFailure {
    /// A signal interrupted the call: it is to be repeated at once.
    Interrupted,
    /// The call would block: it is to be repeated when the socket is ready.
    NotReady,
    /// The process has reached its own limit of descriptors.
    DescriptorLimit,
    /// The machine is short of a resource (memory, buffers, ports, a route): the call is to be repeated after
    /// a pause. Says nothing about the peer.
    Shortage,
    /// The failure concerns this one connection, or the peer.
    Connection,
}

/// What `error` of `call` means.
pub fn classify(call: SocketCall, error: &io::Error) -> SocketFailure {
    match Errno::from_io_error(error) {
        Some(errno) => classify_errno(call, errno),
        None => classify_kind(error.kind()),
    }
}

/// Classifies an error without an error number, which the standard library made.
fn classify_kind(kind: io::ErrorKind) -> SocketFailure {
    match kind {
        io::ErrorKind::Interrupted => SocketFailure::Interrupted,
        io::ErrorKind::WouldBlock => SocketFailure::NotReady,
        _ => SocketFailure::Connection,
    }
}

fn classify_errno(call: SocketCall, errno: Errno) -> SocketFailure {
    match (call, errno) {
        (_, Errno::INTR) => SocketFailure::Interrupted,
        (_, Errno::MFILE) => SocketFailure::DescriptorLimit,
        (_, Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::NOSPC) => SocketFailure::Shortage,
        // A non-blocking connect reports EINPROGRESS where it would block; its EAGAIN is a lack of local
        // ports.
        (SocketCall::Connect, Errno::AGAIN | Errno::ADDRNOTAVAIL | Errno::ADDRINUSE) => {
            SocketFailure::Shortage
        }
        // This machine has no route, or its own firewall forbids it: the same for every peer.
        (SocketCall::Connect, Errno::NETUNREACH | Errno::NETDOWN | Errno::PERM | Errno::ACCESS) => {
            SocketFailure::Shortage
        }
        (SocketCall::Accept | SocketCall::Listen | SocketCall::Transfer, Errno::AGAIN) => {
            SocketFailure::NotReady
        }
        _ => SocketFailure::Connection,
    }
}
