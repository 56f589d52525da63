//! The messages and timers that a call of `foca` requests.

use crate::id::MemberId;
use foca::{Notification, Runtime, Timer};
use std::net::SocketAddr;
use std::time::Duration;

/// A protocol message to be signed and sent.
#[derive(Clone)]
pub(crate) struct Message {
    pub(crate) to: SocketAddr,
    pub(crate) bytes: Vec<u8>,
}

/// A protocol timer to be started.
pub(crate) struct NewTimer {
    pub(crate) timer: Timer<MemberId>,
    pub(crate) delay: Duration,
}

/// Collects what a call of `foca` requests.
#[derive(Default)]
pub(crate) struct ProtocolOutput {
    pub(crate) messages: Vec<Message>,
    pub(crate) timers: Vec<NewTimer>,
    /// How often this member learnt that it was declared dead and rejoined with its next incarnation.
    pub(crate) declared_dead: u64,
}

impl ProtocolOutput {
    /// The address of the member that the call has started to probe, if any: `foca` then starts a timer for
    /// its ack, which names the member.
    pub(crate) fn probed_address(&self) -> Option<SocketAddr> {
        self.timers.iter().find_map(|new_timer| match &new_timer.timer {
            Timer::SendIndirectProbe { probed_id, .. } => Some(probed_id.address),
            _ => None,
        })
    }

    /// The first message to `address`, if any.
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

    fn submit_after(&mut self, timer: Timer<MemberId>, delay: Duration) {
        self.timers.push(NewTimer { timer, delay });
    }
}
