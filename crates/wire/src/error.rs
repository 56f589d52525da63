//! The error of reading and writing messages.

use std::fmt;

/// Why a message could not be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The peer has closed its sending side. A message that was being read is incomplete.
    Closed,
    /// The connection failed, for example because the peer has reset it.
    Broken,
    /// The input is not valid HTTP or JSON, or the framing of the message is ambiguous.
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`](crate::MAX_HEAD_BYTES), or has too many header fields.
    HeadTooLarge,
    /// The body, or a line or JSON object in it, exceeds its limit.
    BodyTooLarge,
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            WireError::Closed => "the peer closed the connection",
            WireError::Broken => "the connection failed",
            WireError::Malformed => "malformed message",
            WireError::HeadTooLarge => "the message head is too large",
            WireError::BodyTooLarge => "the message body is too large",
        })
    }
}

impl std::error::Error for WireError {}
