//! Signs and verifies datagrams. Each carries its sender, a sequence number against replays, and a message
//! authentication code (MAC) that only holders of the shared key can compute.
//!
//! ```text
//! byte 0         the version, 1
//! bytes 1 to 8   the sender's id, a hash of its random seed, name and incarnation, big-endian
//! bytes 9 to 16  the sequence number of the datagram, from 1, big-endian
//! then           the protocol message
//! last 16 bytes  HMAC-SHA256 of all preceding bytes, truncated
//! ```

use crate::replay_filter::ReplayFilter;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_392;
const VERSION: u8 = 1;
const SENDER_ID_OFFSET: usize = 1;
const SEQUENCE_OFFSET: usize = 9;
const HEADER_BYTES: usize = 17;
const MAC_BYTES: usize = 16;
/// The maximum length of a protocol message, in bytes; its datagram is then [`MAX_DATAGRAM_BYTES`] long.
pub(crate) const MAX_MESSAGE_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - MAC_BYTES;

/// Why a received datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// Shorter or longer than any valid datagram, or of another version.
    Malformed,
    /// Its MAC does not match: it was damaged, or signed with another key.
    Unauthenticated,
    /// Received before, or so old that the replay filter can't tell.
    Replayed,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DatagramError::Malformed => "malformed",
            DatagramError::Unauthenticated => "unauthenticated",
            DatagramError::Replayed => "replayed",
        })
    }
}

impl std::error::Error for DatagramError {}

/// Signs the datagrams that a member sends, and verifies those that it receives.
pub(crate) struct Authenticator {
    mac: Hmac<Sha256>,
    sender_id: u64,
    last_sequence: u64,
    replay_filter: ReplayFilter,
}

impl Authenticator {
    /// An authenticator that signs with `key`, and puts `sender_id` into its datagrams.
    pub(crate) fn new(key: &[u8], sender_id: u64) -> Authenticator {
        let mac = Hmac::<Sha256>::new_from_slice(key)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        Authenticator { mac, sender_id, last_sequence: 0, replay_filter: ReplayFilter::default() }
    }

    /// The signed datagram that carries `message`, with the next sequence number.
    pub(crate) fn sign(&mut self, message: &[u8]) -> Vec<u8> {
        self.last_sequence += 1;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + message.len() + MAC_BYTES);
        datagram.push(VERSION);
        datagram.extend_from_slice(&self.sender_id.to_be_bytes());
        datagram.extend_from_slice(&self.last_sequence.to_be_bytes());
        datagram.extend_from_slice(message);
        let mac = self.mac.clone().chain_update(&datagram).finalize().into_bytes();
        datagram.extend_from_slice(&mac[..MAC_BYTES]);
        datagram
    }

    /// The message that a valid datagram carries.
    ///
    /// # Errors
    /// Why the datagram must be dropped.
    pub(crate) fn verify<'a>(&mut self, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        let has_valid_length =
            HEADER_BYTES + MAC_BYTES < datagram.len() && datagram.len() <= MAX_DATAGRAM_BYTES;
        if !has_valid_length || datagram[0] != VERSION {
            return Err(DatagramError::Malformed);
        }
        let (signed, received_mac) = datagram.split_at(datagram.len() - MAC_BYTES);
        let mac = self.mac.clone().chain_update(signed);
        mac.verify_truncated_left(received_mac).map_err(|_| DatagramError::Unauthenticated)?;
        let sender_id = read_u64(signed, SENDER_ID_OFFSET);
        let sequence = read_u64(signed, SEQUENCE_OFFSET);
        if !self.replay_filter.accept(sender_id, sequence) {
            return Err(DatagramError::Replayed);
        }
        Ok(&signed[HEADER_BYTES..])
    }
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut number = [0; size_of::<u64>()];
    number.copy_from_slice(&bytes[offset..offset + size_of::<u64>()]);
    u64::from_be_bytes(number)
}

#[cfg(test)]
mod tests;
