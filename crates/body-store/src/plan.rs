//! Decides where each body is stored. Events in, decisions out, time passed in; no I/O.
//!
//! A body moves up the tiers as it grows: memory while it fits its own limit and the budget, then a file that
//! takes over what memory held, then not stored. It never moves back down. The caller reserves room for each
//! piece before it takes it in ([`StoragePlan::reserve`]), carries the decision out, and reports what it has
//! released.

use crate::budget::{Budget, SMALL_BODY_BYTES};
use crate::decision::{NotStoredReason, StorageDecision, StorageTier, Timestamp};
use crate::disk_health::DiskHealth;
use std::collections::BTreeMap;

/// Memory is short where more than this fraction of the memory budget is used, as numerator and denominator.
const MEMORY_PRESSURE_FRACTION: (u64, u64) = (7, 8);
/// Bodies that may be on their way from memory to a file at the same time.
const MAX_CONCURRENT_SPILLS: usize = 1;

/// Identifies a body for as long as its request lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// A body that the plan has begun to track.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisteredBody {
    /// Identifies the body in later calls.
    pub id: BodyId,
    /// Where its first piece goes.
    pub decision: StorageDecision,
}

/// The consequence of a disk failure for the body that met it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskFailure {
    /// Where the body is stored from here on.
    pub decision: StorageDecision,
    /// Whether this is the first failure since the disk last worked.
    pub is_first: bool,
}

/// Bytes that bodies hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StorageUsage {
    /// In memory.
    pub memory_bytes: u64,
    /// In files, including files that are still being written.
    pub file_bytes: u64,
}

/// The limits that the plan enforces, in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorageLimits {
    /// The largest body that is accepted.
    pub max_body_bytes: u64,
    /// The largest part of one body in memory.
    pub max_memory_bytes_per_body: u64,
    /// The memory of all bodies together.
    pub max_memory_bytes: u64,
    /// The limits of files; `None` if there is no directory for them.
    pub files: Option<FileLimits>,
}

/// The limits of files, in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileLimits {
    /// The largest body in a file.
    pub max_bytes_per_body: u64,
    /// All files together.
    pub max_bytes: u64,
    /// The space that must stay free in the file system.
    pub min_free_bytes: u64,
}

/// What the plan knows about one body.
#[derive(Debug)]
struct BodyAccount {
    tenant: usize,
    tier: StorageTier,
    /// Bytes that have arrived.
    length: u64,
    memory_bytes: u64,
    file_bytes: u64,
    /// All of it has arrived.
    is_complete: bool,
    /// It is on its way from memory to a file after it was complete.
    is_spilling: bool,
}

/// Decides where each body is stored, and counts what all of them hold.
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
    /// A plan for the bodies of `tenants` tenants (class and state office); 0 counts as 1.
    pub fn new(limits: StorageLimits, tenants: usize) -> StoragePlan {
        StoragePlan {
            memory: Budget::new(limits.max_memory_bytes, tenants),
            files: Budget::new(limits.max_file_bytes(), tenants),
            limits,
            disk: DiskHealth::default(),
            bodies: BTreeMap::new(),
            next_id: 0,
            active_spills: 0,
        }
    }

    /// Changes the limits. Bodies in memory beyond a lower limit are spilled by [`StoragePlan::begin_spill`]; what
    /// can't be moved stays until its request ends.
    pub fn configure(&mut self, limits: StorageLimits) {
        self.memory.resize(limits.max_memory_bytes);
        self.files.resize(limits.max_file_bytes());
        if limits.files != self.limits.files {
            self.disk = DiskHealth::default();
        }
        self.limits = limits;
    }

    /// The limits in force.
    pub fn limits(&self) -> &StorageLimits {
        &self.limits
    }

    /// Begins to track a body of `tenant`, whose length is known if the client declared it.
    pub fn register(
        &mut self,
        now: Timestamp,
        tenant: usize,
        declared_length: Option<u64>,
    ) -> RegisteredBody {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let account = BodyAccount {
            tenant: tenant.min(self.memory.group_count() - 1),
            tier: StorageTier::Memory,
            length: 0,
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

    /// Reserves room for the next `more` bytes of a body. Where they are stored, they count as held from here
    /// on.
    pub fn reserve(&mut self, now: Timestamp, id: BodyId, more: u64) -> StorageDecision {
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLarge };
        let length = body.length.saturating_add(more);
        if length > self.limits.max_body_bytes {
            return StorageDecision::TooLarge;
        }
        body.length = length;
        match body.tier {
            StorageTier::NotStored => StorageDecision::NotStored(NotStoredReason::Budget),
            StorageTier::Memory => self.reserve_memory(now, id, more),
            StorageTier::File => self.reserve_in_file(id, more),
        }
    }

    fn reserve_memory(&mut self, now: Timestamp, id: BodyId, more: u64) -> StorageDecision {
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLarge };
        let length = body.length;
        let fits = length <= self.limits.max_memory_bytes_per_body;
        if fits && self.memory.try_reserve(body.tenant, body.memory_bytes, more) {
            body.memory_bytes += more;
            return StorageDecision::Store(StorageTier::Memory);
        }
        self.move_out_of_memory(now, id, length)
    }

    fn reserve_in_file(&mut self, id: BodyId, more: u64) -> StorageDecision {
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLarge };
        let fits = body.length <= self.limits.max_file_bytes_per_body();
        if !fits || !self.files.try_reserve(body.tenant, body.file_bytes, more) {
            body.tier = StorageTier::NotStored;
            return StorageDecision::NotStored(NotStoredReason::Budget);
        }
        body.file_bytes += more;
        StorageDecision::Store(StorageTier::File)
    }

    /// Moves a body that memory can't hold to a file that takes all of it, or stops storing it.
    fn move_out_of_memory(&mut self, now: Timestamp, id: BodyId, expected_length: u64) -> StorageDecision {
        let file_allowed = self.check_files_usable(now);
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLarge };
        if let Err(reason) = file_allowed {
            body.tier = StorageTier::NotStored;
            return StorageDecision::NotStored(reason);
        }
        let fits = expected_length <= self.limits.max_file_bytes_per_body();
        if !fits || !self.files.try_reserve(body.tenant, 0, body.length) {
            body.tier = StorageTier::NotStored;
            return StorageDecision::NotStored(NotStoredReason::Budget);
        }
        body.tier = StorageTier::File;
        body.file_bytes = body.length;
        StorageDecision::Store(StorageTier::File)
    }

    /// Whether a file may be created: there is a directory, and no recent failure disables the disk.
    fn check_files_usable(&self, now: Timestamp) -> Result<(), NotStoredReason> {
        if self.limits.files.is_none() {
            return Err(NotStoredReason::Budget);
        }
        self.disk.check(now)
    }

    /// Whether a file system with `free_bytes` left has room for the file of a body.
    pub fn has_free_space(&self, id: BodyId, free_bytes: u64) -> bool {
        let must_stay_free = self.limits.files.as_ref().map_or(0, |files| files.min_free_bytes);
        let needed = self.bodies.get(&id).map_or(0, |body| body.length);
        free_bytes >= must_stay_free.saturating_add(needed)
    }

    /// Records that the disk has failed a body: the disk is disabled for a while, and nothing more of the
    /// body is stored. A body that was being spilled is complete, partly in its file and partly in memory,
    /// and stays so.
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

    /// Records that the disk has taken a piece: files may be created again. Returns whether the disk had
    /// failed before.
    pub fn record_disk_success(&mut self) -> bool {
        self.disk.record_success()
    }

    /// Stores nothing more of a body.
    pub fn stop_storing(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.tier = StorageTier::NotStored;
        }
    }

    /// Releases memory of a body: bytes that were written to its file, or consumed.
    pub fn release_memory(&mut self, id: BodyId, bytes: u64) {
        if let Some(body) = self.bodies.get_mut(&id) {
            let released = bytes.min(body.memory_bytes);
            body.memory_bytes -= released;
            self.memory.release(body.tenant, released);
        }
    }

    /// Releases the file of a body.
    pub fn release_file(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            self.files.release(body.tenant, std::mem::take(&mut body.file_bytes));
        }
    }

    /// Records that all of a body has arrived.
    pub fn mark_complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_complete = true;
        }
    }

    /// Whether memory is short and there are files to spill bodies to.
    pub fn has_memory_pressure(&self) -> bool {
        let (numerator, denominator) = MEMORY_PRESSURE_FRACTION;
        let is_short = self.memory.used() * denominator > self.memory.total() * numerator;
        self.limits.files.is_some() && is_short
    }

    /// Chooses a complete body to move from memory to a file, if memory is short: the largest of the tenant
    /// that holds most of it, except for small ones. It counts as held in both until [`StoragePlan::finish_spill`].
    pub fn begin_spill(&mut self, now: Timestamp) -> Option<BodyId> {
        if !self.has_memory_pressure() || self.active_spills >= MAX_CONCURRENT_SPILLS {
            return None;
        }
        let id = self.largest_spillable()?;
        self.check_files_usable(now).ok()?;
        let max_bytes = self.limits.max_file_bytes_per_body();
        let body = self.bodies.get_mut(&id)?;
        if body.length > max_bytes || !self.files.try_reserve(body.tenant, 0, body.length) {
            return None;
        }
        body.is_spilling = true;
        body.file_bytes = body.length;
        body.tier = StorageTier::File;
        self.active_spills += 1;
        Some(id)
    }

    fn largest_spillable(&self) -> Option<BodyId> {
        let spillable = self.bodies.iter().filter(|(_, body)| body.is_spillable());
        let largest = spillable.max_by_key(|(_, body)| (self.memory.used_by(body.tenant), body.memory_bytes));
        largest.map(|(&id, _)| id)
    }

    /// Records that a spill is over. Returns whether the body was being spilled.
    pub fn finish_spill(&mut self, id: BodyId) -> bool {
        let Some(body) = self.bodies.get_mut(&id) else { return false };
        let was_spilling = std::mem::take(&mut body.is_spilling);
        self.active_spills -= usize::from(was_spilling);
        was_spilling
    }

    /// Forgets a body and releases all that it held.
    pub fn remove(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.active_spills -= usize::from(body.is_spilling);
            self.memory.release(body.tenant, body.memory_bytes);
            self.files.release(body.tenant, body.file_bytes);
        }
    }

    /// Where a body is stored; `None` for one that is not tracked.
    pub fn tier(&self, id: BodyId) -> Option<StorageTier> {
        self.bodies.get(&id).map(|body| body.tier)
    }

    /// The bytes that all bodies hold.
    pub fn usage(&self) -> StorageUsage {
        StorageUsage { memory_bytes: self.memory.used(), file_bytes: self.files.used() }
    }

    /// The number of bodies that are tracked.
    pub fn body_count(&self) -> usize {
        self.bodies.len()
    }
}

impl BodyAccount {
    /// Whether it can be moved from memory to a file: complete, not being moved, and not small.
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
