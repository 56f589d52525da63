//! The file descriptors that a node's connections share.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that are not for connections of clients and workers: standard streams, the poller, signals,
/// the listener and where it was handed over, the discovery polls, and the admin listener with its clients.
const RESERVED_DESCRIPTORS: usize = 40;
/// Whatever the limit, one connection of a client and one to a worker can be open.
const MIN_DESCRIPTORS: usize = 2;

/// The number of descriptors that connections may hold, and do hold.
pub struct DescriptorBudget {
    limit: Cell<usize>,
    used: Cell<usize>,
}

/// The right to one descriptor; returned when dropped.
pub struct DescriptorPermit(Rc<DescriptorBudget>);

impl DescriptorBudget {
    /// A budget within `process_limit`, the limit on the descriptors of the whole process.
    pub fn new(process_limit: usize) -> Rc<DescriptorBudget> {
        let budget = DescriptorBudget { limit: Cell::new(0), used: Cell::new(0) };
        budget.set_process_limit(process_limit);
        Rc::new(budget)
    }

    /// Sets another limit of the process. Where more permits are out than it allows, those stay valid until
    /// they are dropped.
    pub fn set_process_limit(&self, process_limit: usize) {
        self.limit.set(process_limit.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS));
    }

    /// The most downstream connections: two thirds, so that clients alone cannot use up what the workers
    /// need.
    pub fn max_downstream_connections(&self) -> usize {
        self.limit.get() * 2 / 3
    }

    /// Whether more permits are out than the limit allows.
    pub fn is_exceeded(&self) -> bool {
        self.used.get() > self.limit.get()
    }

    /// A permit for one descriptor, if one is free.
    pub fn acquire(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.used.get() >= self.limit.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DescriptorPermit(self.clone()))
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
    }
}
