//! Why a job is not accepted.

use crate::dependency_graph::{JobName, JobOutcome};
use std::error::Error;
use std::fmt;

/// Why a job is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AddError {
    /// It would wait for itself: the names along the cycle, from the job back to it.
    Cycle(Vec<JobName>),
    /// A job of this name is known, or its end is still remembered.
    Duplicate,
    /// As many jobs are known as may be.
    TooManyJobs,
    /// It depends on more jobs than one may.
    TooManyDependencies,
    /// It would be on a longer chain of dependencies than there may be.
    ChainTooLong,
    /// It depends on a name that is not known here, and such names are rejected, or too many are awaited.
    UnknownName(JobName),
    /// A job that it depends on has ended without being served.
    DependencyFailed {
        /// The job that has ended.
        dependency: JobName,
        /// How it ended.
        outcome: JobOutcome,
    },
}

impl fmt::Display for AddError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AddError::Cycle(names) => {
                write!(formatter, "the job would wait for itself: {}", names.join(" -> "))
            }
            AddError::Duplicate => write!(formatter, "a job of this name is known"),
            AddError::TooManyJobs => write!(formatter, "too many jobs are known"),
            AddError::TooManyDependencies => write!(formatter, "the job has too many dependencies"),
            AddError::ChainTooLong => write!(formatter, "the chain of dependencies would be too long"),
            AddError::UnknownName(name) => write!(formatter, "no job {name:?} is known"),
            AddError::DependencyFailed { dependency, outcome } => {
                write!(formatter, "the job {dependency:?} has ended: {outcome:?}")
            }
        }
    }
}

impl Error for AddError {}
