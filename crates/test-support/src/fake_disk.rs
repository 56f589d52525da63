//! A simulated disk, kept in memory, that fills up, fails, hangs or loses writes.

use sorrelhaven_body_store::{Disk, DiskFile};
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// Linux error numbers, as `io::Error::from_raw_os_error` takes them.
const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// The size and the faults of a [`FakeDisk`].
#[derive(Clone, Debug, Default)]
pub struct DiskFaults {
    /// The size of the disk in bytes. A write beyond it stores what fits and fails with ENOSPC, as on a real
    /// disk.
    pub capacity: u64,
    /// Every write fails with EIO.
    pub writes_fail: bool,
    /// Every read fails with EIO.
    pub reads_fail: bool,
    /// Every write blocks until this is set to false.
    pub writes_hang: bool,
    /// After this many writes each further write reports success but stores nothing: new parts of the file
    /// read as zeros.
    pub writes_lost_after: Option<u64>,
}

#[derive(Default)]
struct DiskState {
    faults: DiskFaults,
    used_bytes: u64,
    writes: u64,
    files: usize,
}

struct Shared {
    state: Mutex<DiskState>,
    /// Notified when the faults change.
    faults_changed: Condvar,
}

/// A simulated disk; clones share one state.
#[derive(Clone)]
pub struct FakeDisk {
    shared: Arc<Shared>,
}

impl FakeDisk {
    /// Creates an empty disk of `capacity` bytes without faults.
    pub fn new(capacity: u64) -> FakeDisk {
        let faults = DiskFaults { capacity, ..DiskFaults::default() };
        let state = Mutex::new(DiskState { faults, ..DiskState::default() });
        FakeDisk { shared: Arc::new(Shared { state, faults_changed: Condvar::new() }) }
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults. Blocked writes continue if `writes_hang` is no longer set.
    pub fn update_faults(&self, change: impl FnOnce(&mut DiskFaults)) {
        change(&mut self.state().faults);
        self.shared.faults_changed.notify_all();
    }

    /// The number of bytes in all files.
    pub fn used_bytes(&self) -> u64 {
        self.state().used_bytes
    }

    /// The number of files that exist.
    pub fn file_count(&self) -> usize {
        self.state().files
    }

    /// The number of writes that have begun, including blocked and failed ones.
    pub fn write_count(&self) -> u64 {
        self.state().writes
    }
}

impl Disk for FakeDisk {
    fn create_file(&self) -> io::Result<Box<dyn DiskFile>> {
        self.state().files += 1;
        Ok(Box::new(FakeFile { disk: self.clone(), content: Mutex::default() }))
    }

    fn free_bytes(&self) -> io::Result<u64> {
        let state = self.state();
        Ok(state.faults.capacity.saturating_sub(state.used_bytes))
    }
}

/// A file of a [`FakeDisk`], deleted on drop.
struct FakeFile {
    disk: FakeDisk,
    content: Mutex<Vec<u8>>,
}

impl FakeFile {
    fn content(&self) -> MutexGuard<'_, Vec<u8>> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a write and blocks while writes hang. Returns the state of the disk and the number of the
    /// write.
    fn begin_write(&self) -> (MutexGuard<'_, DiskState>, u64) {
        let mut state = self.disk.state();
        state.writes += 1;
        let write_number = state.writes;
        let changed = &self.disk.shared.faults_changed;
        let state = changed.wait_while(state, |state| state.faults.writes_hang);
        (state.unwrap_or_else(PoisonError::into_inner), write_number)
    }
}

impl DiskFile for FakeFile {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        let (mut state, write_number) = self.begin_write();
        if state.faults.writes_fail {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        let mut content = self.content();
        let start = offset as usize;
        let growth = (start + bytes.len()).saturating_sub(content.len()) as u64;
        let granted = state.faults.capacity.saturating_sub(state.used_bytes).min(growth);
        state.used_bytes += granted;
        let written_length = bytes.len() - (growth - granted) as usize;
        let end = start + written_length;
        if content.len() < end {
            content.resize(end, 0);
        }
        if state.faults.writes_lost_after.is_none_or(|after| write_number <= after) {
            content[start..end].copy_from_slice(&bytes[..written_length]);
        }
        if granted < growth { Err(io::Error::from_raw_os_error(ENOSPC)) } else { Ok(()) }
    }

    fn read_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()> {
        if self.disk.state().faults.reads_fail {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        let content = self.content();
        let start = offset as usize;
        let stored = content.get(start..start + bytes.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        bytes.copy_from_slice(stored);
        Ok(())
    }
}

impl Drop for FakeFile {
    fn drop(&mut self) {
        let length = self.content().len() as u64;
        let mut state = self.disk.state();
        state.used_bytes -= length;
        state.files -= 1;
    }
}
