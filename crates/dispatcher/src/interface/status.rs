//! How a dispatcher regards its workers, for metrics.

/// How a dispatcher regards a worker in its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// It gets work.
    Available,
    /// The worker list says that it accepts no new work.
    Draining,
    /// It has failed recently, and gets half-open probes only.
    Ejected,
    /// It has rejected every class that it runs.
    Saturated,
}

/// The workers in the list, counted by status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// All workers in the list.
    pub known: u64,
    /// Those that the list says accept no new work.
    pub draining: u64,
    /// Those that have failed recently.
    pub ejected: u64,
    /// Those that have rejected every class that they run.
    pub saturated: u64,
}

impl WorkerCounts {
    /// The workers that get no work.
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
