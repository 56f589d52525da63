//! The number of released jobs that may be in progress: a congestion window with additive increase and
//! multiplicative decrease (AIMD).
//!
//! The window grows by one for each round, a full window of jobs that were served in time. It halves when a
//! job was rejected or late, at most once a round.

/// What the outcome of a released job says about the load of the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// Served in time: the workers can take more.
    InTime,
    /// Rejected or late: the workers are overloaded.
    Overloaded,
    /// It concluded for a reason that says nothing about the load of the workers.
    NoSignal,
}

/// The range of the window size, in jobs.
#[derive(Clone, Copy, Debug)]
pub struct WindowLimits {
    /// The smallest size; less than 1 counts as 1.
    pub min: f64,
    /// The largest size.
    pub max: f64,
}

#[derive(Debug)]
pub(crate) struct ReleaseWindow {
    limits: WindowLimits,
    size: f64,
    in_progress: usize,
    /// Jobs that have to conclude before the window may halve again.
    conclusions_until_decrease: usize,
}

impl ReleaseWindow {
    /// An empty window of the smallest size.
    pub(crate) fn new(limits: WindowLimits) -> ReleaseWindow {
        ReleaseWindow { limits, size: limits.min.max(1.0), in_progress: 0, conclusions_until_decrease: 0 }
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
        self.conclusions_until_decrease = self.conclusions_until_decrease.saturating_sub(1);
        match outcome {
            ReleaseOutcome::InTime => self.size = (self.size + 1.0 / self.size).min(self.limits.max),
            ReleaseOutcome::Overloaded if self.conclusions_until_decrease == 0 => {
                // Jobs in progress were released under the old size: their outcomes say nothing about the new
                // one.
                self.conclusions_until_decrease = self.in_progress;
                self.size = (self.size / 2.0).max(self.limits.min.max(1.0));
            }
            ReleaseOutcome::Overloaded | ReleaseOutcome::NoSignal => {}
        }
    }
}
