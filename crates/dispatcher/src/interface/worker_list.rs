//! The worker list and its updates.

use crate::interface::{Micros, WorkerId};

/// State of a worker's process, according to the worker list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts new work.
    Ready,
    /// It completes the work that it has and accepts no more.
    Draining,
    /// It was removed from the list.
    #[default]
    Gone,
}

/// Entry of the worker list.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// Worker that the entry describes.
    pub worker: WorkerId,
    /// Hash of the worker's name, the same at every dispatcher, from which workers are assigned to affinity
    /// keys and dispatchers.
    pub name_hash: u64,
    /// State of its process.
    pub lifecycle: Lifecycle,
    /// Time at which its process started; 0 if that is long ago.
    pub started_at: Micros,
    /// Index of its worker kind, that is, its machine type.
    pub kind: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Identifier of its cell.
    pub cell: u64,
    /// Capacity relative to other workers; see [`crate::Settings::weights_include_load`].
    pub weight: f64,
}

/// Update of the worker list.
#[derive(Clone, Debug)]
pub enum WorkerListUpdate {
    /// The entries that changed.
    Delta(Vec<WorkerEntry>),
    /// The complete list; a worker that is not in it is gone.
    Full(Vec<WorkerEntry>),
    /// The complete list from a cache, which may be outdated.
    Cached(Vec<WorkerEntry>),
    /// A request for the list failed, or the watch on it ended.
    Failed,
}
