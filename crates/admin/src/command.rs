//! Parses a line, which may arrive in several pieces, as a command.

use sorrelhaven_lifecycle::Command;
use std::fmt;

/// The longest permitted line, in bytes without the line end.
pub const MAX_LINE_BYTES: usize = 256;

/// A command from an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// A command to the node's lifecycle: `ready`, `drain` or `resume`.
    Lifecycle(Command),
    /// Show the node's metrics: `show-stat`.
    ShowStat,
    /// Show the membership table of this node: `members`.
    Members,
}

/// Why no command could be read. The texts are part of the reply to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// The line, which is quoted here in ASCII with escapes, is not a known command.
    Unknown(String),
    /// The line was incomplete at the read timeout.
    ReadTimeout,
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::TooLong => write!(formatter, "a call holds at most {MAX_LINE_BYTES} bytes"),
            CommandError::Unknown(line) => {
                write!(
                    formatter,
                    "unknown call \"{line}\"; there are ready, show-stat, drain, resume, members"
                )
            }
            CommandError::ReadTimeout => formatter.write_str("the call did not come whole in time"),
        }
    }
}

impl std::error::Error for CommandError {}

/// Collects the pieces of one line and parses it at its end.
#[derive(Default)]
pub struct CommandReader {
    line: Vec<u8>,
}

impl CommandReader {
    /// Adds a piece of the line. Returns the command, or why the line is not a command, as soon as the line
    /// has ended or is too long; `None` before. Bytes after the line end are ignored.
    pub fn push(&mut self, piece: &[u8]) -> Option<Result<AdminCommand, CommandError>> {
        let end = piece.iter().position(|&byte| byte == b'\n');
        let piece = &piece[..end.unwrap_or(piece.len())];
        // Permits one byte more, for a carriage return before the line feed.
        if self.line.len() + piece.len() > MAX_LINE_BYTES + 1 {
            return Some(Err(CommandError::TooLong));
        }
        self.line.extend_from_slice(piece);
        end.map(|_| self.parse())
    }

    /// Parses a line that ends because the client has closed its sending side; `None` if it has sent nothing.
    pub fn finish(&self) -> Option<Result<AdminCommand, CommandError>> {
        if self.line.is_empty() {
            return None;
        }
        Some(self.parse())
    }

    fn parse(&self) -> Result<AdminCommand, CommandError> {
        match trim_white_space(&self.line) {
            b"ready" => Ok(AdminCommand::Lifecycle(Command::Ready)),
            b"drain" => Ok(AdminCommand::Lifecycle(Command::Drain)),
            b"resume" => Ok(AdminCommand::Lifecycle(Command::Resume)),
            b"show-stat" => Ok(AdminCommand::ShowStat),
            b"members" => Ok(AdminCommand::Members),
            other => Err(CommandError::Unknown(other.escape_ascii().to_string())),
        }
    }
}

/// `line` without the spaces and tabs around it, and without the carriage return of its line end.
fn trim_white_space(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let is_text = |byte: &u8| !matches!(byte, b' ' | b'\t');
    let begin = line.iter().position(is_text).unwrap_or(line.len());
    let end = line.iter().rposition(is_text).map_or(begin, |last| last + 1);
    &line[begin..end]
}
