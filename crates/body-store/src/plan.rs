//! Decides where each body is stored, and accounts for the bytes that bodies hold. No I/O; callers pass the
//! time.
//!
//! A growing body moves through the tiers in one direction only: memory, while it is within the limit for one
//! body and the budget; then a file, to which the bytes in memory are moved; then not stored. The caller
//! reserves room for each piece before it accepts the piece ([`StoragePlan::reserve`]), carries out the
//! returned decision, and reports the bytes that it has released.

use crate::budget::{Budget, SMALL_BODY_BYTES};
use crate::decision::{NotStoredReason, StorageDecision, StorageTier, Timestamp};
use crate::disk_health::DiskHealth;
use std::collections::BTreeMap;

/// Memory is short if more than this fraction of the memory budget is used. Numerator and denominator.
const MEMORY_PRESSURE_FRACTION: (u64, u64) = (7, 8);
/// The number of complete bodies that may be moved from memory to files at the same time.
const MAX_CONCURRENT_SPILLS: usize = 1;

/// Identifies a body within its store. Not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// The result of [`StoragePlan::register`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisteredBody {
    /// Identifies the body in later calls.
    pub id: BodyId,
    /// Where the first piece of the body is stored.
    pub decision: StorageDecision,
}

/// The result of [`StoragePlan::record_disk_failure`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskFailure {
    /// Where the rest of the body that met the failure is stored.
    pub decision: StorageDecision,
    /// Whether this is the first failure since the last successful write.
    pub is_first: bool,
}

/// The bytes that all bodies together hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StorageUsage {
    /// Bytes reserved in memory. Bytes that are not stored are not included.
    pub memory_bytes: u64,
    /// Bytes reserved in files, including those that are not written yet.
    pub file_bytes: u64,
}

/// The limits that a [`StoragePlan`] enforces, in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorageLimits {
    /// The largest body that is accepted.
    pub max_body_bytes: u64,
    /// The largest body that is stored in memory.
    pub max_memory_bytes_per_body: u64,
    /// The memory budget of all bodies together.
    pub max_memory_bytes: u64,
    /// The limits for files; `None` if there is no directory for them.
    pub files: Option<FileLimits>,
}

/// The limits for bodies in files, in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileLimits {
    /// The largest body that is stored in a file.
    pub max_bytes_per_body: u64,
    /// The budget of all files together.
    pub max_bytes: u64,
    /// The space that must stay free in the file system when a file is created.
    pub min_free_bytes: u64,
}

/// The plan's record of one body.
#[derive(Debug)]
struct BodyAccount {
    budget_group: usize,
    tier: StorageTier,
    /// Bytes that have arrived, wherever they are stored.
    received_bytes: u64,
    /// Bytes reserved in the memory budget.
    memory_bytes: u64,
    /// Bytes reserved in the file budget.
    file_bytes: u64,
    /// Whether the whole body has arrived.
    is_complete: bool,
    /// Whether the body, already complete, is being moved from memory to a file.
    is_spilling: bool,
}

/// Decides where each body is stored, and accounts for the bytes that bodies hold.
#[derive(Debug)]
pub struct StoragePlan {
    limits: StorageLimits,
    memory: Budget,
    files: Budget,
    disk: DiskHealth,
    bodies: BTreeMap<BodyId, BodyAccount>,
    next_id: u64,
    active_spills: usize,
}

impl StoragePlan {
    /// A plan without bodies, for this number of budget groups (pairs of class and tenant); 0 counts as 1.
    pub fn new(limits: StorageLimits, budget_groups: usize) -> StoragePlan {
        StoragePlan {
            memory: Budget::new(limits.max_memory_bytes, budget_groups),
            files: Budget::new(limits.max_file_bytes(), budget_groups),
            limits,
            disk: DiskHealth::default(),
            bodies: BTreeMap::new(),
            next_id: 0,
            active_spills: 0,
        }
    }

    /// Changes the limits. Bodies keep the bytes that they hold beyond a lower limit:
    /// [`StoragePlan::begin_spill`] moves complete ones from memory to files, and the others hold theirs
    /// until they are removed. A change of the limits for files also enables a disk that failures have
    /// disabled.
    pub fn configure(&mut self, limits: StorageLimits) {
        self.memory.resize(limits.max_memory_bytes);
        self.files.resize(limits.max_file_bytes());
        if limits.files != self.limits.files {
            self.disk = DiskHealth::default();
        }
        self.limits = limits;
    }

    /// The limits that were set last.
    pub fn limits(&self) -> &StorageLimits {
        &self.limits
    }

    /// Adds a body that counts against the budgets of `budget_group`; an index beyond the last group counts
    /// as the last. A declared length, in bytes, that exceeds the limit for one body in memory decides the
    /// tier before any byte has arrived.
    pub fn register(
        &mut self,
        now: Timestamp,
        budget_group: usize,
        declared_length: Option<u64>,
    ) -> RegisteredBody {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let account = BodyAccount {
            budget_group: budget_group.min(self.memory.group_count() - 1),
            tier: StorageTier::Memory,
            received_bytes: 0,
            memory_bytes: 0,
            file_bytes: 0,
            is_complete: false,
            is_spilling: false,
        };
        self.bodies.insert(id, account);
        let decision = match declared_length {
            Some(length) if length > self.limits.max_body_bytes => StorageDecision::TooLarge,
            Some(length) if length > self.limits.max_memory_bytes_per_body => {
                self.move_out_of_memory(now, id, length)
            }
            _ => StorageDecision::Store(StorageTier::Memory),
        };
        RegisteredBody { id, decision }
    }

    /// Reserves room for the next `additional` bytes of a body, and decides where they are stored. If they
    /// are stored, they count as used as soon as this returns.
    pub fn reserve(&mut self, now: Timestamp, id: BodyId, additional: u64) -> StorageDecision {
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLarge };
        let received_bytes = body.received_bytes.saturating_add(additional);
        if received_bytes > self.limits.max_body_bytes {
            return StorageDecision::TooLarge;
        }
        body.received_bytes = received_bytes;
        match body.tier {
            StorageTier::NotStored => StorageDecision::NotStored(NotStoredReason::Budget),
            StorageTier::Memory => self.reserve_memory(now, id, additional),
            StorageTier::File => self.reserve_in_file(id, additional),
        }
    }

    fn reserve_memory(&mut self, now: Timestamp, id: BodyId, additional: u64) -> StorageDecision {
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLarge };
        let received_bytes = body.received_bytes;
        let fits = received_bytes <= self.limits.max_memory_bytes_per_body;
        if fits && self.memory.try_reserve(body.budget_group, body.memory_bytes, additional) {
            body.memory_bytes += additional;
            return StorageDecision::Store(StorageTier::Memory);
        }
        self.move_out_of_memory(now, id, received_bytes)
    }

    fn reserve_in_file(&mut self, id: BodyId, additional: u64) -> StorageDecision {
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLarge };
        let fits = body.received_bytes <= self.limits.max_file_bytes_per_body();
        if !fits || !self.files.try_reserve(body.budget_group, body.file_bytes, additional) {
            body.tier = StorageTier::NotStored;
            return StorageDecision::NotStored(NotStoredReason::Budget);
        }
        body.file_bytes += additional;
        StorageDecision::Store(StorageTier::File)
    }

    /// Moves a body that memory can't hold to a file, or stops storing the body if no file can hold it.
    /// `expected_length` is the declared length, or else the number of bytes that have arrived.
    fn move_out_of_memory(&mut self, now: Timestamp, id: BodyId, expected_length: u64) -> StorageDecision {
        let files_usable = self.check_files_usable(now);
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLarge };
        if let Err(reason) = files_usable {
            body.tier = StorageTier::NotStored;
            return StorageDecision::NotStored(reason);
        }
        let fits = expected_length <= self.limits.max_file_bytes_per_body();
        if !fits || !self.files.try_reserve(body.budget_group, 0, body.received_bytes) {
            body.tier = StorageTier::NotStored;
            return StorageDecision::NotStored(NotStoredReason::Budget);
        }
        body.tier = StorageTier::File;
        body.file_bytes = body.received_bytes;
        StorageDecision::Store(StorageTier::File)
    }

    /// Checks that a file may be created: there is a directory, and no recent failure disables the disk.
    fn check_files_usable(&self, now: Timestamp) -> Result<(), NotStoredReason> {
        if self.limits.files.is_none() {
            return Err(NotStoredReason::Budget);
        }
        self.disk.check_enabled(now)
    }

    /// Whether a file system with `free_bytes` left has room for the bytes of a body that have arrived,
    /// beside the space that must stay free.
    pub fn has_free_space(&self, id: BodyId, free_bytes: u64) -> bool {
        let min_free_bytes = self.limits.files.as_ref().map_or(0, |files| files.min_free_bytes);
        let needed_bytes = self.bodies.get(&id).map_or(0, |body| body.received_bytes);
        free_bytes >= min_free_bytes.saturating_add(needed_bytes)
    }

    /// Records that the disk could not be used for a body: a call failed or timed out, the writes were too
    /// slow, or there is too little free space. Disables the disk for its backoff, and stores nothing more of
    /// the body. A body that was being spilled is complete, so it stays stored, partly in its file and partly
    /// in memory.
    pub fn record_disk_failure(
        &mut self,
        now: Timestamp,
        id: BodyId,
        reason: NotStoredReason,
    ) -> DiskFailure {
        let is_first = self.disk.record_failure(now, reason);
        if self.finish_spill(id) {
            return DiskFailure { decision: StorageDecision::Store(StorageTier::File), is_first };
        }
        self.stop_storing(id);
        DiskFailure { decision: StorageDecision::NotStored(reason), is_first }
    }

    /// Records that a write has succeeded, so that files may be created again. Returns whether the disk had
    /// failed since the last successful write.
    pub fn record_disk_success(&mut self) -> bool {
        self.disk.record_success()
    }

    /// Stores no byte of a body that arrives from now on. The bytes already stored stay stored.
    pub fn stop_storing(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.tier = StorageTier::NotStored;
        }
    }

    /// Releases bytes in memory that were written to the file of a body, or consumed by its reader; at most
    /// what the body holds.
    pub fn release_memory(&mut self, id: BodyId, bytes: u64) {
        if let Some(body) = self.bodies.get_mut(&id) {
            let released = bytes.min(body.memory_bytes);
            body.memory_bytes -= released;
            self.memory.release(body.budget_group, released);
        }
    }

    /// Releases all bytes that a body holds in its file.
    pub fn release_file(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            self.files.release(body.budget_group, std::mem::take(&mut body.file_bytes));
        }
    }

    /// Records that the whole body has arrived, which allows it to be spilled.
    pub fn mark_complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_complete = true;
        }
    }

    /// Whether memory is short and there is a directory for files, so that bodies are to be spilled.
    pub fn has_memory_pressure(&self) -> bool {
        let (numerator, denominator) = MEMORY_PRESSURE_FRACTION;
        let is_short = self.memory.used() * denominator > self.memory.total() * numerator;
        self.limits.files.is_some() && is_short
    }

    /// Chooses a complete body to move from memory to a file, if memory is short: of the budget group that
    /// uses the most memory, the largest body that is not small. The body is reserved in its file at once,
    /// and the caller releases its memory as the blocks are written. Ends with [`StoragePlan::finish_spill`].
    /// `None` also if another spill is in progress or no file can hold the chosen body.
    pub fn begin_spill(&mut self, now: Timestamp) -> Option<BodyId> {
        if !self.has_memory_pressure() || self.active_spills >= MAX_CONCURRENT_SPILLS {
            return None;
        }
        let id = self.spill_candidate()?;
        self.check_files_usable(now).ok()?;
        let max_bytes = self.limits.max_file_bytes_per_body();
        let body = self.bodies.get_mut(&id)?;
        if body.received_bytes > max_bytes
            || !self.files.try_reserve(body.budget_group, 0, body.received_bytes)
        {
            return None;
        }
        body.is_spilling = true;
        body.file_bytes = body.received_bytes;
        body.tier = StorageTier::File;
        self.active_spills += 1;
        Some(id)
    }

    fn spill_candidate(&self) -> Option<BodyId> {
        let spillable = self.bodies.iter().filter(|(_, body)| body.is_spillable());
        let largest =
            spillable.max_by_key(|(_, body)| (self.memory.used_by(body.budget_group), body.memory_bytes));
        largest.map(|(&id, _)| id)
    }

    /// Records that the spill of a body has succeeded or failed. Returns whether the body was being spilled.
    pub fn finish_spill(&mut self, id: BodyId) -> bool {
        let Some(body) = self.bodies.get_mut(&id) else { return false };
        let was_spilling = std::mem::take(&mut body.is_spilling);
        self.active_spills -= usize::from(was_spilling);
        was_spilling
    }

    /// Removes a body, and releases all bytes that it holds.
    pub fn remove(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.active_spills -= usize::from(body.is_spilling);
            self.memory.release(body.budget_group, body.memory_bytes);
            self.files.release(body.budget_group, body.file_bytes);
        }
    }

    /// Where a body is stored; `None` if the body is not registered.
    pub fn tier(&self, id: BodyId) -> Option<StorageTier> {
        self.bodies.get(&id).map(|body| body.tier)
    }

    /// The bytes that all bodies together hold in memory and in files.
    pub fn usage(&self) -> StorageUsage {
        StorageUsage { memory_bytes: self.memory.used(), file_bytes: self.files.used() }
    }

    /// The number of registered bodies.
    pub fn body_count(&self) -> usize {
        self.bodies.len()
    }
}

impl BodyAccount {
    /// Whether the body can be moved from memory to a file. Small bodies stay in memory.
    fn is_spillable(&self) -> bool {
        self.is_complete
            && !self.is_spilling
            && self.tier == StorageTier::Memory
            && self.memory_bytes > SMALL_BODY_BYTES
    }
}

impl StorageLimits {
    fn max_file_bytes(&self) -> u64 {
        self.files.as_ref().map_or(0, |files| files.max_bytes)
    }

    fn max_file_bytes_per_body(&self) -> u64 {
        self.files.as_ref().map_or(0, |files| files.max_bytes_per_body)
    }
}
