//! Recognises datagrams that were received before, by the sender's sequence numbers.

use std::collections::HashMap;

/// Datagrams of one sender may overtake each other by fewer than this many.
pub(crate) const REORDERING_WINDOW: u64 = 64;
/// Senders that are remembered; the one not heard from for the longest time is forgotten first.
pub(crate) const MAX_SENDERS: usize = 4_096;

/// The sequence numbers received from one sender.
struct SequenceWindow {
    highest: u64,
    /// Bit `i` says that `highest - i` was received.
    received: u64,
    /// When the sender was last heard from, in datagrams received by the filter.
    last_heard: u64,
}

/// Accepts each datagram once.
#[derive(Default)]
pub(crate) struct ReplayFilter {
    senders: HashMap<u64, SequenceWindow>,
    datagrams: u64,
}

impl ReplayFilter {
    /// Whether a sequence number of a sender is received for the first time. Returns false for one that is so
    /// old that this can't be known.
    pub(crate) fn accept(&mut self, sender: u64, sequence: u64) -> bool {
        self.datagrams += 1;
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender) {
            self.forget_least_recent();
        }
        let window =
            self.senders.entry(sender).or_insert(SequenceWindow { highest: 0, received: 0, last_heard: 0 });
        window.last_heard = self.datagrams;
        window.accept(sequence)
    }

    fn forget_least_recent(&mut self) {
        let least_recent = self.senders.iter().min_by_key(|(_, window)| window.last_heard);
        if let Some((&sender, _)) = least_recent {
            self.senders.remove(&sender);
        }
    }

    /// The number of senders that are remembered.
    #[cfg(test)]
    pub(crate) fn sender_count(&self) -> usize {
        self.senders.len()
    }
}

impl SequenceWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.received = if ahead >= REORDERING_WINDOW { 0 } else { self.received << ahead };
            self.received |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if sequence == 0 || behind >= REORDERING_WINDOW || self.received >> behind & 1 == 1 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}
