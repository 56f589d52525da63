//! A body read line by line.

use crate::body::Body;
use crate::fault::Fault;
use crate::link::Link;

/// A body read line by line.
pub struct Lines {
    body: Body,
    text: Vec<u8>,
    most: usize,
}

impl Lines {
    /// Lines of at most `most` bytes.
    pub fn new(body: Body, most: usize) -> Lines {
        Lines { body, text: Vec::new(), most }
    }

    /// The next line without its end; `None` once the body is complete.
    pub async fn next(&mut self, link: &mut Link) -> Result<Option<Vec<u8>>, Fault> {
        loop {
            if let Some(end) = self.text.iter().position(|&b| b == b'\n') {
                let mut line: Vec<u8> = self.text.drain(..=end).collect();
                line.truncate(end);
                return Ok(Some(line));
            }
            if self.text.len() > self.most {
                return Err(Fault::BodyTooLarge);
            }
            if !link.more(&mut self.body, &mut self.text).await? {
                let rest = std::mem::take(&mut self.text);
                return Ok(Some(rest).filter(|r| !r.is_empty()));
            }
        }
    }
}
