//! The part of a body that is in memory: a queue of blocks.

use std::collections::VecDeque;
use std::sync::Arc;

/// The size of a full block in bytes. Blocks are the unit of file writes, file reads and checksums, and a
/// reader returns at most one block at a time.
pub const BLOCK_BYTES: usize = 64 * 1024;

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
    /// length is known. It bounds the capacity of new blocks, so that a short body does not allocate a full
    /// block.
    pub(crate) fn append(&mut self, mut bytes: &[u8], mut remaining: Option<u64>) {
        while !bytes.is_empty() {
            let room = self.room_in_last_block(bytes.len(), remaining);
            let (head, rest) = bytes.split_at(room.min(bytes.len()));
            if let Some(block) = self.blocks.back_mut() {
                Arc::make_mut(block).extend_from_slice(head);
            }
            remaining = remaining.map(|remaining| remaining.saturating_sub(head.len() as u64));
            bytes = rest;
        }
    }

    /// The number of bytes that fit into the last block. Adds a block if there is none or the last is full.
    fn room_in_last_block(&mut self, bytes: usize, remaining: Option<u64>) -> usize {
        if let Some(block) = self.blocks.back()
            && block.len() < BLOCK_BYTES
        {
            return BLOCK_BYTES - block.len();
        }
        let remaining = remaining.unwrap_or(bytes as u64);
        let capacity = remaining.clamp(bytes.min(BLOCK_BYTES) as u64, BLOCK_BYTES as u64);
        self.blocks.push_back(Arc::new(Vec::with_capacity(capacity as usize)));
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
