//! A disk that fills up, fails, hangs or forgets what was written.

use sorrelhaven_body_store::{Disk, DiskFile};
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// How a [`FakeDisk`] behaves.
#[derive(Clone, Debug, Default)]
pub struct DiskFaults {
    /// The bytes that fit on it; a write that crosses them is cut there, as a real one may be.
    pub capacity: u64,
    /// Every write fails with EIO.
    pub writes_fail: bool,
    /// Every read fails with EIO.
    pub reads_fail: bool,
    /// Every write waits until this is taken back.
    pub hangs: bool,
    /// Writes from this many on are forgotten in silence: what is read back is zeros.
    pub forgets_after: Option<u64>,
}

#[derive(Default)]
struct State {
    conduct: DiskFaults,
    used: u64,
    writes: u64,
    files: usize,
}

/// A disk in memory; clones are the same disk.
#[derive(Clone)]
pub struct FakeDisk(Arc<(Mutex<State>, Condvar)>);

impl FakeDisk {
    /// A sound disk of so many bytes.
    pub fn new(capacity: u64) -> FakeDisk {
        let conduct = DiskFaults { capacity, ..DiskFaults::default() };
        FakeDisk(Arc::new((Mutex::new(State { conduct, ..State::default() }), Condvar::new())))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it behaves from now on; calls that hang look again.
    pub fn set(&self, change: impl FnOnce(&mut DiskFaults)) {
        change(&mut self.state().conduct);
        self.0.1.notify_all();
    }

    /// The bytes that files hold.
    pub fn used(&self) -> u64 {
        self.state().used
    }

    /// The files that there are.
    pub fn files(&self) -> usize {
        self.state().files
    }

    /// The writes that were asked for.
    pub fn writes(&self) -> u64 {
        self.state().writes
    }
}

impl Disk for FakeDisk {
    fn create(&self) -> io::Result<Box<dyn DiskFile>> {
        self.state().files += 1;
        Ok(Box::new(StandInFile { disk: self.clone(), bytes: Mutex::default() }))
    }

    fn free(&self) -> io::Result<u64> {
        let state = self.state();
        Ok(state.conduct.capacity.saturating_sub(state.used))
    }
}

struct StandInFile {
    disk: FakeDisk,
    bytes: Mutex<Vec<u8>>,
}

fn eio() -> io::Error {
    io::Error::from_raw_os_error(5)
}

impl DiskFile for StandInFile {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        state.writes += 1;
        let number = state.writes;
        while state.conduct.hangs {
            state = self.disk.0.1.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        if state.conduct.writes_fail {
            return Err(eio());
        }
        let mut file = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        let end = offset as usize + bytes.len();
        let grown = end.saturating_sub(file.len()) as u64;
        let room = state.conduct.capacity.saturating_sub(state.used).min(grown);
        state.used += room;
        let fits = bytes.len() - (grown - room) as usize;
        let end = offset as usize + fits;
        if file.len() < end {
            file.resize(end, 0);
        }
        if state.conduct.forgets_after.is_none_or(|after| number <= after) {
            file[offset as usize..end].copy_from_slice(&bytes[..fits]);
        }
        // 28 is ENOSPC on every system that this repository is built for.
        if room < grown { Err(io::Error::from_raw_os_error(28)) } else { Ok(()) }
    }

    fn read_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()> {
        if self.disk.state().conduct.reads_fail {
            return Err(eio());
        }
        let file = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        let from = offset as usize;
        let found = file.get(from..from + bytes.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        bytes.copy_from_slice(found);
        Ok(())
    }
}

impl Drop for StandInFile {
    fn drop(&mut self) {
        let held = self.bytes.get_mut().unwrap_or_else(PoisonError::into_inner).len() as u64;
        let mut state = self.disk.state();
        state.used -= held;
        state.files -= 1;
    }
}
