//! Signs and verifies datagrams: who sent one, its sequence number, and a code that only holders of the key
//! can make.
//!
//! ```text
//! byte 0         the version, 1
//! bytes 1 to 8   the sender, a random number drawn at its start, big-endian
//! bytes 9 to 16  the sequence number of the datagram, from 1, big-endian
//! then           the message of the membership protocol
//! last 16 bytes  HMAC-SHA256 of all before, truncated
//! ```

use crate::replay_filter::ReplayFilter;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;

/// The length of the longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_392;
const VERSION: u8 = 1;
const SENDER_OFFSET: usize = 1;
const SEQUENCE_OFFSET: usize = 9;
const HEADER_BYTES: usize = 17;
const CODE_BYTES: usize = 16;
/// The length of the longest message that fits a datagram.
pub(crate) const MAX_MESSAGE_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - CODE_BYTES;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// It is too short or too long, or of another version.
    Malformed,
    /// Its code was not made with the key.
    Unauthenticated,
    /// It was received before, or is too old to know.
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

/// Signs what a member sends, and verifies what it receives.
pub(crate) struct Authenticator {
    mac: Hmac<Sha256>,
    sender: u64,
    last_sequence: u64,
    replay_filter: ReplayFilter,
}

impl Authenticator {
    /// For the member that signs as `sender`.
    pub(crate) fn new(key: &[u8], sender: u64) -> Authenticator {
        let mac = Hmac::<Sha256>::new_from_slice(key)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        Authenticator { mac, sender, last_sequence: 0, replay_filter: ReplayFilter::default() }
    }

    /// The datagram that carries a message.
    pub(crate) fn sign(&mut self, message: &[u8]) -> Vec<u8> {
        self.last_sequence += 1;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + message.len() + CODE_BYTES);
        datagram.push(VERSION);
        datagram.extend_from_slice(&self.sender.to_be_bytes());
        datagram.extend_from_slice(&self.last_sequence.to_be_bytes());
        datagram.extend_from_slice(message);
        let code = self.mac.clone().chain_update(&datagram).finalize().into_bytes();
        datagram.extend_from_slice(&code[..CODE_BYTES]);
        datagram
    }

    /// The message that a datagram carries.
    ///
    /// # Errors
    /// Why the datagram must be dropped.
    pub(crate) fn verify<'a>(&mut self, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        let has_valid_length =
            HEADER_BYTES + CODE_BYTES < datagram.len() && datagram.len() <= MAX_DATAGRAM_BYTES;
        if !has_valid_length || datagram[0] != VERSION {
            return Err(DatagramError::Malformed);
        }
        let (signed, code) = datagram.split_at(datagram.len() - CODE_BYTES);
        let mac = self.mac.clone().chain_update(signed);
        mac.verify_truncated_left(code).map_err(|_| DatagramError::Unauthenticated)?;
        let sender = read_u64(signed, SENDER_OFFSET);
        let sequence = read_u64(signed, SEQUENCE_OFFSET);
        if !self.replay_filter.accept(sender, sequence) {
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
