//! Divides the memory that the process may use among the buffers of connections.

use sorrelhaven_config::Config;
use sorrelhaven_wire::BufferBudget;
use std::rc::Rc;

/// The unit of `limits.memory_mb`.
const BYTES_PER_MB: u64 = 1 << 20;
/// Each budget is the memory beside stored bodies divided by this. Half of that memory is for everything that has
/// no budget: the program, the worker list, and the fixed part of each connection and request.
const BUDGET_DIVISOR: u64 = 12;

/// The budgets for the buffers of connections. They are separate, so that clients can't take the memory that
/// workers' responses need.
pub struct MemoryLimits {
    /// Heads of requests, and what clients send behind a request.
    pub downstream: Rc<BufferBudget>,
    /// The part of a request's body that is in memory although the body is not stored there.
    pub body_windows: Rc<BufferBudget>,
    /// Heads and lines of workers' responses.
    pub upstream: Rc<BufferBudget>,
}

impl MemoryLimits {
    /// The budgets of a node with this configuration.
    pub fn new(config: &Config) -> MemoryLimits {
        let limit = budget_bytes(config);
        MemoryLimits {
            downstream: BufferBudget::new(limit),
            body_windows: BufferBudget::new(limit),
            upstream: BufferBudget::new(limit),
        }
    }

    /// Applies a changed configuration. Memory in use beyond a lower limit stays in use until it is released.
    pub fn configure(&self, config: &Config) {
        let limit = budget_bytes(config);
        for budget in [&self.downstream, &self.body_windows, &self.upstream] {
            budget.set_limit(limit);
        }
    }

    /// The name and value of each metric, in the order in which they are shown.
    pub fn metrics(&self) -> [(&'static str, u64); 6] {
        [
            ("downstream_buffer_bytes", self.downstream.used_bytes() as u64),
            ("downstream_buffer_waits", self.downstream.waits()),
            ("body_window_bytes", self.body_windows.used_bytes() as u64),
            ("body_window_refusals", self.body_windows.waits()),
            ("upstream_buffer_bytes", self.upstream.used_bytes() as u64),
            ("upstream_buffer_waits", self.upstream.waits()),
        ]
    }
}

/// The bytes that the process may use.
pub fn process_bytes(config: &Config) -> u64 {
    config.memory_mb.saturating_mul(BYTES_PER_MB)
}

/// The bytes of each budget.
fn budget_bytes(config: &Config) -> usize {
    let beside_bodies = process_bytes(config).saturating_sub(config.operator.bodies.memory.total_bytes);
    usize::try_from(beside_bodies / BUDGET_DIVISOR).unwrap_or(usize::MAX)
}
