//! The file of a body: a sequence of blocks, whose checksums are kept in memory. Blocks are read and written
//! by blocking calls on the threads of the pool.

use crate::body_end::BodyReadError;
use crate::disk::DiskFile;
use crate::resources::SharedResources;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::warn;

/// The timeout for reading a block, including the wait for a thread. Not reached in practice: the attempt
/// that reads the body ends at its own deadline, which is earlier.
const READ_TIMEOUT: Duration = Duration::from_secs(3_600);

/// The open file of a body. Dropping it closes the file on another thread.
pub(crate) struct BodyFile {
    /// `None` only while the value is being dropped.
    file: Option<Box<dyn DiskFile>>,
}

impl BodyFile {
    pub(crate) fn new(file: Box<dyn DiskFile>) -> BodyFile {
        BodyFile { file: Some(file) }
    }

    fn file(&self) -> io::Result<&dyn DiskFile> {
        self.file.as_deref().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Writes a block, and returns its checksum. Blocks the calling thread.
    pub(crate) fn write_block(&self, block: &[u8], offset: u64) -> io::Result<u32> {
        let checksum = crc32fast::hash(block);
        self.file()?.write_at(block, offset)?;
        Ok(checksum)
    }

    /// Reads `length` bytes at `offset`. Blocks the calling thread.
    fn read_block(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut block = vec![0; length];
        self.file()?.read_at(&mut block, offset)?;
        Ok(block)
    }
}

impl Drop for BodyFile {
    fn drop(&mut self) {
        // The file has no name, so the call that closes it also frees its space, which takes long for a large
        // file. That must not block the executor.
        if let Some(file) = self.file.take() {
            blocking::unblock(move || drop(file)).detach();
        }
    }
}

/// The place of a block in a file, with the checksum computed when the block was written.
pub(crate) struct StoredBlock {
    pub(crate) file: Arc<BodyFile>,
    pub(crate) offset: u64,
    pub(crate) length: usize,
    pub(crate) checksum: u32,
}

impl StoredBlock {
    /// The offset of the first byte after the block, which is the same in the file and in the body.
    pub(crate) fn end(&self) -> u64 {
        self.offset + self.length as u64
    }

    /// Reads the block and verifies its checksum.
    ///
    /// # Errors
    /// [`BodyReadError::Corrupt`] if the checksum differs, [`BodyReadError::Failed`] if the read fails or
    /// times out.
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
