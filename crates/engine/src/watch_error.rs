//! Why a discovery watch failed.

use sorrelhaven_config::ConfigError;
use sorrelhaven_wire::WireError;
use std::fmt;

/// The most bytes of one list, not counting white space: 1 KiB for each of 4,096 workers.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a discovery watch failed.
#[derive(Debug)]
pub enum WatchError {
    /// Connecting to discovery failed.
    Unreachable,
    /// No open call was answered in time. The calls stay open.
    NoResponse,
    /// The watch was silent for too long, or a list in it was not complete in time. It stays open.
    Stalled,
    /// The response has this HTTP status instead of 200.
    ErrorStatus(u16),
    /// Reading the response failed, or it is not valid HTTP or JSON.
    Unreadable(WireError),
    /// A list in the response is a JSON object but not a valid list.
    InvalidList(ConfigError),
    /// The list has this version, which is older than the one in force, although it was requested later.
    OlderList(u64),
}

impl WatchError {
    /// Whether discovery sent something that is not a list. The last version can then not be trusted, and the
    /// complete list must be fetched.
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
            WatchError::Unreadable(error) => write!(formatter, "unreadable response: {error}"),
            WatchError::InvalidList(error) => write!(formatter, "invalid list: {error}"),
            WatchError::OlderList(version) => {
                write!(formatter, "list with the version {version}, older than the one in force")
            }
        }
    }
}

impl std::error::Error for WatchError {}
