//! A disk in memory that fills up, fails, hangs or loses what was written.

use sorrelhaven_body_store::{Disk, DiskFile};
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// Linux error numbers, which `io::Error` takes as they are.
const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// How a [`FakeDisk`] behaves.
#[derive(Clone, Debug, Default)]
pub struct DiskFaults {
    /// Its size in bytes; a write beyond it is cut short there, as a real disk may do.
    pub capacity: u64,
    /// Every write fails with EIO.
    pub writes_fail: bool,
    /// Every read fails with EIO.
    pub reads_fail: bool,
    /// Every write blocks until this is unset.
    pub hangs: bool,
    /// Writes after this many report success and are lost: zeros are read back.
    pub forgets_after: Option<u64>,
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
    /// Signals that the faults have changed.
    faults_changed: Condvar,
}

/// A disk in memory; clones are the same disk.
#[derive(Clone)]
pub struct FakeDisk {
    shared: Arc<Shared>,
}

impl FakeDisk {
    /// A disk of `capacity` bytes that works.
    pub fn new(capacity: u64) -> FakeDisk {
        let faults = DiskFaults { capacity, ..DiskFaults::default() };
        let state = Mutex::new(DiskState { faults, ..DiskState::default() });
        FakeDisk { shared: Arc::new(Shared { state, faults_changed: Condvar::new() }) }
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how the disk behaves from now on; writes that hang go on if they no longer have to.
    pub fn set(&self, change: impl FnOnce(&mut DiskFaults)) {
        change(&mut self.state().faults);
        self.shared.faults_changed.notify_all();
    }

    /// The bytes that its files hold.
    pub fn used(&self) -> u64 {
        self.state().used_bytes
    }

    /// The number of its files.
    pub fn files(&self) -> usize {
        self.state().files
    }

    /// The number of writes that were begun.
    pub fn writes(&self) -> u64 {
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

/// A file of a [`FakeDisk`]; dropping it frees its space.
struct FakeFile {
    disk: FakeDisk,
    content: Mutex<Vec<u8>>,
}

impl FakeFile {
    fn content(&self) -> MutexGuard<'_, Vec<u8>> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a write and waits while the disk hangs; returns the disk's state and the number of the write.
    fn begin_write(&self) -> (MutexGuard<'_, DiskState>, u64) {
        let mut state = self.disk.state();
        state.writes += 1;
        let write_number = state.writes;
        let changed = &self.disk.shared.faults_changed;
        let state = changed.wait_while(state, |state| state.faults.hangs);
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
        let fitting = bytes.len() - (growth - granted) as usize;
        let end = start + fitting;
        if content.len() < end {
            content.resize(end, 0);
        }
        if state.faults.forgets_after.is_none_or(|after| write_number <= after) {
            content[start..end].copy_from_slice(&bytes[..fitting]);
        }
        if granted < growth { Err(io::Error::from_raw_os_error(ENOSPC)) } else { Ok(()) }
    }

    fn read_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()> {
        if self.disk.state().faults.reads_fail {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        let content = self.content();
        let start = offset as usize;
        let found = content.get(start..start + bytes.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        bytes.copy_from_slice(found);
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
