//! Detects that the peer has closed a connection while another task reads from it, or none does.

use crate::errno::{SocketCall, SocketFailure, classify};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::net::TcpStream;
use std::sync::Arc;

const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Detects whether the peer of a connection has closed it, without reading from the connection.
#[derive(Clone)]
pub struct PeerCloseDetector {
    stream: Arc<TcpStream>,
}

impl PeerCloseDetector {
    pub(crate) fn new(stream: Arc<TcpStream>) -> PeerCloseDetector {
        PeerCloseDetector { stream }
    }

    /// Whether the peer has closed, half-closed or reset the connection, even if input that was sent before
    /// is still unread. Does not wait.
    pub fn has_closed(&self) -> bool {
        self.has_event(PollFlags::RDHUP)
    }

    /// Whether the peer may have closed the connection: it has, or the system holds input that was not read yet and
    /// may hide the close. Does not wait.
    pub fn may_have_closed(&self) -> bool {
        self.has_event(PollFlags::IN | PollFlags::RDHUP)
    }

    /// Whether the system holds input that was not read yet, or the end of the input. Does not wait.
    pub fn has_unread_input(&self) -> bool {
        self.has_event(PollFlags::IN)
    }

    fn has_event(&self, event: PollFlags) -> bool {
        let mut events = [PollFd::new(&*self.stream, event)];
        loop {
            let error = match poll(&mut events, Some(&NO_WAIT)) {
                Ok(ready) => return ready > 0,
                Err(error) => error,
            };
            if classify(SocketCall::Transfer, &error.into()) != SocketFailure::Interrupted {
                // The state is unknown for now; a later call may succeed.
                return false;
            }
        }
    }
}
