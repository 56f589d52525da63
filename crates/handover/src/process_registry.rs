//! Counts the running processes of one node. Each holds the lock of a file, which the kernel releases when
//! the process ends, even if it crashes.

use crate::node_file::open_node_file;
use rustix::fs::{FlockOperation, flock};
use std::fs::File;
use std::io;
use std::path::Path;

/// The greatest number of processes that can be registered for one node. An upgrade runs two at a time, and
/// another upgrade shortly after it a third.
pub const MAX_PROCESSES: usize = 4;
/// The beginning of the lock files' names. It must not change: processes of different program versions share
/// the files.
const LOCK_FILE_PREFIX: &str = "sorrelhaven-seat";

/// The registration of this process as one of its node. Dropping it ends the registration.
pub struct ProcessRegistry {
    lock_files: Vec<File>,
    /// The index of the file that this process has locked; `None` if other processes held all locks.
    own_index: Option<usize>,
}

impl ProcessRegistry {
    /// Registers this process as one of the node `node_name`, whose processes share the lock files in
    /// `directory`. If [`MAX_PROCESSES`] are registered already, this one is not, but can still count the
    /// others.
    ///
    /// # Errors
    /// A lock file cannot be opened, for example because the directory does not exist or is not writable.
    pub fn register(directory: &Path, node_name: &str) -> io::Result<ProcessRegistry> {
        let lock_files = (0..MAX_PROCESSES)
            .map(|index| open_node_file(directory, LOCK_FILE_PREFIX, node_name, &format!(".{index}")))
            .collect::<io::Result<Vec<File>>>()?;
        let own_index = lock_files.iter().position(try_lock);
        Ok(ProcessRegistry { lock_files, own_index })
    }

    /// The number of other registered processes of the node that are running.
    pub fn other_processes(&self) -> usize {
        let others = self.lock_files.iter().enumerate().filter(|(index, _)| self.own_index != Some(*index));
        others.filter(|(_, file)| is_locked(file)).count()
    }
}

fn try_lock(file: &File) -> bool {
    flock(file, FlockOperation::NonBlockingLockExclusive).is_ok()
}

/// Whether a registered process holds the file's exclusive lock. The check takes a shared lock, so that two
/// processes that check at the same time do not count each other.
fn is_locked(file: &File) -> bool {
    match flock(file, FlockOperation::NonBlockingLockShared) {
        Ok(()) => {
            let _ = flock(file, FlockOperation::Unlock);
            false
        }
        Err(_) => true,
    }
}
