//! The directory for bodies that the operators have configured (`bodies.files.directory`).
//!
//! A file is created under a temporary name and unlinked at once, while it stays open. So the operating
//! system frees its space however the process ends, and no partial body is left behind. Only a crash between
//! the two calls leaves a named file, which the next start of the same node deletes. Calls may block, so they
//! belong on a thread pool.

use crate::disk::{Disk, DiskFile, is_disk_full};
use rustix::fs::{self, AtFlags, Mode, OFlags};
use rustix::io::Errno;
use std::fmt;
use std::fs::File;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Component, Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// The size of the test write that checks whether the directory is writable: one memory page.
const TEST_WRITE_BYTES: usize = 4096;
const ROOT_UID: u32 = 0;

/// Why a directory can't be used for bodies. Displayed on one line for operators: the node does not start, or
/// a reload is rejected.
#[derive(Debug)]
pub struct DirectoryError {
    path: PathBuf,
    kind: DirectoryErrorKind,
}

#[derive(Debug)]
enum DirectoryErrorKind {
    Missing,
    NotADirectory,
    SymbolicLink,
    /// The contained path, a leading part of the directory's path or all of it, is a symbolic link that
    /// [`check_symbolic_links`] rejects.
    RejectedLink(PathBuf),
    CannotOpen(io::Error),
    CannotWrite(io::Error),
}

impl fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.path.display())?;
        match &self.kind {
            DirectoryErrorKind::Missing => f.write_str("there is no such directory"),
            DirectoryErrorKind::NotADirectory => f.write_str("it is not a directory"),
            DirectoryErrorKind::SymbolicLink => f.write_str("it is a symbolic link"),
            DirectoryErrorKind::RejectedLink(link) => write!(f, "{} is a symbolic link", link.display()),
            DirectoryErrorKind::CannotOpen(error) => write!(f, "it can't be opened: {error}"),
            DirectoryErrorKind::CannotWrite(error) => {
                write!(
                    f,
                    "request bodies can't be stored in this directory, because a test write failed: {error}"
                )
            }
        }
    }
}

impl std::error::Error for DirectoryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.kind {
            DirectoryErrorKind::CannotOpen(error) | DirectoryErrorKind::CannotWrite(error) => Some(error),
            DirectoryErrorKind::Missing
            | DirectoryErrorKind::NotADirectory
            | DirectoryErrorKind::SymbolicLink
            | DirectoryErrorKind::RejectedLink(_) => None,
        }
    }
}

impl From<Errno> for DirectoryErrorKind {
    fn from(error: Errno) -> DirectoryErrorKind {
        match error {
            Errno::NOENT => DirectoryErrorKind::Missing,
            Errno::NOTDIR => DirectoryErrorKind::NotADirectory,
            Errno::LOOP => DirectoryErrorKind::SymbolicLink,
            other => DirectoryErrorKind::CannotOpen(other.into()),
        }
    }
}

/// An open directory in which one node creates files for bodies. The file names contain the node's name, so
/// that several nodes can share a directory.
pub struct Directory {
    descriptor: OwnedFd,
    /// The part of the file names that is specific to the node.
    name_prefix: String,
    next_file_number: AtomicU64,
    was_full: bool,
}

impl Directory {
    /// Opens the directory for the node with this name, and checks with a test write that it is writable. A
    /// full file system is not an error, since it may have room later.
    ///
    /// # Errors
    /// The path does not exist, is not a directory, is a symbolic link, or leads through a symbolic link of a
    /// user other than root and the node's own; or the directory can't be opened or written to.
    pub fn open(path: &Path, node_name: &str) -> Result<Directory, DirectoryError> {
        let error = |kind| DirectoryError { path: path.to_path_buf(), kind };
        check_symbolic_links(path).map_err(error)?;
        let flags = OFlags::DIRECTORY | OFlags::NOFOLLOW | OFlags::RDONLY | OFlags::CLOEXEC;
        let descriptor =
            fs::open(path, flags, Mode::empty()).map_err(|errno| error(DirectoryErrorKind::from(errno)))?;
        let mut directory = Directory {
            descriptor,
            name_prefix: name_prefix(node_name),
            next_file_number: AtomicU64::new(0),
            was_full: false,
        };
        let test_write = directory.create_file().and_then(|file| file.write_at(&[0; TEST_WRITE_BYTES], 0));
        match test_write {
            Ok(()) => {}
            Err(full) if is_disk_full(&full) => directory.was_full = true,
            Err(other) => return Err(error(DirectoryErrorKind::CannotWrite(other))),
        }
        Ok(directory)
    }

    /// Whether the test write in [`Directory::open`] failed because the file system was full.
    pub fn was_full_at_open(&self) -> bool {
        self.was_full
    }

    /// Deletes the files that a crash of an earlier process of this node has left in the directory, and
    /// returns their number. Files of other nodes stay.
    ///
    /// # Errors
    /// The I/O error of the operating system, if the directory can't be listed or a file can't be deleted.
    pub fn delete_leftover_files(&self) -> io::Result<usize> {
        let mut deleted = 0;
        for entry in fs::Dir::read_from(&self.descriptor)? {
            let entry = entry?;
            if !entry.file_name().to_bytes().starts_with(self.name_prefix.as_bytes()) {
                continue;
            }
            match fs::unlinkat(&self.descriptor, entry.file_name(), AtFlags::empty()) {
                Ok(()) => deleted += 1,
                Err(Errno::NOENT) => {}
                Err(errno) => return Err(errno.into()),
            }
        }
        Ok(deleted)
    }
}

impl Disk for Directory {
    fn create_file(&self) -> io::Result<Box<dyn DiskFile>> {
        let number = self.next_file_number.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}{}.{number}.part", self.name_prefix, std::process::id());
        let flags = OFlags::CREATE | OFlags::EXCL | OFlags::RDWR | OFlags::NOFOLLOW | OFlags::CLOEXEC;
        let file = fs::openat(&self.descriptor, &name, flags, Mode::RUSR | Mode::WUSR)?;
        match fs::unlinkat(&self.descriptor, &name, AtFlags::empty()) {
            // `NOENT`: another process of this node has started since the call above and has already deleted
            // the name.
            Ok(()) | Err(Errno::NOENT) => Ok(Box::new(File::from(file))),
            Err(errno) => Err(errno.into()),
        }
    }

    fn free_bytes(&self) -> io::Result<u64> {
        let stat = fs::fstatvfs(&self.descriptor)?;
        Ok(stat.f_bavail.saturating_mul(stat.f_frsize))
    }
}

impl DiskFile for File {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        FileExt::write_all_at(self, bytes, offset)
    }

    fn read_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()> {
        FileExt::read_exact_at(self, bytes, offset)
    }
}

/// The prefix of all file names of one node. Bytes of the node's name other than ASCII letters and digits are
/// escaped, so that no node's prefix is the beginning of another node's prefix.
fn name_prefix(node_name: &str) -> String {
    let escape = |byte: u8| match byte.is_ascii_alphanumeric() {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02x}"),
    };
    let name: String = node_name.bytes().map(escape).collect();
    format!("sorrelhaven-body.{name}.")
}

/// Checks the path for symbolic links. A link that another user made could redirect the node's files to any
/// place, and a link as the last component is most likely a mistake in the settings. Links of root and of the
/// node's own user in other components are accepted.
fn check_symbolic_links(path: &Path) -> Result<(), DirectoryErrorKind> {
    let own_uid = rustix::process::geteuid().as_raw();
    let mut prefix = PathBuf::new();
    for component in path.components() {
        prefix.push(component);
        if !matches!(component, Component::Normal(_)) {
            continue;
        }
        // If a component can't be examined, opening the directory reports why.
        let Ok(metadata) = std::fs::symlink_metadata(&prefix) else { return Ok(()) };
        let is_trusted = metadata.uid() == ROOT_UID || metadata.uid() == own_uid;
        if metadata.is_symlink() && (prefix == path || !is_trusted) {
            return Err(DirectoryErrorKind::RejectedLink(prefix));
        }
    }
    Ok(())
}
