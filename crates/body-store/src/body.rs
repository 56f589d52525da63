//! The state of a body, which its writer, its request and its readers share.

use crate::block_buffer::{BLOCK_BYTES, BlockBuffer};
use crate::body_end::{BodyEnd, BodyReadError};
use crate::body_file::{BodyFile, StoredBlock};
use crate::decision::StorageTier;
use crate::plan::{BodyId, StoragePlan};
use crate::resources::{FilePermit, SharedResources};
use event_listener::Event;
use std::cell::{RefCell, RefMut};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// Identifies a reader among those of the same body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReaderId(u64);

/// The bodies that are in use, by their ids. Clones share the same map.
#[derive(Clone, Default)]
pub(crate) struct BodyRegistry(Rc<RefCell<HashMap<BodyId, Weak<SharedBody>>>>);

impl BodyRegistry {
    /// The body, unless its request has ended in the meantime.
    pub(crate) fn find(&self, id: BodyId) -> Option<Rc<SharedBody>> {
        self.0.borrow().get(&id).and_then(Weak::upgrade)
    }
}

/// A body, its state, and the event on which its writer and its readers wait.
pub(crate) struct SharedBody {
    pub(crate) resources: Rc<SharedResources>,
    registry: BodyRegistry,
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
    pub(crate) _permit: FilePermit,
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
        self.end.is_some_and(|end| !end.is_complete())
    }
}

impl SharedBody {
    /// A body of which nothing has arrived, entered in the registry.
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

    /// Makes an id for another reader.
    pub(crate) fn new_reader_id(&self) -> ReaderId {
        let mut state = self.state.borrow_mut();
        state.reader_count += 1;
        ReaderId(state.reader_count)
    }

    /// Wakes the writer and all readers that wait for a change.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn plan(&self) -> RefMut<'_, StoragePlan> {
        self.resources.plan()
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
