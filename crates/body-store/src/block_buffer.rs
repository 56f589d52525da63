//! The part of a body that is in memory, as a queue of blocks.

use std::collections::VecDeque;
use std::sync::Arc;

/// The bytes of a block: the unit of file writes and reads, of their checksums, and of what a reader returns.
pub const BLOCK_BYTES: usize = 64 * 1024;

/// Consecutive bytes of a body from [`BlockBuffer::start`] on. All blocks but the last are full.
#[derive(Default)]
pub(crate) struct BlockBuffer {
    /// Shared with the thread that writes a block to the file.
    blocks: VecDeque<Arc<Vec<u8>>>,
    start: u64,
}

impl BlockBuffer {
    /// The offset in the body of the first byte of the buffer.
    pub(crate) fn start(&self) -> u64 {
        self.start
    }

    /// Appends bytes. `expected` is how many bytes of the body are still to come, these included, if its
    /// length is known: then no more memory is allocated than it needs.
    pub(crate) fn append(&mut self, mut bytes: &[u8], mut expected: Option<u64>) {
        while !bytes.is_empty() {
            let room = self.room_in_last_block(bytes.len(), expected);
            let (head, rest) = bytes.split_at(room.min(bytes.len()));
            if let Some(block) = self.blocks.back_mut() {
                Arc::make_mut(block).extend_from_slice(head);
            }
            expected = expected.map(|expected| expected.saturating_sub(head.len() as u64));
            bytes = rest;
        }
    }

    /// The bytes that the last block can still take; adds a block if that is full.
    fn room_in_last_block(&mut self, bytes: usize, expected: Option<u64>) -> usize {
        if let Some(block) = self.blocks.back()
            && block.len() < BLOCK_BYTES
        {
            return BLOCK_BYTES - block.len();
        }
        let expected = expected.unwrap_or(bytes as u64);
        let capacity = expected.clamp(bytes.min(BLOCK_BYTES) as u64, BLOCK_BYTES as u64);
        self.blocks.push_back(Arc::new(Vec::with_capacity(capacity as usize)));
        BLOCK_BYTES
    }

    /// The first block.
    pub(crate) fn first(&self) -> Option<&Arc<Vec<u8>>> {
        self.blocks.front()
    }

    /// Removes the first block, and returns its length.
    pub(crate) fn remove_first(&mut self) -> Option<u64> {
        let block = self.blocks.pop_front()?;
        let length = block.len() as u64;
        self.start += length;
        Some(length)
    }

    /// Removes the blocks that end at or before `offset`, and returns their length. A block that is not full
    /// may still grow, and is removed only if `is_complete`.
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

    /// Drops all blocks.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
    }

    /// The bytes from `offset`, which is not before the start, to the end of its block.
    pub(crate) fn block_from(&self, offset: u64) -> &[u8] {
        let position = (offset - self.start) as usize;
        let block = self.blocks.get(position / BLOCK_BYTES);
        block.map_or(&[], |block| &block[(position % BLOCK_BYTES).min(block.len())..])
    }
}
