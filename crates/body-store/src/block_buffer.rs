//! The part of a body that is in memory: a queue of blocks.

use std::collections::VecDeque;
use std::sync::Arc;

/// The size of a full block in bytes. Blocks are the unit of file writes, file reads and checksums, and a
/// reader returns at most one block at a time.
pub const BLOCK_BYTES: usize = 64 * 1024;

/// Unless the end of the body is closer, the capacity of a block grows by at least this many bytes: a body of which
/// only a part arrives must not occupy the memory of a whole block.
const CAPACITY_STEP_BYTES: usize = 8 * 1024;

/// Consecutive bytes of a body, beginning at the offset [`BlockBuffer::start`]. All blocks but the last are
/// full.
#[derive(Default)]
pub(crate) struct BlockBuffer {
    /// Reference-counted, since a thread of the pool may be writing a block to the file.
    blocks: VecDeque<Arc<Vec<u8>>>,
    start: u64,
}

impl BlockBuffer {
    /// The offset in the body at which the buffer begins.
    pub(crate) fn start(&self) -> u64 {
        self.start
    }

    /// Appends bytes. `remaining` is the number of bytes up to the end of the body, these included, if the
    /// length is known: no capacity is allocated beyond it.
    pub(crate) fn append(&mut self, mut bytes: &[u8], mut remaining: Option<u64>) {
        while !bytes.is_empty() {
            let room = self.room_in_last_block();
            let (head, rest) = bytes.split_at(room.min(bytes.len()));
            if let Some(block) = self.blocks.back_mut() {
                let block = Arc::make_mut(block);
                reserve(block, head.len(), remaining);
                block.extend_from_slice(head);
            }
            remaining = remaining.map(|remaining| remaining.saturating_sub(head.len() as u64));
            bytes = rest;
        }
    }

    /// The number of bytes that fit into the last block. Adds a block if there is none or the last is full.
    fn room_in_last_block(&mut self) -> usize {
        if let Some(block) = self.blocks.back()
            && block.len() < BLOCK_BYTES
        {
            return BLOCK_BYTES - block.len();
        }
        self.blocks.push_back(Arc::default());
        BLOCK_BYTES
    }

    pub(crate) fn first(&self) -> Option<&Arc<Vec<u8>>> {
        self.blocks.front()
    }

    /// Removes the first block, and returns its length in bytes.
    pub(crate) fn remove_first(&mut self) -> Option<u64> {
        let block = self.blocks.pop_front()?;
        let length = block.len() as u64;
        self.start += length;
        Some(length)
    }

    /// Removes the blocks that end at or before `offset`, and returns the number of removed bytes. A block
    /// that is not full may still grow until the upload has ended, so it is removed only if `is_complete`.
    pub(crate) fn remove_before(&mut self, offset: u64, is_complete: bool) -> u64 {
        let mut removed = 0;
        while let Some(block) = self.blocks.front()
            && self.start + block.len() as u64 <= offset
            && (block.len() == BLOCK_BYTES || is_complete)
        {
            removed += self.remove_first().unwrap_or(0);
        }
        removed
    }

    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
    }

    /// The bytes from `offset` to the end of the block that holds it. `offset` must not be before the start
    /// of the buffer.
    pub(crate) fn block_from(&self, offset: u64) -> &[u8] {
        let position = (offset - self.start) as usize;
        let block = self.blocks.get(position / BLOCK_BYTES);
        block.map_or(&[], |block| &block[(position % BLOCK_BYTES).min(block.len())..])
    }
}

/// Reserves capacity for `additional` bytes of a block. `remaining`: the number of bytes up to the end of the body.
fn reserve(block: &mut Vec<u8>, additional: usize, remaining: Option<u64>) {
    if block.capacity() - block.len() >= additional {
        return;
    }
    let to_end = remaining.and_then(|remaining| usize::try_from(remaining).ok()).unwrap_or(usize::MAX);
    let to_block_end = BLOCK_BYTES - block.len();
    block.reserve_exact(additional.max(CAPACITY_STEP_BYTES.min(to_end).min(to_block_end)));
}
