//! Reads a body from its first byte on, also while it is still being uploaded.

use crate::body::{ReaderId, SharedBody};
use crate::body_end::BodyReadError;
use crate::body_file::StoredBlock;
use std::rc::Rc;

/// Reads a body, for one attempt.
pub struct RequestBodyReader {
    shared: Rc<SharedBody>,
    id: ReaderId,
    /// The offset of the next byte to read.
    offset: u64,
}

/// What a reader has to do next.
enum ReadStep {
    /// A piece was copied from memory.
    Copied,
    /// The next piece has to be read from the file.
    ReadFile(StoredBlock),
    /// The next piece has not arrived yet.
    Wait,
    /// All of the body was read.
    End,
}

impl RequestBodyReader {
    pub(crate) fn new(shared: Rc<SharedBody>, id: ReaderId) -> RequestBodyReader {
        RequestBodyReader { shared, id, offset: 0 }
    }

    /// Appends the next piece, at most a block, to `out`, and waits for it if it has not arrived. Returns
    /// false once all of the body was read.
    ///
    /// # Errors
    /// The body can't be read to its end; what was read before must not be taken for a complete body.
    pub async fn read_next(&mut self, out: &mut Vec<u8>) -> Result<bool, BodyReadError> {
        loop {
            // Listens before it looks, so that no change in between is missed.
            let changed = self.shared.changed.listen();
            match self.step(out)? {
                ReadStep::Copied => return Ok(true),
                ReadStep::End => return Ok(false),
                ReadStep::Wait => changed.await,
                ReadStep::ReadFile(stored) => {
                    let block = stored.read(&self.shared.resources).await?;
                    let already_read = (self.offset - stored.offset) as usize;
                    out.extend_from_slice(&block[already_read..]);
                    self.offset = stored.end();
                    return Ok(true);
                }
            }
        }
    }

    /// Whether this reader was given bytes that are not stored.
    pub fn is_consumer(&self) -> bool {
        self.shared.state.borrow().consumer == Some(self.id)
    }

    fn step(&mut self, out: &mut Vec<u8>) -> Result<ReadStep, BodyReadError> {
        let state = &mut *self.shared.state.borrow_mut();
        if let Some(end) = state.end.filter(|end| !end.is_complete()) {
            return Err(BodyReadError::Ended(end));
        }
        if state.consumer == Some(self.id) {
            // A reader that asks for more has used all that it was given before.
            self.shared.release_consumed(state, self.offset);
        }
        if self.offset == state.received {
            return Ok(if state.end.is_some() { ReadStep::End } else { ReadStep::Wait });
        }
        if state.not_stored_from.is_some_and(|from| self.offset >= from) {
            self.shared.consume(state, self.id, self.offset)?;
        }
        if self.offset < state.memory.start() {
            let stored = state.stored_block(self.offset).ok_or(BodyReadError::Consumed)?;
            return Ok(ReadStep::ReadFile(stored));
        }
        let piece = state.next_piece(self.offset);
        out.extend_from_slice(piece);
        self.offset += piece.len() as u64;
        Ok(ReadStep::Copied)
    }
}
