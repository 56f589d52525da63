//! What the protocol's implementation asks for in one call.

use crate::id::MemberId;
use foca::{Notification, Runtime, Timer};
use std::net::SocketAddr;
use std::time::Duration;

/// A message of the protocol that is to be sent.
#[derive(Clone)]
pub(crate) struct Message {
    pub(crate) to: SocketAddr,
    pub(crate) bytes: Vec<u8>,
}

/// A timer of the protocol that is to be started.
pub(crate) struct NewTimer {
    pub(crate) timer: Timer<MemberId>,
    pub(crate) after: Duration,
}

/// Collects what one call of the protocol asks for.
#[derive(Default)]
pub(crate) struct ProtocolOutput {
    pub(crate) messages: Vec<Message>,
    pub(crate) timers: Vec<NewTimer>,
    /// Times that this member learnt that it was declared dead, and took its next incarnation.
    pub(crate) declared_dead: u64,
}

impl ProtocolOutput {
    /// The address of the member that the call has begun to probe, if any: a timer waits for its answer.
    pub(crate) fn probed_address(&self) -> Option<SocketAddr> {
        self.timers.iter().find_map(|new| match &new.timer {
            Timer::SendIndirectProbe { probed_id, .. } => Some(probed_id.address),
            _ => None,
        })
    }

    /// The first message to this address.
    pub(crate) fn message_to(&self, address: SocketAddr) -> Option<&Message> {
        self.messages.iter().find(|message| message.to == address)
    }
}

impl Runtime<MemberId> for ProtocolOutput {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        if matches!(notification, Notification::Rejoin(_)) {
            self.declared_dead += 1;
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.messages.push(Message { to: to.address, bytes: data.to_vec() });
    }

    fn submit_after(&mut self, timer: Timer<MemberId>, after: Duration) {
        self.timers.push(NewTimer { timer, after });
    }
}
