//! The state of one body, shared by its writer, its request and its readers.

use crate::block_buffer::{BLOCK_BYTES, BlockBuffer};
use crate::body_end::{BodyEnd, BodyReadError};
use crate::body_file::{BodyFile, StoredBlock};
use crate::decision::StorageTier;
use crate::plan::{BodyId, StoragePlan};
use crate::resources::{FilePermit, SharedResources};
use event_listener::Event;
use sorrelhaven_wire::BufferReservation;
use std::cell::{RefCell, RefMut};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// The most bytes in memory that are read at a time. The reader holds a copy for as long as its worker takes to read
/// it.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Identifies a reader among the readers of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReaderId(u64);

/// All bodies that are in use, by id. Clones share one map.
#[derive(Clone, Default)]
pub(crate) struct BodyRegistry(Rc<RefCell<HashMap<BodyId, Weak<SharedBody>>>>);

impl BodyRegistry {
    /// The body with this id, unless it has been dropped.
    pub(crate) fn find(&self, id: BodyId) -> Option<Rc<SharedBody>> {
        self.0.borrow().get(&id).and_then(Weak::upgrade)
    }
}

/// One body, with everything that its writer, its request and its readers share. Dropping it releases what
/// the body holds in the plan.
pub(crate) struct SharedBody {
    pub(crate) resources: Rc<SharedResources>,
    registry: BodyRegistry,
    pub(crate) id: BodyId,
    pub(crate) declared_length: Option<u64>,
    pub(crate) state: RefCell<BodyState>,
    /// Notified when bytes have arrived, bytes were consumed, or the upload has ended; the writer and the
    /// readers wait for it.
    pub(crate) changed: Event,
}

/// The bytes of a body that have arrived, and where they are stored.
#[derive(Default)]
pub(crate) struct BodyState {
    pub(crate) tier: StorageTier,
    pub(crate) received_bytes: u64,
    /// The bytes in memory: all that follow the part in the file and have not been released.
    pub(crate) memory: BlockBuffer,
    pub(crate) file: Option<OpenFile>,
    /// The reservation for bytes in memory that the memory budget does not count; `None` while it counts all.
    pub(crate) window: Option<BufferReservation>,
    /// The number of bytes, from the start of the body, that were written to the file.
    pub(crate) file_bytes: u64,
    /// The CRC-32 of each block in the file, in the order of the blocks.
    pub(crate) checksums: Vec<u32>,
    /// The offset of the first byte that is not stored; `None` while all bytes are stored.
    pub(crate) not_stored_from: Option<u64>,
    /// The reader that has received bytes that are not stored. No other reader can read the complete body.
    pub(crate) consumer: Option<ReaderId>,
    reader_count: u64,
    /// How the upload ended; `None` while it is in progress.
    pub(crate) end: Option<BodyEnd>,
}

/// The file of a body, with the permit that counts its descriptor against the node's budget.
pub(crate) struct OpenFile {
    pub(crate) file: Arc<BodyFile>,
    pub(crate) _permit: FilePermit,
}

/// A block in memory that is to be written to the file at `offset`.
pub(crate) struct UnwrittenBlock {
    pub(crate) file: Arc<BodyFile>,
    pub(crate) offset: u64,
    pub(crate) block: Arc<Vec<u8>>,
}

impl BodyState {
    /// Appends bytes that have arrived to the part in memory.
    pub(crate) fn append(&mut self, bytes: &[u8], declared_length: Option<u64>) {
        let remaining = declared_length.map(|length| length.saturating_sub(self.received_bytes));
        self.memory.append(bytes, remaining);
        self.received_bytes += bytes.len() as u64;
    }

    /// The next block to write to the file. `None` if there is no file, the upload has failed, or no block is
    /// left; a block that is not full counts only with `include_partial`.
    pub(crate) fn next_unwritten_block(&self, include_partial: bool) -> Option<UnwrittenBlock> {
        let file = &self.file.as_ref()?.file;
        let block = self.memory.first()?;
        if block.len() < BLOCK_BYTES && !include_partial || self.has_failed() {
            return None;
        }
        Some(UnwrittenBlock { file: file.clone(), offset: self.file_bytes, block: block.clone() })
    }

    /// Removes the first block from memory after it was written to the file. Does nothing if the file was
    /// dropped during the write.
    pub(crate) fn mark_written(&mut self, checksum: u32) {
        if self.file.is_none() {
            return;
        }
        if let Some(length) = self.memory.remove_first() {
            self.file_bytes += length;
            self.checksums.push(checksum);
        }
    }

    /// The block in the file that holds the byte at `offset`, which must be before the part in memory. `None`
    /// if the file was released, or never existed.
    pub(crate) fn stored_block(&self, offset: u64) -> Option<StoredBlock> {
        let file = self.file.as_ref()?.file.clone();
        let index = offset / BLOCK_BYTES as u64;
        let offset = index * BLOCK_BYTES as u64;
        let length = (self.file_bytes - offset).min(BLOCK_BYTES as u64) as usize;
        Some(StoredBlock { file, offset, length, checksum: self.checksums[index as usize] })
    }

    /// The bytes in memory from `offset` on, at most [`MAX_READ_BYTES`]. A piece that begins with stored bytes ends
    /// where they end, since the bytes after that may go to a single reader only.
    pub(crate) fn next_piece(&self, offset: u64) -> &[u8] {
        let piece = self.memory.block_from(offset);
        let piece = &piece[..piece.len().min(MAX_READ_BYTES)];
        match self.not_stored_from {
            Some(from) if offset < from => &piece[..piece.len().min((from - offset) as usize)],
            _ => piece,
        }
    }

    /// Whether the upload has ended before the whole body had arrived.
    fn has_failed(&self) -> bool {
        self.end.is_some_and(|end| !end.is_complete())
    }
}

impl SharedBody {
    /// Creates a body of which no byte has arrived, and adds it to the registry.
    pub(crate) fn new(
        resources: &Rc<SharedResources>,
        registry: &BodyRegistry,
        id: BodyId,
        declared_length: Option<u64>,
    ) -> Rc<SharedBody> {
        let shared = Rc::new(SharedBody {
            resources: resources.clone(),
            registry: registry.clone(),
            id,
            declared_length,
            state: RefCell::default(),
            changed: Event::new(),
        });
        registry.0.borrow_mut().insert(id, Rc::downgrade(&shared));
        shared
    }

    pub(crate) fn new_reader_id(&self) -> ReaderId {
        let mut state = self.state.borrow_mut();
        state.reader_count += 1;
        ReaderId(state.reader_count)
    }

    /// Wakes the writer and all readers that wait for [`SharedBody::changed`].
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn plan(&self) -> RefMut<'_, StoragePlan> {
        self.resources.plan()
    }

    /// Releases the blocks in memory before `offset`, which the consumer has read, and wakes the writer if it
    /// waits for room.
    pub(crate) fn release_consumed(&self, state: &mut BodyState, offset: u64) {
        let released = state.memory.remove_before(offset, state.end.is_some());
        if released > 0 {
            self.plan().release_memory(self.id, released);
            self.notify();
        }
    }

    /// Makes `reader` the consumer: the only reader of the bytes that are not stored, of which it is about to
    /// read the one at `offset`. No other reader can read the complete body after that, so the bytes stored
    /// before `offset` are released.
    ///
    /// # Errors
    /// Another reader is the consumer already.
    pub(crate) fn consume(
        &self,
        state: &mut BodyState,
        reader: ReaderId,
        offset: u64,
    ) -> Result<(), BodyReadError> {
        if let Some(consumer) = state.consumer {
            return if consumer == reader { Ok(()) } else { Err(BodyReadError::Consumed) };
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
        self.registry.0.borrow_mut().remove(&self.id);
        self.plan().remove(self.id);
    }
}
