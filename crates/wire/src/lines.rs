//! Reads a body line by line.

use crate::body::BodyDecoder;
use crate::connection::Connection;
use crate::error::WireError;

/// Splits the content of a body into lines.
pub struct LineReader {
    decoder: BodyDecoder,
    /// Content that is not part of a returned line yet.
    text: Vec<u8>,
    max_line_bytes: usize,
}

impl LineReader {
    /// A reader of the body that `decoder` decodes. `max_line_bytes` limits the length of an incomplete line
    /// that is buffered.
    pub fn new(decoder: BodyDecoder, max_line_bytes: usize) -> LineReader {
        LineReader { decoder, text: Vec::new(), max_line_bytes }
    }

    /// Reads the next line, without its line feed. Returns `None` at the end of the body. The last line need
    /// not end with a line feed.
    ///
    /// # Errors
    /// `BodyTooLarge` if an incomplete line exceeds the limit; otherwise as [`Connection::read_body_chunk`].
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
            if !connection.read_body_chunk(&mut self.decoder, &mut self.text).await? {
                let last_line = std::mem::take(&mut self.text);
                return Ok(Some(last_line).filter(|line| !line.is_empty()));
            }
        }
    }
}
