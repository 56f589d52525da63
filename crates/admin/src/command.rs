//! Reads a command from a line that may arrive in several pieces.

use sorrelhaven_lifecycle::Command;
use std::fmt;

/// The most that a line may hold, without its end.
pub const MAX_LINE_BYTES: usize = 256;

/// A command from an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// A command to the node's lifecycle: `ready`, `drain` or `resume`.
    Lifecycle(Command),
    /// Show the metrics: `show-stat`.
    ShowStat,
    /// Show the nodes that this one knows: `members`.
    Members,
}

/// Why a line is not a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// It holds more than [`MAX_LINE_BYTES`].
    TooLong,
    /// The command is not known.
    Unknown(String),
    /// Its end did not arrive in time.
    ReadTimeout,
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::TooLong => write!(formatter, "a call holds at most {MAX_LINE_BYTES} bytes"),
            CommandError::Unknown(line) => {
                write!(formatter, "unknown call {line:?}; there are ready, show-stat, drain, resume, members")
            }
            CommandError::ReadTimeout => formatter.write_str("the call did not come whole in time"),
        }
    }
}

impl std::error::Error for CommandError {}

/// Collects the pieces of one line.
#[derive(Default)]
pub struct CommandReader {
    line: Vec<u8>,
}

impl CommandReader {
    /// Adds a piece; the command once the line has ended. What follows the line's end is ignored.
    pub fn push(&mut self, piece: &[u8]) -> Option<Result<AdminCommand, CommandError>> {
        let end = piece.iter().position(|&byte| byte == b'\n');
        let piece = &piece[..end.unwrap_or(piece.len())];
        // One byte more, for a carriage return before the line feed.
        if self.line.len() + piece.len() > MAX_LINE_BYTES + 1 {
            return Some(Err(CommandError::TooLong));
        }
        self.line.extend_from_slice(piece);
        end.map(|_| self.parse())
    }

    /// The command of a caller that has closed its sending side; `None` where it sent nothing.
    pub fn finish(&self) -> Option<Result<AdminCommand, CommandError>> {
        if self.line.is_empty() {
            return None;
        }
        Some(self.parse())
    }

    fn parse(&self) -> Result<AdminCommand, CommandError> {
        match self.line.trim_ascii() {
            b"ready" => Ok(AdminCommand::Lifecycle(Command::Ready)),
            b"drain" => Ok(AdminCommand::Lifecycle(Command::Drain)),
            b"resume" => Ok(AdminCommand::Lifecycle(Command::Resume)),
            b"show-stat" => Ok(AdminCommand::ShowStat),
            b"members" => Ok(AdminCommand::Members),
            other => Err(CommandError::Unknown(String::from_utf8_lossy(other).into_owned())),
        }
    }
}
