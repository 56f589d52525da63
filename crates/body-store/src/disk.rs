//! What the store needs of a disk: files without a name, and the free space.

use std::io;

/// A place where files can be created. Calls may block.
pub trait Disk: Send + Sync {
    /// Creates an empty file that is deleted when it is dropped.
    ///
    /// # Errors
    /// Those of the operating system.
    fn create_file(&self) -> io::Result<Box<dyn DiskFile>>;

    /// The bytes that an unprivileged user may still write.
    ///
    /// # Errors
    /// Those of the operating system.
    fn free_bytes(&self) -> io::Result<u64>;
}

/// A file on a [`Disk`]. Calls may block.
pub trait DiskFile: Send + Sync {
    /// Writes all of `bytes` at `offset`.
    ///
    /// # Errors
    /// Those of the operating system; a part may have been written then.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;

    /// Fills `bytes` from `offset` on.
    ///
    /// # Errors
    /// Those of the operating system; `UnexpectedEof` if the file is shorter.
    fn read_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()>;
}

/// Whether an error says that there is no room: the file system's, a quota's, or the process's own limit on a
/// file.
pub fn is_disk_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
    )
}
