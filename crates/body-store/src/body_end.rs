//! How the upload of a body ended, and why reading a body failed.

use crate::decision::{NotStoredReason, StorageTier};
use std::fmt;

/// How the upload of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BodyEnd {
    /// The whole body has arrived and is stored in memory.
    InMemory,
    /// The whole body has arrived and is stored in a file.
    InFile,
    /// The whole body has arrived, but only its first part, if any, is stored. A single reader receives the
    /// rest.
    Streamed,
    /// The client closed or reset its connection before the whole body had arrived, or sent a body whose
    /// framing is malformed.
    ClientDisconnected,
    /// The body is longer than the largest accepted body.
    TooLarge,
    /// The next bytes of the body had not arrived by a deadline that the front end enforces, such as the one
    /// that follows from the minimum upload rate.
    TooSlow,
    /// Rejected by the settings, since the body could not be stored: the disk was full.
    DiskFull,
    /// Rejected by the settings, since the body could not be stored: a disk call returned an error.
    DiskFailed,
    /// Rejected by the settings, since the body could not be stored: a disk call timed out, or writes were
    /// slower than the minimum rate.
    DiskSlow,
    /// Rejected by the settings, since the body could not be stored: it exceeds a limit, or a budget of bytes
    /// or file descriptors is used up.
    BudgetExhausted,
    /// The writer was dropped after a part of the body had arrived. Usually the request was concluded by
    /// then.
    RequestConcluded,
    /// The writer was dropped before any byte had arrived: the request was concluded, or the client
    /// disconnected.
    NeverStarted,
}

impl BodyEnd {
    /// All variants, in the order in which their metrics are printed.
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

    /// The end of an upload of which all bytes have arrived, by the tier of the body.
    pub fn complete(tier: StorageTier) -> BodyEnd {
        match tier {
            StorageTier::Memory => BodyEnd::InMemory,
            StorageTier::File => BodyEnd::InFile,
            StorageTier::NotStored => BodyEnd::Streamed,
        }
    }

    /// The end of an upload that is rejected because the body can't be stored.
    pub fn rejected(reason: NotStoredReason) -> BodyEnd {
        match reason {
            NotStoredReason::Budget => BodyEnd::BudgetExhausted,
            NotStoredReason::DiskFull => BodyEnd::DiskFull,
            NotStoredReason::DiskFailed => BodyEnd::DiskFailed,
            NotStoredReason::DiskSlow => BodyEnd::DiskSlow,
        }
    }

    /// Whether the whole body has arrived.
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

    /// The name of the metric that counts uploads with this end.
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

/// Why an attempt can't read its body to the end. The cause lies in the upload or the storage of the body,
/// never in the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReadError {
    /// The upload has ended before the whole body had arrived.
    Ended(BodyEnd),
    /// The reader of another attempt has received bytes that are not stored.
    Consumed,
    /// A block could not be read from the file of the body.
    Failed,
    /// The checksum of a block in the file differs from the one computed when the block was written.
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
