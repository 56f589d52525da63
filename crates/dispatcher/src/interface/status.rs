//! Status of the workers as a dispatcher sees them, for metrics.

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
