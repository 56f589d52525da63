//! In which order due jobs are released. No I/O, time passed in.
//!
//! *Order.* A job's priority rises by one with each `aging_interval` that it has waited. As all rise alike, the
//! order of two jobs never changes: a job of priority `p` that was due at `d` has the effective due time
//! `d - p * aging_interval`. A job due at `d` can so be overtaken only by jobs due before
//! `d + max_priority * aging_interval`.
//!
//! *Shares.* Each tenant has its own queue. The next job is taken from the tenant that has had the fewest
//! releases, by its weight, while it had jobs. A tenant that was idle has no claim on the past: it starts
//! level with the others.

use crate::release_window::{ReleaseOutcome, ReleaseWindow, WindowLimits};
use std::collections::BTreeSet;

/// A point in time, or a length of it, in microseconds.
pub type Micros = i64;

/// A job that is due, numbered by the caller.
pub type JobId = u64;

/// The rules of a queue.
#[derive(Clone, Debug)]
pub struct ReleaseRules {
    /// A job's priority rises by one with each of these that it has waited.
    pub aging_interval: Micros,
    /// The highest priority; a higher one counts as this.
    pub max_priority: u32,
    /// The weight of each tenant, at least 1.
    pub tenant_weights: Vec<u32>,
    /// The range of the window of released jobs in progress.
    pub window: WindowLimits,
}

/// The place of a job in its tenant's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    effective_due: Micros,
    id: JobId,
}

#[derive(Debug, Default)]
struct TenantQueue {
    jobs: BTreeSet<QueueKey>,
    /// Releases so far, divided by the tenant's weight.
    weighted_releases: f64,
}

/// All jobs that are due and not released.
#[derive(Debug)]
pub struct ReleaseQueue {
    rules: ReleaseRules,
    tenants: Vec<TenantQueue>,
    waiting: usize,
    window: ReleaseWindow,
    /// The weighted releases of the tenant that was chosen last: where idle ones start again.
    level: f64,
}

impl ReleaseQueue {
    /// An empty queue; its window is the smallest.
    pub fn new(rules: ReleaseRules) -> ReleaseQueue {
        let tenants = rules.tenant_weights.iter().map(|_| TenantQueue::default()).collect();
        let window = ReleaseWindow::new(rules.window);
        ReleaseQueue { rules, tenants, waiting: 0, window, level: 0.0 }
    }

    /// A job that falls due more than this after another of its tenant never overtakes it.
    pub fn overtaking_limit(&self) -> Micros {
        self.rules.aging_interval.saturating_mul(i64::from(self.rules.max_priority))
    }

    /// Adds a job that falls due. A tenant out of range counts as the last.
    pub fn enqueue(&mut self, due: Micros, id: JobId, tenant: usize, priority: u32) {
        let key = self.queue_key(due, id, priority);
        let level = self.level;
        let Some(queue) = self.tenant_queue(tenant) else { return };
        if queue.jobs.is_empty() {
            queue.weighted_releases = queue.weighted_releases.max(level);
        }
        if queue.jobs.insert(key) {
            self.waiting += 1;
        }
    }

    /// Removes a job that was not released, by what it was added with; false if it is not in the queue.
    pub fn remove(&mut self, due: Micros, id: JobId, tenant: usize, priority: u32) -> bool {
        let key = self.queue_key(due, id, priority);
        let Some(queue) = self.tenant_queue(tenant) else { return false };
        let found = queue.jobs.remove(&key);
        self.waiting -= usize::from(found);
        found
    }

    fn queue_key(&self, due: Micros, id: JobId, priority: u32) -> QueueKey {
        let priority = i64::from(priority.min(self.rules.max_priority));
        let advance = self.rules.aging_interval.saturating_mul(priority);
        QueueKey { effective_due: due.saturating_sub(advance), id }
    }

    fn tenant_queue(&mut self, tenant: usize) -> Option<&mut TenantQueue> {
        let last = self.tenants.len().saturating_sub(1);
        self.tenants.get_mut(tenant.min(last))
    }

    /// Releases the next job, if there is one and the window has room.
    pub fn release_next(&mut self) -> Option<JobId> {
        if !self.window.has_room() {
            return None;
        }
        let with_jobs = self.tenants.iter_mut().enumerate().filter(|(_, queue)| !queue.jobs.is_empty());
        let (tenant, queue) = with_jobs.min_by(|(left_tenant, left), (right_tenant, right)| {
            left.weighted_releases.total_cmp(&right.weighted_releases).then(left_tenant.cmp(right_tenant))
        })?;
        let released = queue.jobs.pop_first()?;
        self.level = queue.weighted_releases;
        queue.weighted_releases += 1.0 / f64::from(self.rules.tenant_weights[tenant].max(1));
        self.waiting -= 1;
        self.window.record_release();
        Some(released.id)
    }

    /// Records the end of a released job.
    pub fn record_outcome(&mut self, outcome: ReleaseOutcome) {
        self.window.record_outcome(outcome);
    }

    /// The number of jobs that are due and not released.
    pub fn waiting_count(&self) -> usize {
        self.waiting
    }

    /// The number of released jobs that may be in progress at once.
    pub fn window_size(&self) -> f64 {
        self.window.size()
    }
}
