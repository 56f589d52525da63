//! Where a body can be stored, and why it is not: the plain types that other modules share.

use std::time::Duration;

/// A point in time, as the duration since any fixed moment.
pub type Timestamp = Duration;

/// Where a body is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StorageTier {
    /// In memory.
    #[default]
    Memory,
    /// In a file, or on its way there.
    File,
    /// Not stored: what arrives can be streamed to one reader only.
    NotStored,
}

/// Why a body is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotStoredReason {
    /// It is larger than the limit for one stored body, or the budgets are used up.
    Budget,
    /// The disk is full, or has no more than the space that must stay free.
    DiskFull,
    /// The disk has failed.
    DiskFailed,
    /// The disk was slower than the client.
    DiskSlow,
}

impl NotStoredReason {
    /// All reasons, in the order in which their counters are printed.
    pub const ALL: [NotStoredReason; 4] = [
        NotStoredReason::Budget,
        NotStoredReason::DiskFull,
        NotStoredReason::DiskFailed,
        NotStoredReason::DiskSlow,
    ];

    /// The name of its counter.
    pub fn metric_name(self) -> &'static str {
        match self {
            NotStoredReason::Budget => "not_stored_budget",
            NotStoredReason::DiskFull => "not_stored_disk_full",
            NotStoredReason::DiskFailed => "not_stored_disk_failed",
            NotStoredReason::DiskSlow => "not_stored_disk_slow",
        }
    }
}

/// What to do with the next piece of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageDecision {
    /// Store it in this tier.
    Store(StorageTier),
    /// Store nothing more of this body.
    NotStored(NotStoredReason),
    /// Reject the body: it is larger than any that is accepted.
    TooLarge,
}
