//! Lines, as they come in pieces, read into calls.

use sorrelhaven_lifecycle::Command;
use std::fmt;

/// The most that a line may hold, in bytes, its end not counted.
pub const LINE_MOST: usize = 256;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// Something about the node's lifecycle.
    Lifecycle(Command),
    /// The metrics.
    ShowStat,
    /// The nodes that this one knows.
    Members,
}

/// Why a line is no call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unread {
    /// It holds more than [`LINE_MOST`] bytes.
    TooLong,
    /// It is no call that is known.
    Unknown(String),
    /// Its end had not come when the caller's time was up.
    TooSlow,
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unread::TooLong => write!(f, "a call holds at most {LINE_MOST} bytes"),
            Unread::Unknown(line) => {
                write!(f, "unknown call {line:?}; there are ready, show-stat, drain, resume, members")
            }
            Unread::TooSlow => f.write_str("the call did not come whole in time"),
        }
    }
}

/// A line on its way in.
#[derive(Default)]
pub struct Incoming(Vec<u8>);

impl Incoming {
    /// Takes a piece of it; the call once the line is whole. What comes after it is nobody's.
    pub fn push(&mut self, piece: &[u8]) -> Option<Result<Asked, Unread>> {
        let end = piece.iter().position(|&b| b == b'\n');
        let piece = &piece[..end.unwrap_or(piece.len())];
        // One byte more for the return before the end.
        if self.0.len() + piece.len() > LINE_MOST + 1 {
            return Some(Err(Unread::TooLong));
        }
        self.0.extend_from_slice(piece);
        end.map(|_| self.read())
    }

    /// The caller has ended its sending: what came is the line. `None` where nothing came at all.
    pub fn end(&self) -> Option<Result<Asked, Unread>> {
        (!self.0.is_empty()).then(|| self.read())
    }

    fn read(&self) -> Result<Asked, Unread> {
        match self.0.trim_ascii() {
            b"ready" => Ok(Asked::Lifecycle(Command::Ready)),
            b"drain" => Ok(Asked::Lifecycle(Command::Drain)),
            b"resume" => Ok(Asked::Lifecycle(Command::Resume)),
            b"show-stat" => Ok(Asked::ShowStat),
            b"members" => Ok(Asked::Members),
            other => Err(Unread::Unknown(String::from_utf8_lossy(other).into_owned())),
        }
    }
}
