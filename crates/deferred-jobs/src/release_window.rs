//! How many released jobs may be in progress: a window with additive increase and multiplicative decrease.
//!
//! The window grows by one in each round of jobs that ended in time, and halves, at most once a round, when a
//! job was rejected or late.

/// What the end of a released job says about the load of the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// Served in time: the workers can take more.
    InTime,
    /// Rejected or late: the workers are overloaded.
    Overloaded,
    /// It ended for a reason that says nothing about the workers.
    NoSignal,
}

/// The range of the window, in jobs.
#[derive(Clone, Copy, Debug)]
pub struct WindowLimits {
    /// The smallest window; less than 1 counts as 1.
    pub min: f64,
    /// The largest window.
    pub max: f64,
}

#[derive(Debug)]
pub(crate) struct ReleaseWindow {
    limits: WindowLimits,
    size: f64,
    in_progress: usize,
    /// Jobs that have to end before the window may halve again.
    ends_until_decrease: usize,
}

impl ReleaseWindow {
    /// An empty window of the smallest size.
    pub(crate) fn new(limits: WindowLimits) -> ReleaseWindow {
        ReleaseWindow { limits, size: limits.min.max(1.0), in_progress: 0, ends_until_decrease: 0 }
    }

    /// Jobs that may be in progress at once.
    pub(crate) fn size(&self) -> f64 {
        self.size
    }

    pub(crate) fn has_room(&self) -> bool {
        (self.in_progress as f64) < self.size.floor()
    }

    pub(crate) fn record_release(&mut self) {
        self.in_progress += 1;
    }

    pub(crate) fn record_outcome(&mut self, outcome: ReleaseOutcome) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.ends_until_decrease = self.ends_until_decrease.saturating_sub(1);
        match outcome {
            ReleaseOutcome::InTime => self.size = (self.size + 1.0 / self.size).min(self.limits.max),
            ReleaseOutcome::Overloaded if self.ends_until_decrease == 0 => {
                // Jobs in progress were released by the old window: their ends say nothing about the new one.
                self.ends_until_decrease = self.in_progress;
                self.size = (self.size / 2.0).max(self.limits.min.max(1.0));
            }
            ReleaseOutcome::Overloaded | ReleaseOutcome::NoSignal => {}
        }
    }
}
