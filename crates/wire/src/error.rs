//! Why a message could not be read or written.

use std::fmt;

/// Why a message could not be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The peer has closed its sending side.
    Closed,
    /// The connection failed, for example by a reset.
    Broken,
    /// The input is not HTTP, or its framing is ambiguous.
    Malformed,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The body, or a line or object in it, is larger than the limit.
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
