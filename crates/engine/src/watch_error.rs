//! Why a discovery watch failed.

use sorrelhaven_config::ConfigError;
use sorrelhaven_wire::WireError;
use std::fmt;

/// The most that one list may hold, white space not counted: 1 KiB an entry for 4,096 workers.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a discovery watch failed.
#[derive(Debug)]
pub enum WatchError {
    /// No connection could be made.
    Unreachable,
    /// No response has begun in time.
    NoResponse,
    /// The response has begun and then stopped, or a list in it does not end.
    Stalled,
    /// The response has this status instead of 200.
    ErrorStatus(u16),
    /// The response could not be read.
    Unreadable(WireError),
    /// A list is JSON and no valid list.
    InvalidList(ConfigError),
}

impl WatchError {
    /// Whether discovery sent what is no list: nothing that it sent before can be relied on for the next
    /// list.
    pub fn is_malformed(&self) -> bool {
        matches!(self, WatchError::InvalidList(_) | WatchError::Unreadable(WireError::Malformed))
    }
}

impl fmt::Display for WatchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Unreachable => formatter.write_str("connection failed"),
            WatchError::NoResponse => formatter.write_str("no response"),
            WatchError::Stalled => formatter.write_str("response timed out"),
            WatchError::ErrorStatus(status) => write!(formatter, "response status {status}"),
            WatchError::Unreadable(WireError::BodyTooLarge) => {
                write!(formatter, "list of more than {MAX_LIST_BYTES} bytes")
            }
            WatchError::Unreadable(WireError::Malformed) => {
                formatter.write_str("list is not a JSON object, or was cut off")
            }
            WatchError::Unreadable(error) => write!(formatter, "unreadable response: {error:?}"),
            WatchError::InvalidList(error) => write!(formatter, "invalid list: {error}"),
        }
    }
}

impl std::error::Error for WatchError {}
