//! A body as its writer, its request and its readers share it.

use crate::block_buffer::{BLOCK_BYTES, BlockBuffer};
use crate::body_end::{BodyEnd, BodyReadError};
use crate::body_file::{BodyFile, StoredBlock};
use crate::plan::{BodyId, Plan, StorageTier};
use crate::reader::StoredBodyReader;
use crate::store::{BodyStore, Permit};
use event_listener::Event;
use std::cell::{RefCell, RefMut};
use std::rc::Rc;
use std::sync::Arc;

/// Identifies a reader among those of the same body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReaderId(u64);

/// A body, its state, and the event on which its writer and its readers wait.
pub(crate) struct SharedBody {
    pub(crate) store: Rc<BodyStore>,
    pub(crate) id: BodyId,
    pub(crate) declared_length: Option<u64>,
    pub(crate) state: RefCell<BodyState>,
    pub(crate) changed: Event,
}

/// What has arrived of a body, and where it is.
#[derive(Default)]
pub(crate) struct BodyState {
    pub(crate) tier: StorageTier,
    /// Bytes that have arrived.
    pub(crate) received: u64,
    /// What is in memory: all after the part in the file.
    pub(crate) memory: BlockBuffer,
    pub(crate) file: Option<OpenFile>,
    /// The bytes from the start of the body that were written to the file.
    pub(crate) file_bytes: u64,
    /// The checksum of each block in the file.
    pub(crate) checksums: Vec<u32>,
    /// The offset of the first byte that is not stored.
    pub(crate) not_stored_from: Option<u64>,
    /// The reader that was given bytes that are not stored: no other can read the complete body.
    pub(crate) consumer: Option<ReaderId>,
    reader_count: u64,
    pub(crate) end: Option<BodyEnd>,
}

/// The file of a body, with its descriptor's share of the node's budget.
pub(crate) struct OpenFile {
    pub(crate) file: Arc<BodyFile>,
    pub(crate) _permit: Permit,
}

/// A block in memory that can be written to the file.
pub(crate) struct UnwrittenBlock {
    pub(crate) file: Arc<BodyFile>,
    pub(crate) offset: u64,
    pub(crate) block: Arc<Vec<u8>>,
}

impl BodyState {
    /// Appends bytes that have arrived.
    pub(crate) fn append(&mut self, bytes: &[u8], declared_length: Option<u64>) {
        let expected = declared_length.map(|length| length.saturating_sub(self.received));
        self.memory.append(bytes, expected);
        self.received += bytes.len() as u64;
    }

    /// The next block to write to the file, if there is a file and a full block, or a partial one to be
    /// included.
    pub(crate) fn next_unwritten_block(&self, include_partial: bool) -> Option<UnwrittenBlock> {
        let file = &self.file.as_ref()?.file;
        let block = self.memory.first()?;
        if block.len() < BLOCK_BYTES && !include_partial || self.has_failed() {
            return None;
        }
        Some(UnwrittenBlock { file: file.clone(), offset: self.file_bytes, block: block.clone() })
    }

    /// Removes the first block from memory once it is in the file. Does nothing if the file was dropped
    /// meanwhile.
    pub(crate) fn mark_written(&mut self, checksum: u32) {
        if self.file.is_none() {
            return;
        }
        if let Some(length) = self.memory.remove_first() {
            self.file_bytes += length;
            self.checksums.push(checksum);
        }
    }

    /// The block in the file that holds the byte at `offset`, which is before the part in memory.
    pub(crate) fn stored_block(&self, offset: u64) -> Option<StoredBlock> {
        let file = self.file.as_ref()?.file.clone();
        let index = offset / BLOCK_BYTES as u64;
        let offset = index * BLOCK_BYTES as u64;
        let length = (self.file_bytes - offset).min(BLOCK_BYTES as u64) as usize;
        Some(StoredBlock { file, offset, length, checksum: self.checksums[index as usize] })
    }

    /// The next bytes in memory from `offset` on, at most a block. They don't extend into what is not stored:
    /// that may go to one reader only.
    pub(crate) fn next_piece(&self, offset: u64) -> &[u8] {
        let piece = self.memory.block_from(offset);
        match self.not_stored_from {
            Some(from) if offset < from => &piece[..piece.len().min((from - offset) as usize)],
            _ => piece,
        }
    }

    /// Whether the body ended before all of it had arrived.
    fn has_failed(&self) -> bool {
        self.end.is_some_and(|end| !end.is_whole())
    }
}

impl SharedBody {
    pub(crate) fn new(store: Rc<BodyStore>, id: BodyId, declared_length: Option<u64>) -> SharedBody {
        SharedBody { store, id, declared_length, state: RefCell::default(), changed: Event::new() }
    }

    /// Wakes the writer and all readers that wait for a change.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn plan(&self) -> RefMut<'_, Plan> {
        self.store.plan.borrow_mut()
    }

    /// Releases the memory before `offset`, after the consumer has read it.
    pub(crate) fn release_consumed(&self, state: &mut BodyState, offset: u64) {
        let released = state.memory.remove_before(offset, state.end.is_some());
        if released > 0 {
            self.plan().release_memory(self.id, released);
            self.notify();
        }
    }

    /// Lets a reader consume what is not stored from `offset` on. From here on no other reader can have the
    /// complete body, so what was stored of it is released.
    ///
    /// # Errors
    /// Another reader has consumed it.
    pub(crate) fn consume(
        &self,
        state: &mut BodyState,
        reader: ReaderId,
        offset: u64,
    ) -> Result<(), BodyReadError> {
        if let Some(consumer) = state.consumer {
            return if consumer == reader { Ok(()) } else { Err(BodyReadError::PassedOn) };
        }
        state.consumer = Some(reader);
        state.file = None;
        let released = state.memory.remove_before(offset, state.end.is_some());
        let mut plan = self.plan();
        plan.release_file(self.id);
        plan.release_memory(self.id, released);
        self.notify();
        Ok(())
    }
}

impl Drop for SharedBody {
    fn drop(&mut self) {
        self.store.bodies.borrow_mut().remove(&self.id);
        self.plan().remove(self.id);
    }
}

/// A body as a request holds it. Its storage is released when the request, the writer and all readers have
/// dropped it.
#[derive(Clone)]
pub struct RequestBody(Rc<SharedBody>);

impl RequestBody {
    pub(crate) fn new(shared: Rc<SharedBody>) -> RequestBody {
        RequestBody(shared)
    }

    /// Its length, if that is known yet.
    pub fn length(&self) -> Option<u64> {
        if self.0.declared_length.is_some() {
            return self.0.declared_length;
        }
        let state = self.0.state.borrow();
        let is_complete = state.end.is_some_and(BodyEnd::is_whole);
        is_complete.then_some(state.received)
    }

    /// Where it is stored.
    pub fn tier(&self) -> StorageTier {
        self.0.state.borrow().tier
    }

    /// How its upload ended; `None` while it lasts.
    pub fn end(&self) -> Option<BodyEnd> {
        self.0.state.borrow().end
    }

    /// Whether bytes that are not stored were given to a reader: then no other attempt can have the complete
    /// body.
    pub fn is_consumed(&self) -> bool {
        self.0.state.borrow().consumer.is_some()
    }

    /// A reader that begins at the first byte.
    pub fn reader(&self) -> StoredBodyReader {
        let mut state = self.0.state.borrow_mut();
        state.reader_count += 1;
        let id = ReaderId(state.reader_count);
        drop(state);
        StoredBodyReader::new(self.0.clone(), id)
    }
}
