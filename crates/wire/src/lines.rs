//! Reads a body line by line.

use crate::body::BodyDecoder;
use crate::connection::Connection;
use crate::error::WireError;

/// Reads a body line by line.
pub struct LineReader {
    body: BodyDecoder,
    text: Vec<u8>,
    max_line_bytes: usize,
}

impl LineReader {
    /// A reader of lines of at most `max_line_bytes`.
    pub fn new(body: BodyDecoder, max_line_bytes: usize) -> LineReader {
        LineReader { body, text: Vec::new(), max_line_bytes }
    }

    /// The next line without its end; `None` once the body is complete. The last line may lack its end.
    ///
    /// # Errors
    /// A line is too long, the body's framing is malformed, or the connection ended before the body was
    /// complete.
    pub async fn next(&mut self, connection: &mut Connection) -> Result<Option<Vec<u8>>, WireError> {
        loop {
            if let Some(end) = self.text.iter().position(|&byte| byte == b'\n') {
                let mut line: Vec<u8> = self.text.drain(..=end).collect();
                line.truncate(end);
                return Ok(Some(line));
            }
            if self.text.len() > self.max_line_bytes {
                return Err(WireError::BodyTooLarge);
            }
            if !connection.read_body_chunk(&mut self.body, &mut self.text).await? {
                let last_line = std::mem::take(&mut self.text);
                return Ok(Some(last_line).filter(|line| !line.is_empty()));
            }
        }
    }
}
