//! Evicts a connection whose first request is incomplete, if its descriptor is needed.

use crate::frontend::Frontend;
use event_listener::EventListener;
use sorrelhaven_wire::{Connection, PeerCloseDetector};

/// The eviction of one connection while its request is being received. Created when that begins, since the
/// connection whose request has been incomplete for the longest time is evicted first.
pub struct IncompleteEviction<'a> {
    frontend: &'a Frontend,
    detector: PeerCloseDetector,
    /// `None` if the connection is not evicted in this state.
    notified: Option<EventListener>,
}

impl<'a> IncompleteEviction<'a> {
    /// The eviction of `connection`. If `has_submitted_job` is true, the connection is not evicted while it receives
    /// a request.
    pub fn new(frontend: &'a Frontend, connection: &Connection, has_submitted_job: bool) -> Self {
        let event = &frontend.connections.evict_incomplete;
        IncompleteEviction {
            frontend,
            detector: connection.peer_close_detector(),
            notified: (!has_submitted_job).then(|| event.listen()),
        }
    }

    /// Waits until the connection is to be closed. If input has arrived that was not read yet, the request may be
    /// complete: the connection then stays open, and the next eviction concerns another one. The notification is not
    /// passed on, since that would never end if all connections have unread input.
    pub async fn evicted(&mut self) {
        let event = &self.frontend.connections.evict_incomplete;
        loop {
            match &mut self.notified {
                Some(notified) => notified.await,
                None => std::future::pending().await,
            }
            if !self.detector.has_unread_input() {
                return;
            }
            self.notified = Some(event.listen());
        }
    }
}
