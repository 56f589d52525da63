//! Status of the workers as a dispatcher sees them, for metrics and logs.

/// Status of a worker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// It gets new work.
    Available,
    /// It accepts no new work, according to the worker list.
    Draining,
    /// It has failed recently and gets half-open probes only.
    Ejected,
    /// It has recently rejected every class that it runs.
    Saturated,
}

/// What a dispatcher assumes of a worker in slow start, and what it has sent. Work is running time on a
/// standard core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartStatus {
    /// Estimated current capacity of the worker, in standard cores.
    pub capacity: f64,
    /// Expected number of dispatchers that have the worker among their nearest ones, at least 1.
    pub expected_users: f64,
    /// Whether the worker is among the nearest ones of this dispatcher, as many as the size of its subset.
    pub is_nearest: bool,
    /// Work that this dispatcher may send within the overload window, in microseconds.
    pub budget: f64,
    /// Work already sent that still counts against the budget, in microseconds.
    pub used: f64,
    /// Number of workers in this dispatcher's subset.
    pub subset_size: usize,
}

/// Number of workers in the list by status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// All workers in the list.
    pub known: u64,
    /// Workers that accept no new work, according to the list.
    pub draining: u64,
    /// Workers that have failed recently.
    pub ejected: u64,
    /// Workers that have recently rejected every class that they run.
    pub saturated: u64,
}

impl WorkerCounts {
    /// Returns the number of workers that get no new work, apart from half-open probes.
    pub fn unavailable(&self) -> u64 {
        self.draining + self.ejected + self.saturated
    }
}

impl FromIterator<WorkerStatus> for WorkerCounts {
    fn from_iter<I: IntoIterator<Item = WorkerStatus>>(statuses: I) -> WorkerCounts {
        let mut counts = WorkerCounts::default();
        for status in statuses {
            counts.known += 1;
            match status {
                WorkerStatus::Available => {}
                WorkerStatus::Draining => counts.draining += 1,
                WorkerStatus::Ejected => counts.ejected += 1,
                WorkerStatus::Saturated => counts.saturated += 1,
            }
        }
        counts
    }
}
