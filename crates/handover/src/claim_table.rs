//! Remembers the ids of requests that must not run twice: those in progress, and those that may have run.
//!
//! The table has a fixed size. An id belongs to one bucket, in which a new id replaces the oldest one, so that an id is
//! remembered until some tens of thousands of later ones have been claimed. The processes of one node that accept
//! clients from the same socket share a table in a file, which they lock for each access. The file outlives a process,
//! also one that is killed: a request that it had sent may have run.

use crate::node_file::open_node_file;
use rustix::fs::{FlockOperation, flock};
use std::cell::RefCell;
use std::fmt;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// The beginning of the file's name, with the version of its format.
const FILE_PREFIX: &str = "sorrelhaven-claims-1";
/// The number of buckets.
const BUCKETS: u64 = 4096;
/// The number of ids in a bucket.
const SLOTS: usize = 16;
/// The size of the hash of an id, in bytes. An empty slot holds zeros.
const HASH_BYTES: usize = 16;
/// A bucket: its slots, then the index of the slot that is written next.
const BUCKET_BYTES: usize = SLOTS * HASH_BYTES + 1;
/// The size of the table in bytes.
const TABLE_BYTES: u64 = BUCKETS * BUCKET_BYTES as u64;
/// How often a lock that another process holds is tried again. It is held for some microseconds, unless that process
/// is paused.
const LOCK_TRIES: u32 = 50;
/// The pause between two tries. All tries together take less than a client would notice.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_micros(200);

type Hash = [u8; HASH_BYTES];
type Bucket = [u8; BUCKET_BYTES];

/// Why an id could not be claimed.
#[derive(Debug)]
pub enum ClaimError {
    /// The id is claimed already: its request is in progress, or may have run.
    Taken,
    /// The shared file could not be locked, read or written.
    Unavailable(io::Error),
}

impl fmt::Display for ClaimError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClaimError::Taken => {
                formatter.write_str("a request with this id is in progress, or may have run")
            }
            ClaimError::Unavailable(error) => write!(formatter, "the table of claimed ids: {error}"),
        }
    }
}

impl std::error::Error for ClaimError {}

/// The table of claimed ids.
pub struct ClaimTable(RefCell<Storage>);

enum Storage {
    Memory(Vec<u8>),
    File(File),
}

impl ClaimTable {
    /// An empty table that only this process uses.
    pub fn in_memory() -> ClaimTable {
        ClaimTable(RefCell::new(Storage::Memory(vec![0; TABLE_BYTES as usize])))
    }

    /// The table that the processes of the node `node_name` share, in a file in `directory`.
    ///
    /// # Errors
    /// The file cannot be opened, or not have its size.
    pub fn shared(directory: &Path, node_name: &str) -> io::Result<ClaimTable> {
        let file = open_node_file(directory, FILE_PREFIX, node_name, "")?;
        // Two processes may do this at the same time: the file has the same size after both.
        file.set_len(TABLE_BYTES)?;
        Ok(ClaimTable(RefCell::new(Storage::File(file))))
    }

    /// Replaces this table by another one, before any id is claimed.
    pub fn replace(&self, other: ClaimTable) {
        self.0.replace(other.0.into_inner());
    }

    /// Claims an id.
    ///
    /// # Errors
    /// See [`ClaimError`]; the id is then not claimed by this call.
    pub fn claim(&self, id: &str) -> Result<(), ClaimError> {
        let hash = hash(id);
        let is_new = self.update(bucket_of(hash), |bucket| insert(bucket, hash));
        match is_new.map_err(ClaimError::Unavailable)? {
            true => Ok(()),
            false => Err(ClaimError::Taken),
        }
    }

    /// Gives up the claim of an id whose request has ended and has not run.
    ///
    /// # Errors
    /// The shared file could not be locked, read or written. The id stays claimed.
    pub fn release(&self, id: &str) -> io::Result<()> {
        let hash = hash(id);
        self.update(bucket_of(hash), |bucket| remove(bucket, hash)).map(drop)
    }

    /// Applies `change` to a bucket, and stores it if `change` returns true. Returns what `change` returned.
    fn update(&self, index: u64, change: impl FnOnce(&mut Bucket) -> bool) -> io::Result<bool> {
        let offset = index * BUCKET_BYTES as u64;
        match &mut *self.0.borrow_mut() {
            Storage::Memory(bytes) => {
                let bytes = &mut bytes[offset as usize..][..BUCKET_BYTES];
                let mut bucket = [0; BUCKET_BYTES];
                bucket.copy_from_slice(bytes);
                let changed = change(&mut bucket);
                bytes.copy_from_slice(&bucket);
                Ok(changed)
            }
            Storage::File(file) => {
                lock(file)?;
                let updated = update_file(file, offset, change);
                let unlocked = flock(&*file, FlockOperation::Unlock);
                let changed = updated?;
                unlocked?;
                Ok(changed)
            }
        }
    }
}

fn update_file(file: &File, offset: u64, change: impl FnOnce(&mut Bucket) -> bool) -> io::Result<bool> {
    let mut bucket = [0; BUCKET_BYTES];
    file.read_exact_at(&mut bucket, offset)?;
    let changed = change(&mut bucket);
    if changed {
        file.write_all_at(&bucket, offset)?;
    }
    Ok(changed)
}

/// Locks the file. Fails if another process holds the lock for longer than an access takes.
fn lock(file: &File) -> io::Result<()> {
    for _ in 1..LOCK_TRIES {
        if flock(file, FlockOperation::NonBlockingLockExclusive).is_ok() {
            return Ok(());
        }
        thread::sleep(LOCK_RETRY_INTERVAL);
    }
    Ok(flock(file, FlockOperation::NonBlockingLockExclusive)?)
}

/// Adds a hash in place of the oldest one. Returns false if the bucket has it.
fn insert(bucket: &mut Bucket, hash: Hash) -> bool {
    if position(bucket, hash).is_some() {
        return false;
    }
    let next = usize::from(bucket[SLOTS * HASH_BYTES]) % SLOTS;
    slot_mut(bucket, next).copy_from_slice(&hash);
    bucket[SLOTS * HASH_BYTES] = ((next + 1) % SLOTS) as u8;
    true
}

/// Removes a hash. Returns false if the bucket does not have it.
fn remove(bucket: &mut Bucket, hash: Hash) -> bool {
    let Some(position) = position(bucket, hash) else { return false };
    slot_mut(bucket, position).fill(0);
    true
}

fn position(bucket: &Bucket, hash: Hash) -> Option<usize> {
    bucket[..SLOTS * HASH_BYTES].chunks_exact(HASH_BYTES).position(|slot| slot == hash)
}

fn slot_mut(bucket: &mut Bucket, index: usize) -> &mut [u8] {
    &mut bucket[index * HASH_BYTES..][..HASH_BYTES]
}

/// The FNV-1a hash of an id, with 128 bits; never 0. It must not change: versions of the program share the file.
fn hash(id: &str) -> Hash {
    const OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    let hash = id.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u128::from(byte)).wrapping_mul(PRIME));
    hash.max(1).to_le_bytes()
}

/// The index of the bucket of a hash.
fn bucket_of(hash: Hash) -> u64 {
    let mixed = u128::from_le_bytes(hash);
    ((mixed ^ (mixed >> 64)) as u64) % BUCKETS
}
