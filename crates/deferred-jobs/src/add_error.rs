//! Why a job is not added to the dependency graph.

use crate::dependency_graph::{JobName, JobOutcome};
use std::error::Error;
use std::fmt;

/// Why a job is not added to the dependency graph.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AddError {
    /// It would depend on itself. The names are those along the cycle, from the job back to itself.
    Cycle(Vec<JobName>),
    /// A job of this name has not concluded, or its outcome is still remembered.
    Duplicate,
    /// [`Limits::max_jobs`](crate::Limits::max_jobs) jobs have not concluded.
    TooManyJobs,
    /// It has more than [`Limits::max_dependencies`](crate::Limits::max_dependencies) unserved dependencies.
    TooManyDependencies,
    /// It would be on a chain of more than [`Limits::max_chain_length`](crate::Limits::max_chain_length)
    /// jobs.
    ChainTooLong,
    /// It depends on this unknown name, and [`Limits::unknown_names`](crate::Limits::unknown_names) rejects
    /// such names, or more of them than it allows would be awaited.
    UnknownName(JobName),
    /// A job that it depends on has concluded without being served.
    DependencyFailed {
        /// The job that has concluded.
        dependency: JobName,
        /// Its outcome, which is not [`JobOutcome::Served`].
        outcome: JobOutcome,
    },
}

impl fmt::Display for AddError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AddError::Cycle(names) => {
                write!(formatter, "the job would depend on itself: {}", names.join(" -> "))
            }
            AddError::Duplicate => {
                write!(formatter, "a job of this name has not concluded or is still remembered")
            }
            AddError::TooManyJobs => write!(formatter, "too many jobs have not concluded"),
            AddError::TooManyDependencies => write!(formatter, "the job has too many dependencies"),
            AddError::ChainTooLong => write!(formatter, "the chain of dependencies would be too long"),
            AddError::UnknownName(name) => write!(formatter, "the job depends on the unknown job {name:?}"),
            AddError::DependencyFailed { dependency, outcome } => {
                write!(formatter, "the job depends on {dependency:?}, which was not served: {outcome:?}")
            }
        }
    }
}

impl Error for AddError {}
