//! Rejects replayed datagrams by a sliding window over the sequence numbers of each sender.

use std::collections::HashMap;

/// The width of the window, for datagrams that overtake each other: a sequence number this far or farther
/// below its sender's highest is rejected.
pub(crate) const REORDERING_WINDOW: u64 = 64;
/// Senders whose windows are kept; beyond that the sender that was heard from least recently is evicted.
pub(crate) const MAX_SENDERS: usize = 4_096;

/// The sequence numbers received from one sender.
struct SequenceWindow {
    highest: u64,
    /// Bit `i` is set if `highest - i` was received.
    received_bits: u64,
    /// The filter's `datagram_count` when this sender was last heard from.
    last_heard_at: u64,
}

/// Accepts each datagram at most once, as long as its sender's window is kept.
#[derive(Default)]
pub(crate) struct ReplayFilter {
    /// The window of each sender, by its id.
    windows: HashMap<u64, SequenceWindow>,
    datagram_count: u64,
}

impl ReplayFilter {
    /// Records a sequence number, and returns whether it is the sender's first datagram with it. Returns
    /// false for a number below the window, because the filter can't tell whether it was received.
    pub(crate) fn accept(&mut self, sender_id: u64, sequence: u64) -> bool {
        self.datagram_count += 1;
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&sender_id) {
            self.evict_least_recent();
        }
        let window = self.windows.entry(sender_id).or_insert(SequenceWindow {
            highest: 0,
            received_bits: 0,
            last_heard_at: 0,
        });
        window.last_heard_at = self.datagram_count;
        window.accept(sequence)
    }

    fn evict_least_recent(&mut self) {
        let least_recent = self.windows.iter().min_by_key(|(_, window)| window.last_heard_at);
        if let Some((&sender_id, _)) = least_recent {
            self.windows.remove(&sender_id);
        }
    }

    /// The number of senders whose windows are kept.
    #[cfg(test)]
    pub(crate) fn sender_count(&self) -> usize {
        self.windows.len()
    }
}

impl SequenceWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.received_bits = if ahead >= REORDERING_WINDOW { 0 } else { self.received_bits << ahead };
            self.received_bits |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if sequence == 0 || behind >= REORDERING_WINDOW || self.received_bits >> behind & 1 == 1 {
            return false;
        }
        self.received_bits |= 1 << behind;
        true
    }
}
