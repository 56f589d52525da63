//! Limits the file descriptors that the node's connections and body files use together.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that need no permit: standard streams, the poller, signals, the listener and the inherited
/// descriptor that it duplicates, discovery polls, and the admin listener with its connections.
const RESERVED_DESCRIPTORS: usize = 40;
/// The least number of permits: enough for one client connection and one worker connection.
const MIN_DESCRIPTORS: usize = 2;

/// Counts the permits in use against a limit.
pub struct DescriptorBudget {
    limit: Cell<usize>,
    used: Cell<usize>,
}

/// The right to hold one descriptor. Returned to the budget when dropped.
pub struct DescriptorPermit(Rc<DescriptorBudget>);

impl DescriptorBudget {
    /// Creates a budget within `process_limit`, the limit on the descriptors of the whole process.
    pub fn new(process_limit: usize) -> Rc<DescriptorBudget> {
        let budget = DescriptorBudget { limit: Cell::new(0), used: Cell::new(0) };
        budget.set_process_limit(process_limit);
        Rc::new(budget)
    }

    /// Changes the limit of the process. If more permits are in use than it allows, they stay valid until
    /// they are dropped.
    pub fn set_process_limit(&self, process_limit: usize) {
        self.limit.set(process_limit.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS));
    }

    /// The most client connections that may be open: two thirds of the permits, so that clients alone cannot
    /// use up the descriptors that worker connections need.
    pub fn max_downstream_connections(&self) -> usize {
        self.limit.get() * 2 / 3
    }

    /// Whether more permits are in use than the limit allows.
    pub fn is_exceeded(&self) -> bool {
        self.used.get() > self.limit.get()
    }

    /// Takes a permit; `None` if none is free.
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
