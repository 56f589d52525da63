//! How the upload of a body ended, and why a body can't be read.

use crate::decision::{NotStoredReason, StorageTier};
use std::fmt;

/// How the upload of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BodyEnd {
    /// Complete, and stored in memory.
    InMemory,
    /// Complete, and stored in a file.
    InFile,
    /// Complete, but not all of it is stored: it can be, or was, streamed to one reader.
    Streamed,
    /// The client closed or broke its connection in mid-body.
    ClientDisconnected,
    /// It is longer than the limit, or than its declared length.
    TooLarge,
    /// It arrived too slowly.
    TooSlow,
    /// Rejected: the disk was full, and bodies that can't be stored are rejected.
    DiskFull,
    /// Rejected: the disk failed, and bodies that can't be stored are rejected.
    DiskFailed,
    /// Rejected: the disk was slower than the client, and bodies that can't be stored are rejected.
    DiskSlow,
    /// Rejected: the budgets had no room for it, and bodies that can't be stored are rejected.
    BudgetExhausted,
    /// The request was concluded before all of the body had arrived.
    RequestConcluded,
    /// The request was concluded, or the client disconnected, before any of the body had arrived.
    NeverStarted,
}

impl BodyEnd {
    /// All ends, in the order in which their counters are printed.
    pub const ALL: [BodyEnd; 12] = [
        BodyEnd::InMemory,
        BodyEnd::InFile,
        BodyEnd::Streamed,
        BodyEnd::ClientDisconnected,
        BodyEnd::TooLarge,
        BodyEnd::TooSlow,
        BodyEnd::DiskFull,
        BodyEnd::DiskFailed,
        BodyEnd::DiskSlow,
        BodyEnd::BudgetExhausted,
        BodyEnd::RequestConcluded,
        BodyEnd::NeverStarted,
    ];

    /// The end of a body that is complete, and stored in this tier.
    pub fn complete(tier: StorageTier) -> BodyEnd {
        match tier {
            StorageTier::Memory => BodyEnd::InMemory,
            StorageTier::File => BodyEnd::InFile,
            StorageTier::NotStored => BodyEnd::Streamed,
        }
    }

    /// The end of a body that is rejected because it can't be stored.
    pub fn rejected(reason: NotStoredReason) -> BodyEnd {
        match reason {
            NotStoredReason::Budget => BodyEnd::BudgetExhausted,
            NotStoredReason::DiskFull => BodyEnd::DiskFull,
            NotStoredReason::DiskFailed => BodyEnd::DiskFailed,
            NotStoredReason::DiskSlow => BodyEnd::DiskSlow,
        }
    }

    /// Whether all of the body arrived.
    pub fn is_complete(self) -> bool {
        match self {
            BodyEnd::InMemory | BodyEnd::InFile | BodyEnd::Streamed => true,
            BodyEnd::ClientDisconnected
            | BodyEnd::TooLarge
            | BodyEnd::TooSlow
            | BodyEnd::RequestConcluded
            | BodyEnd::NeverStarted => false,
            BodyEnd::DiskFull | BodyEnd::DiskFailed | BodyEnd::DiskSlow | BodyEnd::BudgetExhausted => false,
        }
    }

    /// The name of its counter.
    pub fn metric_name(self) -> &'static str {
        match self {
            BodyEnd::InMemory => "body_in_memory",
            BodyEnd::InFile => "body_in_file",
            BodyEnd::Streamed => "body_streamed",
            BodyEnd::ClientDisconnected => "body_client_disconnected",
            BodyEnd::TooLarge => "body_too_large",
            BodyEnd::TooSlow => "body_too_slow",
            BodyEnd::DiskFull => "body_disk_full",
            BodyEnd::DiskFailed => "body_disk_failed",
            BodyEnd::DiskSlow => "body_disk_slow",
            BodyEnd::BudgetExhausted => "body_budget_exhausted",
            BodyEnd::RequestConcluded => "body_request_concluded",
            BodyEnd::NeverStarted => "body_never_started",
        }
    }
}

/// Why a body can't be read for an attempt. Each concerns that attempt's copy of the body, not its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReadError {
    /// The body is not complete.
    Ended(BodyEnd),
    /// A part of it was streamed to another attempt and is not stored.
    Consumed,
    /// Its file could not be read.
    Failed,
    /// A block in its file has another checksum than when it was written.
    Corrupt,
}

impl fmt::Display for BodyReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyReadError::Ended(end) => write!(f, "the body is not complete: {}", end.metric_name()),
            BodyReadError::Consumed => f.write_str("a part of the body was streamed to another attempt"),
            BodyReadError::Failed => f.write_str("the body's file can't be read"),
            BodyReadError::Corrupt => f.write_str("the body's file is corrupt"),
        }
    }
}

impl std::error::Error for BodyReadError {}
