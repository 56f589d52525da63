//! The worker list and its updates.

use crate::interface::{Micros, WorkerId};

/// The state of a worker's process, as the worker list says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts work.
    Ready,
    /// It completes its work and accepts no more.
    Draining,
    /// It was removed from the list.
    #[default]
    Gone,
}

/// One worker of the worker list.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// A hash of its name, the same at every dispatcher, used to spread work.
    pub name_hash: u64,
    /// The state of its process.
    pub lifecycle: Lifecycle,
    /// When it last started; 0 when that is long ago.
    pub started_at: Micros,
    /// Its kind of machine.
    pub kind: usize,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
    /// Its capacity, relative to other workers.
    pub weight: f64,
}

/// An update of the worker list.
#[derive(Clone, Debug)]
pub enum WorkerListUpdate {
    /// The entries that changed.
    Delta(Vec<WorkerEntry>),
    /// The complete list; a worker that is not in it is gone.
    Full(Vec<WorkerEntry>),
    /// The complete list from a cache, perhaps out of date.
    Cached(Vec<WorkerEntry>),
    /// A request for the list failed, or the watch on it ended.
    Failed,
}
