//! The interface of a disk that holds the files of bodies.

use std::io;

/// Creates files for bodies, and reports the free space. Calls may block.
pub trait Disk: Send + Sync {
    /// Creates an empty file, which is deleted when it is dropped.
    ///
    /// # Errors
    /// The I/O error of the operating system.
    fn create_file(&self) -> io::Result<Box<dyn DiskFile>>;

    /// The free space in bytes, without the part that the file system reserves for privileged users.
    ///
    /// # Errors
    /// The I/O error of the operating system.
    fn free_bytes(&self) -> io::Result<u64>;
}

/// A file on a [`Disk`]. Calls may block.
pub trait DiskFile: Send + Sync {
    /// Writes all of `bytes` at `offset`.
    ///
    /// # Errors
    /// The I/O error of the operating system. A part of `bytes` may have been written.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;

    /// Fills `bytes` with the content of the file from `offset` on.
    ///
    /// # Errors
    /// The I/O error of the operating system, or `UnexpectedEof` if the file ends before `bytes` is full.
    fn read_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()>;
}

/// Whether a write failed for lack of space: the file system is full, a quota is used up, or the file has
/// reached the size limit of the process.
pub fn is_disk_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
    )
}
