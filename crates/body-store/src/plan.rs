//! What is kept where: the decision part. Events in, verdicts out, time passed in; no I/O.
//!
//! A body goes up the steps as it grows: memory while it fits its own bound and the budget, then a file that takes
//! what memory held, then not kept. It never goes back down. Whoever carries this out asks before each piece that it
//! takes in ([`Plan::want`]) and tells what it has freed.

use crate::budget::{Budget, SMALL};
use std::collections::BTreeMap;
use std::time::Duration;

/// A point in time: since any fixed moment.
pub type Now = Duration;

/// Files stay closed for so long after a trouble with the disk, the first time; each further one doubles it.
const PAUSE: Duration = Duration::from_secs(1);
/// The longest that files stay closed before one body tries again.
const PAUSE_MOST: Duration = Duration::from_secs(30);
/// Where memory is used beyond this share, bodies that are whole are moved to files: seven eighths.
const PRESSURE: (u64, u64) = (7, 8);
/// Moves to files that may be under way at once.
const MOVES: usize = 1;

/// A body, for as long as its request lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// Where a body is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StorageTier {
    /// In memory.
    #[default]
    Memory,
    /// In a file, or on its way there.
    File,
    /// Not kept: what comes can be passed on once.
    NotStored,
}

/// Why a body is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotStoredReason {
    /// It is larger than any one that is kept, or the budgets are used up.
    Budget,
    /// The disk is full, or has no more than is to be left free.
    DiskFull,
    /// The disk has failed.
    DiskFailed,
    /// The disk was slower than the client.
    DiskSlow,
}

/// What is to become of the next piece of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageDecision {
    /// Keep it there.
    Keep(StorageTier),
    /// From here on nothing more is kept of it.
    NotStored(NotStoredReason),
    /// The body is larger than any that is taken.
    TooLong,
}

/// What the plan goes by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest body that is taken.
    pub largest: u64,
    /// The most of one body in memory.
    pub memory_each: u64,
    /// The most of all bodies in memory.
    pub memory_total: u64,
    /// The most of one body in a file, and of all; `None` where there are no files.
    pub files: Option<FileLimits>,
}

/// The bounds of files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileLimits {
    /// The most of one body.
    pub each: u64,
    /// The most of all bodies.
    pub total: u64,
    /// What the file system must have left.
    pub leave_free: u64,
}

#[derive(Debug)]
struct Account {
    party: usize,
    step: StorageTier,
    length: u64,
    in_memory: u64,
    in_file: u64,
    whole: bool,
    moving: bool,
}

/// The troubles of the disk.
#[derive(Debug, Default)]
struct Trouble {
    why: Option<NotStoredReason>,
    closed_until: Now,
    pause: Duration,
}

/// Says of each body where it is kept.
#[derive(Debug)]
pub struct Plan {
    limits: Limits,
    memory: Budget,
    files: Budget,
    disk: Trouble,
    bodies: BTreeMap<BodyId, Account>,
    next: u64,
    moves: usize,
}

impl Plan {
    /// A plan for bodies of so many parties (class and state office), at least one.
    pub fn new(limits: Limits, parties: usize) -> Plan {
        let files = limits.files.as_ref().map_or(0, |f| f.total);
        Plan {
            memory: Budget::new(limits.memory_total, parties),
            files: Budget::new(files, parties),
            limits,
            disk: Trouble::default(),
            bodies: BTreeMap::new(),
            next: 0,
            moves: 0,
        }
    }

    /// Other limits, from now on. What is held beyond them steps down by [`Plan::relief`], or stays until its request
    /// ends where it can't be moved.
    pub fn configure(&mut self, limits: Limits) {
        self.memory.resize(limits.memory_total);
        self.files.resize(limits.files.as_ref().map_or(0, |f| f.total));
        if limits.files != self.limits.files {
            self.disk = Trouble::default();
        }
        self.limits = limits;
    }

    /// The limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Takes in a body of `party`, which has told its length or not.
    pub fn begin(&mut self, now: Now, party: usize, declared: Option<u64>) -> (BodyId, StorageDecision) {
        let id = BodyId(self.next);
        self.next += 1;
        let (step, party) = (StorageTier::Memory, party.min(self.memory.parties() - 1));
        let account =
            Account { party, step, length: 0, in_memory: 0, in_file: 0, whole: false, moving: false };
        self.bodies.insert(id, account);
        let verdict = match declared {
            Some(length) if length > self.limits.largest => StorageDecision::TooLong,
            Some(length) if length > self.limits.memory_each => self.up(now, id, length),
            _ => StorageDecision::Keep(StorageTier::Memory),
        };
        (id, verdict)
    }

    /// A body has `more` bytes to come next. They count as held from here on where they are kept.
    pub fn want(&mut self, now: Now, id: BodyId, more: u64) -> StorageDecision {
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLong };
        let length = body.length.saturating_add(more);
        if length > self.limits.largest {
            return StorageDecision::TooLong;
        }
        body.length = length;
        match body.step {
            StorageTier::NotStored => StorageDecision::NotStored(NotStoredReason::Budget),
            StorageTier::Memory => {
                let fits = length <= self.limits.memory_each;
                if fits && self.memory.take(body.party, body.in_memory, more) {
                    body.in_memory += more;
                    return StorageDecision::Keep(StorageTier::Memory);
                }
                self.up(now, id, length)
            }
            StorageTier::File => {
                let each = self.limits.files.as_ref().map_or(0, |f| f.each);
                if length > each || !self.files.take(body.party, body.in_file, more) {
                    body.step = StorageTier::NotStored;
                    return StorageDecision::NotStored(NotStoredReason::Budget);
                }
                body.in_file += more;
                StorageDecision::Keep(StorageTier::File)
            }
        }
    }

    /// Out of memory: into a file that takes all of it, or not kept.
    fn up(&mut self, now: Now, id: BodyId, expected: u64) -> StorageDecision {
        let open = self.files_open(now);
        let Some(body) = self.bodies.get_mut(&id) else { return StorageDecision::TooLong };
        let each = self.limits.files.as_ref().map_or(0, |f| f.each);
        let why = match open {
            Err(why) => why,
            Ok(()) if expected > each || !self.files.take(body.party, 0, body.length) => {
                NotStoredReason::Budget
            }
            Ok(()) => {
                body.step = StorageTier::File;
                body.in_file = body.length;
                return StorageDecision::Keep(StorageTier::File);
            }
        };
        body.step = StorageTier::NotStored;
        StorageDecision::NotStored(why)
    }

    /// Whether a file may be begun. After a trouble they are closed for a pause; then one body tries again.
    fn files_open(&self, now: Now) -> Result<(), NotStoredReason> {
        match (&self.limits.files, self.disk.why) {
            (None, _) => Err(NotStoredReason::Budget),
            (Some(_), Some(why)) if now < self.disk.closed_until => Err(why),
            (Some(_), _) => Ok(()),
        }
    }

    /// Whether the file system, which has `free` bytes left, has room for a body's file.
    pub fn has_room(&self, id: BodyId, free: u64) -> bool {
        let leave = self.limits.files.as_ref().map_or(0, |f| f.leave_free);
        let needed = self.bodies.get(&id).map_or(0, |b| b.length);
        free >= leave.saturating_add(needed)
    }

    /// The disk has failed a body: files are closed for a while, and the body is not kept from here on. What had been
    /// written of it can still be read, or shows when it is.
    /// With it comes whether this is news: the disk was well before.
    pub fn trouble(&mut self, now: Now, id: BodyId, why: NotStoredReason) -> (StorageDecision, bool) {
        // Of the bodies that meet the same trouble only the first one closes the files for longer.
        if now >= self.disk.closed_until {
            self.disk.pause = (self.disk.pause * 2).clamp(PAUSE, PAUSE_MOST);
            self.disk.closed_until = now + self.disk.pause;
        }
        let news = self.disk.why.replace(why).is_none();
        if let Some(body) = self.bodies.get_mut(&id) {
            if std::mem::take(&mut body.moving) {
                // It is whole, partly in the file and the rest in memory, and stays so.
                self.moves -= 1;
                return (StorageDecision::Keep(StorageTier::File), news);
            }
            body.step = StorageTier::NotStored;
        }
        (StorageDecision::NotStored(why), news)
    }

    /// From here on nothing more of a body is kept, for a reason that the plan does not know of: no descriptor was free.
    pub fn unkept(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.step = StorageTier::NotStored;
        }
    }

    /// The disk has taken a body whole, or a piece after a trouble: files are open as before.
    pub fn disk_well(&mut self) -> bool {
        self.disk.pause = Duration::ZERO;
        self.disk.why.take().is_some()
    }

    /// So many bytes of a body have gone from memory: written to its file, or passed on.
    pub fn left_memory(&mut self, id: BodyId, bytes: u64) {
        if let Some(body) = self.bodies.get_mut(&id) {
            let gone = bytes.min(body.in_memory);
            body.in_memory -= gone;
            self.memory.give_back(body.party, gone);
        }
    }

    /// A body's file has gone, since all of it was passed on.
    pub fn left_file(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            self.files.give_back(body.party, std::mem::take(&mut body.in_file));
        }
    }

    /// All of a body has come.
    pub fn whole(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.whole = true;
        }
    }

    /// Whether memory is short and there are files to move bodies to.
    pub fn pressed(&self) -> bool {
        let (part, of) = PRESSURE;
        self.limits.files.is_some() && self.memory.used() * of > self.memory.total() * part
    }

    /// A whole body to be moved from memory to a file now, where memory is short: the largest of the party that
    /// holds most of it. Small ones stay. It counts as held in both until the move is over.
    pub fn relief(&mut self, now: Now) -> Option<BodyId> {
        if !self.pressed() || self.moves >= MOVES {
            return None;
        }
        let movable = self
            .bodies
            .iter()
            .filter(|(_, b)| b.whole && !b.moving && b.step == StorageTier::Memory && b.in_memory > SMALL);
        let heaviest = movable.max_by_key(|(_, b)| (self.memory.held_by(b.party), b.in_memory));
        let id = *heaviest?.0;
        let length = self.bodies[&id].length;
        self.files_open(now).ok()?;
        let each = self.limits.files.as_ref().map_or(0, |f| f.each);
        let body = self.bodies.get_mut(&id)?;
        if length > each || !self.files.take(body.party, 0, length) {
            return None;
        }
        (body.moving, body.in_file, body.step) = (true, length, StorageTier::File);
        self.moves += 1;
        Some(id)
    }

    /// A move to a file is over.
    pub fn moved(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id)
            && std::mem::take(&mut body.moving)
        {
            self.moves -= 1;
        }
    }

    /// A body's request has ended: all that it held is free.
    pub fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.moves -= usize::from(body.moving);
            self.memory.give_back(body.party, body.in_memory);
            self.files.give_back(body.party, body.in_file);
        }
    }

    /// Where a body is kept.
    pub fn step(&self, id: BodyId) -> Option<StorageTier> {
        self.bodies.get(&id).map(|b| b.step)
    }

    /// Bytes held in memory and in files.
    pub fn held(&self) -> (u64, u64) {
        (self.memory.used(), self.files.used())
    }

    /// BodyStore that there are.
    pub fn bodies(&self) -> usize {
        self.bodies.len()
    }
}
