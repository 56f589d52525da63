//! Every way in which the coming of a body can end.

use crate::plan::{NotStoredReason, StorageTier};

/// How the coming of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BodyEnd {
    /// All of it came and is kept in memory.
    InMemory,
    /// All of it came and is kept in a file.
    InFile,
    /// All of it came and was, or is being, passed on; not all of it is kept.
    Streamed,
    /// The client ended or broke its connection before all of it had come.
    ClientBroke,
    /// It is longer than any that is taken, or than it was said to be.
    TooLong,
    /// It came too slowly.
    TooSlow,
    /// The disk was full, and what can't be kept is refused.
    DiskFull,
    /// The disk failed, and what can't be kept is refused.
    DiskFailed,
    /// The disk was slower than the client, and what can't be kept is refused.
    DiskSlow,
    /// The budgets had no room for it, and what can't be kept is refused.
    BudgetGone,
    /// Its request had its final answer before all of it had come.
    Refused,
    /// Its request had its final answer, or its client went, before any of it had come.
    NeverBegun,
}

impl BodyEnd {
    /// All ends, in the order of [`BodyEnd::name`]'s list.
    pub const ALL: [BodyEnd; 12] = [
        BodyEnd::InMemory,
        BodyEnd::InFile,
        BodyEnd::Streamed,
        BodyEnd::ClientBroke,
        BodyEnd::TooLong,
        BodyEnd::TooSlow,
        BodyEnd::DiskFull,
        BodyEnd::DiskFailed,
        BodyEnd::DiskSlow,
        BodyEnd::BudgetGone,
        BodyEnd::Refused,
        BodyEnd::NeverBegun,
    ];

    /// The end of a body that came whole.
    pub fn whole(step: StorageTier) -> BodyEnd {
        match step {
            StorageTier::Memory => BodyEnd::InMemory,
            StorageTier::File => BodyEnd::InFile,
            StorageTier::NotStored => BodyEnd::Streamed,
        }
    }

    /// The end of a body that can't be kept where such are refused.
    pub fn unkept(why: NotStoredReason) -> BodyEnd {
        match why {
            NotStoredReason::Budget => BodyEnd::BudgetGone,
            NotStoredReason::DiskFull => BodyEnd::DiskFull,
            NotStoredReason::DiskFailed => BodyEnd::DiskFailed,
            NotStoredReason::DiskSlow => BodyEnd::DiskSlow,
        }
    }

    /// Whether all of the body came.
    pub fn is_whole(self) -> bool {
        match self {
            BodyEnd::InMemory | BodyEnd::InFile | BodyEnd::Streamed => true,
            BodyEnd::ClientBroke
            | BodyEnd::TooLong
            | BodyEnd::TooSlow
            | BodyEnd::Refused
            | BodyEnd::NeverBegun => false,
            BodyEnd::DiskFull | BodyEnd::DiskFailed | BodyEnd::DiskSlow | BodyEnd::BudgetGone => false,
        }
    }

    /// Its name among the counters.
    pub fn name(self) -> &'static str {
        match self {
            BodyEnd::InMemory => "body_in_memory",
            BodyEnd::InFile => "body_in_file",
            BodyEnd::Streamed => "body_streamed",
            BodyEnd::ClientBroke => "body_client_disconnected",
            BodyEnd::TooLong => "body_too_large",
            BodyEnd::TooSlow => "body_too_slow",
            BodyEnd::DiskFull => "body_disk_full",
            BodyEnd::DiskFailed => "body_disk_failed",
            BodyEnd::DiskSlow => "body_disk_slow",
            BodyEnd::BudgetGone => "body_budget_exhausted",
            BodyEnd::Refused => "body_request_concluded",
            BodyEnd::NeverBegun => "body_never_started",
        }
    }
}

/// Why a body can't be read for an execution. Each is a failure of that execution's parcel, not of its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReadError {
    /// It did not come whole.
    Ended(BodyEnd),
    /// A part of it was passed on to another execution and is not kept.
    PassedOn,
    /// Its file could not be read.
    Failed,
    /// What was read from its file is not what was written.
    Corrupt,
}
