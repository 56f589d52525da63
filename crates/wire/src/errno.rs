//! What a failed system call on a socket says: the one place that reads error numbers.
//!
//! `docs/errnos.md` has the table of calls and errors that this follows. Whoever makes a call asks [`classify`] and acts
//! on the [`SocketFailure`]; no other file compares error numbers of sockets.

use async_io::Timer;
use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// The pause before a call is made again for which the system had no room.
pub const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);

/// The calls whose errors mean different things.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketCall {
    /// `accept4` on a listener.
    Accept,
    /// `socket`, `bind` and `listen` for a listener; an address that is taken is not a shortage.
    Listen,
    /// `socket` and `connect` towards a peer.
    Connect,
    /// `read`, `write`, `recv`, `send`, `shutdown`, `poll` and options of a connection that is up.
    Transfer,
}

/// What a failed call says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketFailure {
    /// A signal came in between: the call is to be made again at once.
    Interrupted,
    /// Nothing can be done at the moment: the call is to be made again when the socket is ready.
    NotReady,
    /// The process is at its own limit of descriptors.
    DescriptorLimit,
    /// The machine is short of something (memory, buffers, ports, a route): the call is to be made again after a pause.
    /// It says nothing of the peer.
    Shortage,
    /// It concerns this one connection, or the peer.
    Connection,
}

/// What this error of this call says.
pub fn classify(call: SocketCall, error: &io::Error) -> SocketFailure {
    let Some(errno) = Errno::from_io_error(error) else {
        return match error.kind() {
            io::ErrorKind::Interrupted => SocketFailure::Interrupted,
            io::ErrorKind::WouldBlock => SocketFailure::NotReady,
            _ => SocketFailure::Connection,
        };
    };
    match (call, errno) {
        (_, Errno::INTR) => SocketFailure::Interrupted,
        (_, Errno::MFILE) => SocketFailure::DescriptorLimit,
        (_, Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::NOSPC) => SocketFailure::Shortage,
        // A non-blocking connect has no "not ready" of its own: this is a lack of local ports.
        (SocketCall::Connect, Errno::AGAIN | Errno::ADDRNOTAVAIL | Errno::ADDRINUSE) => {
            SocketFailure::Shortage
        }
        // No way out of this machine, or none that its own rules allow: the same for every peer.
        (SocketCall::Connect, Errno::NETUNREACH | Errno::NETDOWN | Errno::PERM | Errno::ACCESS) => {
            SocketFailure::Shortage
        }
        (SocketCall::Accept | SocketCall::Listen | SocketCall::Transfer, Errno::AGAIN) => {
            SocketFailure::NotReady
        }
        _ => SocketFailure::Connection,
    }
}

/// Waits until a call that failed for want of room may be made again.
pub async fn shortage_pause() {
    Timer::after(SHORTAGE_PAUSE).await;
}
