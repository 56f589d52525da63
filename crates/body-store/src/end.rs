//! Every way in which the coming of a body can end.

use crate::plan::{Step, Why};

/// How the coming of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
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

impl End {
    /// All ends, in the order of [`End::name`]'s list.
    pub const ALL: [End; 12] = [
        End::InMemory,
        End::InFile,
        End::Streamed,
        End::ClientBroke,
        End::TooLong,
        End::TooSlow,
        End::DiskFull,
        End::DiskFailed,
        End::DiskSlow,
        End::BudgetGone,
        End::Refused,
        End::NeverBegun,
    ];

    /// The end of a body that came whole.
    pub fn whole(step: Step) -> End {
        match step {
            Step::Memory => End::InMemory,
            Step::File => End::InFile,
            Step::Unkept => End::Streamed,
        }
    }

    /// The end of a body that can't be kept where such are refused.
    pub fn unkept(why: Why) -> End {
        match why {
            Why::Budget => End::BudgetGone,
            Why::DiskFull => End::DiskFull,
            Why::DiskFailed => End::DiskFailed,
            Why::DiskSlow => End::DiskSlow,
        }
    }

    /// Whether all of the body came.
    pub fn is_whole(self) -> bool {
        match self {
            End::InMemory | End::InFile | End::Streamed => true,
            End::ClientBroke | End::TooLong | End::TooSlow | End::Refused | End::NeverBegun => false,
            End::DiskFull | End::DiskFailed | End::DiskSlow | End::BudgetGone => false,
        }
    }

    /// Its name among the counters.
    pub fn name(self) -> &'static str {
        match self {
            End::InMemory => "body_in_memory",
            End::InFile => "body_in_file",
            End::Streamed => "body_streamed",
            End::ClientBroke => "body_client_broke",
            End::TooLong => "body_too_long",
            End::TooSlow => "body_too_slow",
            End::DiskFull => "body_disk_full",
            End::DiskFailed => "body_disk_failed",
            End::DiskSlow => "body_disk_slow",
            End::BudgetGone => "body_budget_gone",
            End::Refused => "body_refused",
            End::NeverBegun => "body_never_begun",
        }
    }
}

/// Why a body can't be read for an execution. Each is a failure of that execution's parcel, not of its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// It did not come whole.
    Ended(End),
    /// A part of it was passed on to another execution and is not kept.
    PassedOn,
    /// Its file could not be read.
    Failed,
    /// What was read from its file is not what was written.
    Corrupt,
}
