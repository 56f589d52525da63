//! Reads a body line by line.

use crate::body::BodyDecoder;
use crate::buffer_budget::{BufferReservation, UNRESERVED_BYTES};
use crate::connection::{Connection, PIECE_BYTES};
use crate::error::WireError;

/// Splits the content of a body into lines.
pub struct LineReader {
    decoder: BodyDecoder,
    /// Content that is not part of a returned line yet.
    text: Vec<u8>,
    /// How many bytes of `text` are known to hold no line feed.
    searched: usize,
    max_line_bytes: usize,
    /// The memory of `text` beyond [`UNRESERVED_BYTES`].
    reservation: BufferReservation,
}

impl LineReader {
    /// A reader of the body that `decoder` decodes. `max_line_bytes` limits the length of an incomplete line
    /// that is buffered. The memory of a long line is taken from `reservation`, which holds nothing yet.
    pub fn new(decoder: BodyDecoder, max_line_bytes: usize, reservation: BufferReservation) -> LineReader {
        LineReader { decoder, text: Vec::new(), searched: 0, max_line_bytes, reservation }
    }

    /// Reads the next line, without its line feed. Returns `None` at the end of the body. The last line need
    /// not end with a line feed.
    ///
    /// # Errors
    /// `BodyTooLarge` if an incomplete line exceeds the limit; otherwise as [`Connection::read_body_chunk`].
    pub async fn next(&mut self, connection: &mut Connection) -> Result<Option<Vec<u8>>, WireError> {
        loop {
            if let Some(line) = self.take_line() {
                return Ok(Some(line));
            }
            if self.text.len() > self.max_line_bytes {
                return Err(WireError::BodyTooLarge);
            }
            let max_bytes = self.make_room().await;
            if !connection.read_body_chunk(&mut self.decoder, &mut self.text, max_bytes).await? {
                let last_line = std::mem::take(&mut self.text);
                return Ok(Some(last_line).filter(|line| !line.is_empty()));
            }
        }
    }

    /// Removes the first line, if it is complete.
    fn take_line(&mut self) -> Option<Vec<u8>> {
        let unsearched = &self.text[self.searched..];
        let Some(position) = unsearched.iter().position(|&byte| byte == b'\n') else {
            self.searched = self.text.len();
            return None;
        };
        let end = self.searched + position;
        let mut line: Vec<u8> = self.text.drain(..=end).collect();
        line.truncate(end);
        self.searched = 0;
        self.release_memory();
        Some(line)
    }

    /// Makes room for the next piece, and returns its greatest length. Waits for memory once an incomplete line has
    /// become long.
    async fn make_room(&mut self) -> usize {
        if self.text.len() < UNRESERVED_BYTES {
            return UNRESERVED_BYTES;
        }
        self.reservation.grow_to(self.text.len() + PIECE_BYTES).await;
        if self.text.capacity() < self.text.len() + PIECE_BYTES {
            self.text.reserve_exact(PIECE_BYTES);
        }
        PIECE_BYTES
    }

    /// Releases the memory of a long line that was returned.
    fn release_memory(&mut self) {
        let needed = self.text.len().max(UNRESERVED_BYTES);
        self.text.shrink_to(needed);
        self.reservation.shrink_to(needed - UNRESERVED_BYTES);
    }
}
