//! The file of a body: blocks with a checksum each, read and written on the pool's threads.

use crate::body_end::BodyReadError;
use crate::disk::DiskFile;
use crate::resources::SharedResources;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::warn;

/// Bounds the wait for a block. The attempt that reads has a deadline of its own, which is shorter.
const READ_TIMEOUT: Duration = Duration::from_secs(3_600);

/// An open file, which is closed on a thread of its own.
pub(crate) struct BodyFile {
    /// `None` only while it is being dropped.
    file: Option<Box<dyn DiskFile>>,
}

impl BodyFile {
    pub(crate) fn new(file: Box<dyn DiskFile>) -> BodyFile {
        BodyFile { file: Some(file) }
    }

    fn open_file(&self) -> io::Result<&dyn DiskFile> {
        self.file.as_deref().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Writes a block, and returns its checksum. Blocks the thread.
    pub(crate) fn write_block(&self, block: &[u8], offset: u64) -> io::Result<u32> {
        let checksum = crc32fast::hash(block);
        self.open_file()?.write_at(block, offset)?;
        Ok(checksum)
    }

    /// Reads a block. Blocks the thread.
    fn read_block(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut block = vec![0; length];
        self.open_file()?.read_at(&mut block, offset)?;
        Ok(block)
    }
}

impl Drop for BodyFile {
    fn drop(&mut self) {
        // The operating system frees the space of a large file in the call that closes it, which may take a
        // while.
        if let Some(file) = self.file.take() {
            blocking::unblock(move || drop(file)).detach();
        }
    }
}

/// A block in a file, with the checksum that it had when it was written.
pub(crate) struct StoredBlock {
    pub(crate) file: Arc<BodyFile>,
    pub(crate) offset: u64,
    pub(crate) length: usize,
    pub(crate) checksum: u32,
}

impl StoredBlock {
    /// The offset in the body of the first byte after the block.
    pub(crate) fn end(&self) -> u64 {
        self.offset + self.length as u64
    }

    /// Reads the block and verifies its checksum.
    ///
    /// # Errors
    /// `Corrupt` if the checksum differs, `Failed` if the block can't be read.
    pub(crate) async fn read(&self, resources: &SharedResources) -> Result<Vec<u8>, BodyReadError> {
        let (file, offset, length) = (self.file.clone(), self.offset, self.length);
        let call = move || {
            let block = file.read_block(offset, length)?;
            Ok::<_, io::Error>((crc32fast::hash(&block), block))
        };
        let deadline = Instant::now() + READ_TIMEOUT;
        let completed = resources.pool.run(deadline, call).await.map_err(|_| BodyReadError::Failed)?;
        match completed.value {
            Ok((checksum, block)) if checksum == self.checksum => Ok(block),
            Ok(_) => {
                resources.counters.corrupt_blocks.increment();
                warn!(offset, "stored body corrupt");
                Err(BodyReadError::Corrupt)
            }
            Err(error) => {
                resources.counters.unreadable_blocks.increment();
                warn!(offset, %error, "stored body unreadable");
                Err(BodyReadError::Failed)
            }
        }
    }
}
