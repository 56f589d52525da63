//! The budget for withdrawing an attempt in order to retry its request at another worker.

/// Retries that each arriving request adds to the budget, less the penalty for wasted work.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// A new dispatcher starts with the budget of this many requests.
const INITIAL_REQUESTS: f64 = 10.0;

/// Bounds the retries that follow a withdrawn attempt: each of them adds load when workers are slow already.
#[derive(Default)]
pub(super) struct RetryBudget {
    earned_per_request: f64,
    available: f64,
}

impl RetryBudget {
    /// A budget that is smaller the higher the penalty for wasted work is, and may be empty for good.
    pub(super) fn new(wasted_work_penalty: f64) -> Self {
        let earned_per_request = (RETRIES_PER_REQUEST - wasted_work_penalty).max(0.0);
        RetryBudget { earned_per_request, available: INITIAL_REQUESTS * earned_per_request }
    }

    /// Adds the share of one arriving request.
    pub(super) fn record_arrival(&mut self) {
        self.available = (self.available + self.earned_per_request).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; false if there is none.
    pub(super) fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
