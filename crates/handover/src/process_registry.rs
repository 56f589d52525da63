//! Counts the processes of one node by file locks, which the kernel releases when a process ends in whatever
//! way.

use rustix::fs::{FlockOperation, Mode, OFlags, flock, open};
use std::fs::File;
use std::io;
use std::path::Path;

/// How many processes of one node can be distinguished: an upgrade runs two, and one that follows closely a
/// third.
pub const MAX_PROCESSES: usize = 4;
/// Beginning of the lock files' names. Processes of different versions of the program share the files.
const LOCK_FILE_PREFIX: &str = "sorrelhaven-seat";
/// How much of a node's name its lock files' names hold.
const MAX_NAME_CHARS: usize = 64;

/// The registration of this process among those of its node. Dropping it ends the registration.
pub struct ProcessRegistry {
    lock_files: Vec<File>,
    /// Index of the file that this process has locked; `None` where all were locked.
    own: Option<usize>,
}

impl ProcessRegistry {
    /// Registers this process with the node `node_name`, whose processes share the lock files in `directory`.
    /// Where [`MAX_PROCESSES`] are registered already it still counts the others.
    ///
    /// # Errors
    /// A lock file cannot be opened: the directory does not exist or is not writable.
    pub fn register(directory: &Path, node_name: &str) -> io::Result<ProcessRegistry> {
        let lock_files = (0..MAX_PROCESSES)
            .map(|index| open_lock_file(directory, node_name, index))
            .collect::<io::Result<Vec<File>>>()?;
        let own = lock_files.iter().position(try_lock);
        Ok(ProcessRegistry { lock_files, own })
    }

    /// How many other processes of the node are alive.
    pub fn other_processes(&self) -> usize {
        let others = self.lock_files.iter().enumerate().filter(|(index, _)| self.own != Some(*index));
        others.filter(|(_, file)| is_locked(file)).count()
    }
}

fn open_lock_file(directory: &Path, node_name: &str, index: usize) -> io::Result<File> {
    let name: String = node_name.chars().map(portable).take(MAX_NAME_CHARS).collect();
    let path = directory.join(format!("{LOCK_FILE_PREFIX}.{name}.{index}"));
    let flags = OFlags::CREATE | OFlags::RDWR | OFlags::NOFOLLOW | OFlags::CLOEXEC;
    Ok(File::from(open(path, flags, Mode::RUSR | Mode::WUSR)?))
}

/// Replaces a character that a file name might not hold.
fn portable(character: char) -> char {
    if character.is_ascii_alphanumeric() { character } else { '_' }
}

fn try_lock(file: &File) -> bool {
    flock(file, FlockOperation::NonBlockingLockExclusive).is_ok()
}

/// Whether a process holds the file's lock. The check takes a shared lock: two processes that check at the
/// same time must not take each other for registered ones.
fn is_locked(file: &File) -> bool {
    match flock(file, FlockOperation::NonBlockingLockShared) {
        Ok(()) => {
            let _ = flock(file, FlockOperation::Unlock);
            false
        }
        Err(_) => true,
    }
}
