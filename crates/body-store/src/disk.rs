//! The disk as bodies use it: a directory in which files without a name are made.
//!
//! A file is made under a temporary name and unlinked at once while it stays open: whatever becomes of the process, the
//! system frees it, and nothing is left that looks whole. Only a crash between the two steps leaves a name, which the
//! next start of the same node sweeps. Nothing here runs on the executor: calls may block, and go to a pool.

use rustix::fs::{self, AtFlags, Mode, OFlags};
use rustix::io::Errno;
use std::fs::File;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Component, Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// A place for files. Calls may block.
pub trait Disk: Send + Sync {
    /// Makes an empty file that goes when it is dropped.
    ///
    /// # Errors
    /// Those of the system.
    fn create(&self) -> io::Result<Box<dyn DiskFile>>;

    /// The bytes that an ordinary user may still write.
    ///
    /// # Errors
    /// Those of the system.
    fn free(&self) -> io::Result<u64>;
}

/// A file on a [`Disk`]. Calls may block.
pub trait DiskFile: Send + Sync {
    /// Writes all of it at this offset.
    ///
    /// # Errors
    /// Those of the system; some of it may then be written.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;

    /// Fills `bytes` from this offset.
    ///
    /// # Errors
    /// Those of the system; `UnexpectedEof` where the file is shorter.
    fn read_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()>;
}

/// Whether an error says that there is no room: the file system's, a quota's, or the process's own bound on a file.
pub fn is_full(error: &io::Error) -> bool {
    [Errno::NOSPC, Errno::DQUOT, Errno::FBIG].iter().any(|e| Some(e.raw_os_error()) == error.raw_os_error())
}

/// Why a directory can't be used; the words for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unusable(pub String);

/// A directory of the operators'.
pub struct Directory {
    descriptor: OwnedFd,
    prefix: String,
    next: AtomicU64,
    full: bool,
}

impl Directory {
    /// Opens the directory for the node of this name, and tries a write.
    ///
    /// # Errors
    /// One line that says what is wrong with it.
    pub fn open(path: &Path, node: &str) -> Result<Directory, Unusable> {
        let fault = |what: String| Unusable(format!("{}: {what}", path.display()));
        no_links(path).map_err(fault)?;
        let flags = OFlags::DIRECTORY | OFlags::NOFOLLOW | OFlags::RDONLY | OFlags::CLOEXEC;
        let descriptor = fs::open(path, flags, Mode::empty()).map_err(|e| match e {
            Errno::NOENT => fault("there is no such directory".into()),
            Errno::NOTDIR => fault("it is not a directory".into()),
            Errno::LOOP => fault("it is a symbolic link".into()),
            e => fault(format!("it can't be opened: {}", io::Error::from(e))),
        })?;
        let prefix = prefix(node);
        let mut directory = Directory { descriptor, prefix, next: AtomicU64::new(0), full: false };
        match directory.create().and_then(|file| file.write_at(&[0; 4096], 0)) {
            Ok(()) => {}
            Err(e) if is_full(&e) => directory.full = true,
            Err(e) => return Err(fault(format!("it can't be written in: {e}"))),
        }
        Ok(directory)
    }

    /// Whether nothing could be written when it was opened, since it was full.
    pub fn is_full(&self) -> bool {
        self.full
    }

    /// Removes the names that an earlier life of this node left, and counts them; another node's stay.
    ///
    /// # Errors
    /// Those of the system.
    pub fn sweep(&self) -> io::Result<usize> {
        let mut swept = 0;
        for entry in fs::Dir::read_from(&self.descriptor)? {
            let entry = entry?;
            if entry.file_name().to_bytes().starts_with(self.prefix.as_bytes()) {
                match fs::unlinkat(&self.descriptor, entry.file_name(), AtFlags::empty()) {
                    Ok(()) => swept += 1,
                    Err(Errno::NOENT) => {}
                    Err(e) => return Err(e.into()),
                }
            }
        }
        Ok(swept)
    }
}

/// What all names of one node begin with. Letters and digits stand for themselves and the rest is written out, so that
/// no node's prefix begins another's.
fn prefix(node: &str) -> String {
    let name: String = node
        .bytes()
        .map(|b| if b.is_ascii_alphanumeric() { char::from(b).to_string() } else { format!("%{b:02x}") })
        .collect();
    format!("sorrelhaven-body.{name}.")
}

/// A link on the way that another user made could lead the node's files anywhere, and one at the end is a slip.
fn no_links(path: &Path) -> Result<(), String> {
    let mut at = PathBuf::new();
    let me = rustix::process::geteuid().as_raw();
    for component in path.components() {
        at.push(component);
        if !matches!(component, Component::Normal(_)) {
            continue;
        }
        let Ok(found) = std::fs::symlink_metadata(&at) else { return Ok(()) };
        let whose = found.uid();
        if found.is_symlink() && (at == path || (whose != 0 && whose != me)) {
            return Err(format!("{} is a symbolic link", at.display()));
        }
    }
    Ok(())
}

impl Disk for Directory {
    fn create(&self) -> io::Result<Box<dyn DiskFile>> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}{}.{number}.part", self.prefix, std::process::id());
        let flags = OFlags::CREATE | OFlags::EXCL | OFlags::RDWR | OFlags::NOFOLLOW | OFlags::CLOEXEC;
        let file = fs::openat(&self.descriptor, &name, flags, Mode::RUSR | Mode::WUSR)?;
        match fs::unlinkat(&self.descriptor, &name, AtFlags::empty()) {
            // Another life of this node may have swept the name in between: it is gone all the same.
            Ok(()) | Err(Errno::NOENT) => Ok(Box::new(File::from(file))),
            Err(e) => Err(e.into()),
        }
    }

    fn free(&self) -> io::Result<u64> {
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
