//! Types for storage decisions: where a body is stored, and why it is not.

use std::time::Duration;

/// A point in time, as the duration since a start that the caller chooses and keeps.
pub type Timestamp = Duration;

/// Where a body is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StorageTier {
    /// All bytes that have arrived are in memory.
    #[default]
    Memory,
    /// In a file, except for the blocks that have not been written yet: these are in memory.
    File,
    /// The rest of the body is not stored, but streamed to a single reader as it arrives.
    NotStored,
}

/// Why a body is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotStoredReason {
    /// The body exceeds the limits for one stored body, a byte budget is used up, there is no directory for
    /// files, or the node's budget of file descriptors is used up.
    Budget,
    /// The disk is full, or a file would leave less free space than the configured minimum.
    DiskFull,
    /// A disk call returned an error other than a lack of space.
    DiskFailed,
    /// A disk call timed out, or the writes of the body were slower than the minimum rate.
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

    /// The name of the metric that counts bodies not stored for this reason.
    pub fn metric_name(self) -> &'static str {
        match self {
            NotStoredReason::Budget => "not_stored_budget",
            NotStoredReason::DiskFull => "not_stored_disk_full",
            NotStoredReason::DiskFailed => "not_stored_disk_failed",
            NotStoredReason::DiskSlow => "not_stored_disk_slow",
        }
    }
}

/// What the writer does with the next piece of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageDecision {
    /// Stores the piece; the whole body belongs in this tier now.
    Store(StorageTier),
    /// Stores neither the piece nor anything after it.
    NotStored(NotStoredReason),
    /// Rejects the body, which is longer than the largest body that is accepted.
    TooLarge,
}
