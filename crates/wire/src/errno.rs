//! Classifies the errors of system calls on sockets. Other modules pass such an error to [`classify`] and act
//! on the [`SocketFailure`]; they do not decide by the error number whether and when to repeat a call.
//!
//! The classification follows the table of calls and errors in `docs/errnos.md`.

use rustix::io::Errno;
use std::io;

/// A group of system calls, in which equal error numbers have the same meaning.
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

/// The cause of a failed call, as far as it decides how to proceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketFailure {
    /// A signal interrupted the call, which is to be repeated at once.
    Interrupted,
    /// The call would block. It is to be repeated when the socket is ready.
    NotReady,
    /// The process has reached its limit of open file descriptors.
    DescriptorLimit,
    /// This machine lacks a resource (memory, buffers, local ports, a route), whoever the peer is. The call
    /// is to be repeated after a pause.
    Shortage,
    /// The error concerns this connection or its peer only. Repeating the call does not help.
    Connection,
}

/// Classifies `error`, which a call of the group `call` returned. An unknown error counts as
/// [`SocketFailure::Connection`].
pub fn classify(call: SocketCall, error: &io::Error) -> SocketFailure {
    match Errno::from_io_error(error) {
        Some(errno) => classify_errno(call, errno),
        None => classify_kind(error.kind()),
    }
}

/// Classifies an error without an error number, which the standard library has created itself.
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
        // A non-blocking connect that would block returns EINPROGRESS. EAGAIN means that no local port is
        // free.
        (SocketCall::Connect, Errno::AGAIN | Errno::ADDRNOTAVAIL | Errno::ADDRINUSE) => {
            SocketFailure::Shortage
        }
        // This machine has no route, or its own firewall forbids the connection. Neither is the peer's fault.
        (SocketCall::Connect, Errno::NETUNREACH | Errno::NETDOWN | Errno::PERM | Errno::ACCESS) => {
            SocketFailure::Shortage
        }
        (SocketCall::Accept | SocketCall::Listen | SocketCall::Transfer, Errno::AGAIN) => {
            SocketFailure::NotReady
        }
        _ => SocketFailure::Connection,
    }
}
