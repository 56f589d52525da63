//! The reading end of a body, which may be used while the upload is still in progress.

use crate::body::{ReaderId, SharedBody};
use crate::body_end::BodyReadError;
use crate::body_file::StoredBlock;
use std::rc::Rc;

/// Reads a body from its first byte to its end, on behalf of one attempt.
pub struct RequestBodyReader {
    shared: Rc<SharedBody>,
    id: ReaderId,
    /// The offset in the body of the next byte to read.
    offset: u64,
}

/// The result of a look at the state of the body.
enum ReadStep {
    /// The next piece was copied from memory.
    Copied,
    /// The next piece has to be read from this block of the file.
    ReadFile(StoredBlock),
    /// The next piece has not arrived yet.
    Wait,
    /// The whole body has been read.
    End,
}

impl RequestBodyReader {
    pub(crate) fn new(shared: Rc<SharedBody>, id: ReaderId) -> RequestBodyReader {
        RequestBodyReader { shared, id, offset: 0 }
    }

    /// Appends the next piece, at most a block, to `out`. Waits if no further byte has arrived. Returns false
    /// once the whole body has been read.
    ///
    /// # Errors
    /// The body can't be read to its end. The bytes read so far are not the complete body.
    pub async fn read_next(&mut self, out: &mut Vec<u8>) -> Result<bool, BodyReadError> {
        loop {
            // Listening before the check ensures that no notification between the two is missed.
            let changed = self.shared.changed.listen();
            match self.next_step(out)? {
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

    /// Whether this reader has received bytes that are not stored, so that no other reader can read the
    /// complete body.
    pub fn is_consumer(&self) -> bool {
        self.shared.state.borrow().consumer == Some(self.id)
    }

    fn next_step(&mut self, out: &mut Vec<u8>) -> Result<ReadStep, BodyReadError> {
        let state = &mut *self.shared.state.borrow_mut();
        if let Some(end) = state.end.filter(|end| !end.is_complete()) {
            return Err(BodyReadError::Ended(end));
        }
        if state.consumer == Some(self.id) {
            // By asking for the next piece, the caller shows that it has processed the pieces before.
            self.shared.release_consumed(state, self.offset);
        }
        if self.offset == state.received_bytes {
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
