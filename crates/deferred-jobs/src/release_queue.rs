//! The order in which due jobs are released.
//!
//! *Priority aging.* A job's priority rises by one for each `aging_interval` that it has waited. All waiting
//! jobs age at the same rate, so the order of two jobs never changes: a job of priority `p` that was due at
//! `d` has the effective due time `d - p * aging_interval`. Only jobs of its tenant that are due by
//! `d + max_priority * aging_interval` can overtake a job due at `d`.
//!
//! *Tenant shares.* This is start-time fair queueing. Each tenant has its own queue and a virtual start time,
//! which advances with each release by the inverse of the tenant's weight. The next job is taken from the
//! tenant with the lowest virtual start time among those with waiting jobs. A tenant gets no credit for the
//! time that it was idle: its virtual start time is raised to the queue's virtual time.

use crate::release_window::{ReleaseOutcome, ReleaseWindow, WindowLimits};
use std::collections::BTreeSet;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// The number of a due job, chosen by the caller. Of a tenant's jobs with the same effective due time the one
/// with the lowest number is released first.
pub type JobId = u64;

/// The rules by which a [`ReleaseQueue`] releases jobs.
#[derive(Clone, Debug)]
pub struct ReleaseRules {
    /// A waiting job's priority rises by one for each interval of this length.
    pub aging_interval: Micros,
    /// The highest priority at enqueueing; a higher one counts as this.
    pub max_priority: u32,
    /// The weight of each tenant, by its index; 0 counts as 1.
    pub tenant_weights: Vec<u32>,
    /// The range of the number of released jobs in progress.
    pub window: WindowLimits,
}

/// The sort key of a job in its tenant's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    effective_due_at: Micros,
    id: JobId,
}

#[derive(Debug, Default)]
struct TenantQueue {
    jobs: BTreeSet<QueueKey>,
    /// Releases divided by the tenant's weight, and raised to the queue's virtual time after the tenant was
    /// idle.
    virtual_start: f64,
}

/// All due jobs that were not released.
#[derive(Debug)]
pub struct ReleaseQueue {
    rules: ReleaseRules,
    tenants: Vec<TenantQueue>,
    waiting: usize,
    window: ReleaseWindow,
    /// The virtual start time of the last released job; a tenant that was idle starts at this or later.
    virtual_time: f64,
}

impl ReleaseQueue {
    /// An empty queue with the smallest window.
    pub fn new(rules: ReleaseRules) -> ReleaseQueue {
        let tenants = rules.tenant_weights.iter().map(|_| TenantQueue::default()).collect();
        let window = ReleaseWindow::new(rules.window);
        ReleaseQueue { rules, tenants, waiting: 0, window, virtual_time: 0.0 }
    }

    /// The longest time between the due times of two jobs of a tenant at which the later one may be released
    /// first.
    pub fn overtaking_limit(&self) -> Micros {
        self.rules.aging_interval.saturating_mul(i64::from(self.rules.max_priority))
    }

    /// Adds a due job. A tenant index out of range counts as the last tenant.
    pub fn enqueue(&mut self, due_at: Micros, id: JobId, tenant: usize, priority: u32) {
        let key = self.queue_key(due_at, id, priority);
        let virtual_time = self.virtual_time;
        let Some(queue) = self.tenant_queue(tenant) else { return };
        if queue.jobs.is_empty() {
            queue.virtual_start = queue.virtual_start.max(virtual_time);
        }
        if queue.jobs.insert(key) {
            self.waiting += 1;
        }
    }

    /// Removes a job by the arguments with which it was enqueued; returns false if it is not in the queue.
    pub fn remove(&mut self, due_at: Micros, id: JobId, tenant: usize, priority: u32) -> bool {
        let key = self.queue_key(due_at, id, priority);
        let Some(queue) = self.tenant_queue(tenant) else { return false };
        let found = queue.jobs.remove(&key);
        self.waiting -= usize::from(found);
        found
    }

    fn queue_key(&self, due_at: Micros, id: JobId, priority: u32) -> QueueKey {
        let priority = i64::from(priority.min(self.rules.max_priority));
        let advance = self.rules.aging_interval.saturating_mul(priority);
        QueueKey { effective_due_at: due_at.saturating_sub(advance), id }
    }

    fn tenant_queue(&mut self, tenant: usize) -> Option<&mut TenantQueue> {
        let last = self.tenants.len().saturating_sub(1);
        self.tenants.get_mut(tenant.min(last))
    }

    /// Releases the next job; `None` if no job is waiting or the window is full.
    pub fn release_next(&mut self) -> Option<JobId> {
        if !self.window.has_room() {
            return None;
        }
        let with_jobs = self.tenants.iter_mut().enumerate().filter(|(_, queue)| !queue.jobs.is_empty());
        let (tenant, queue) = with_jobs.min_by(|(left_tenant, left), (right_tenant, right)| {
            left.virtual_start.total_cmp(&right.virtual_start).then(left_tenant.cmp(right_tenant))
        })?;
        let released = queue.jobs.pop_first()?;
        self.virtual_time = queue.virtual_start;
        queue.virtual_start += 1.0 / f64::from(self.rules.tenant_weights[tenant].max(1));
        self.waiting -= 1;
        self.window.record_release();
        Some(released.id)
    }

    /// Records the outcome of a released job, which is then no longer in progress, and adapts the window.
    pub fn record_outcome(&mut self, outcome: ReleaseOutcome) {
        self.window.record_outcome(outcome);
    }

    /// The number of due jobs that were not released.
    pub fn waiting_count(&self) -> usize {
        self.waiting
    }

    /// The number of released jobs that may be in progress at once; rounded down when it is applied.
    pub fn window_size(&self) -> f64 {
        self.window.size()
    }
}
