//! A body read line by line.

use crate::body::Body;
use crate::connection::Connection;
use crate::error::WireError;

/// A body read line by line.
pub struct LineReader {
    body: Body,
    text: Vec<u8>,
    most: usize,
}

impl LineReader {
    /// A reader of lines of at most `most` bytes.
    pub fn new(body: Body, most: usize) -> LineReader {
        LineReader { body, text: Vec::new(), most }
    }

    /// The next line without its end; `None` once the body is complete.
    pub async fn next(&mut self, link: &mut Connection) -> Result<Option<Vec<u8>>, WireError> {
        loop {
            if let Some(end) = self.text.iter().position(|&b| b == b'\n') {
                let mut line: Vec<u8> = self.text.drain(..=end).collect();
                line.truncate(end);
                return Ok(Some(line));
            }
            if self.text.len() > self.most {
                return Err(WireError::BodyTooLarge);
            }
            if !link.read_body_chunk(&mut self.body, &mut self.text).await? {
                let rest = std::mem::take(&mut self.text);
                return Ok(Some(rest).filter(|r| !r.is_empty()));
            }
        }
    }
}
