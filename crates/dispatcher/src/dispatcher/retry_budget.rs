//! Budget for retries after cancelled attempts.

/// Retries that each arriving request adds to the budget, before the penalty for wasted work is subtracted.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Upper bound of the budget, in retries.
const MAX_BUDGET: f64 = 10.0;
/// Number of arriving requests whose retries the budget contains from the start.
const INITIAL_REQUESTS: f64 = 10.0;

/// Limits the retries after cancelled attempts, since each of them adds load when workers are already slow.
#[derive(Default)]
pub(super) struct RetryBudget {
    retries_per_request: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a budget. The higher the penalty for wasted work, the fewer retries each request adds, down to
    /// none.
    pub(super) fn new(wasted_work_penalty: f64) -> Self {
        let retries_per_request = (RETRIES_PER_REQUEST - wasted_work_penalty).max(0.0);
        RetryBudget { retries_per_request, available: INITIAL_REQUESTS * retries_per_request }
    }

    /// Adds the retries for one arriving request.
    pub(super) fn record_arrival(&mut self) {
        self.available = (self.available + self.retries_per_request).min(MAX_BUDGET);
    }

    /// Takes one retry from the budget. Returns false if there is none.
    pub(super) fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
