//! Divides the memory that the process may use among the buffers of connections.

use sorrelhaven_config::Config;
use sorrelhaven_wire::BufferBudget;
use std::rc::Rc;

/// The unit of `limits.memory_mb`.
const BYTES_PER_MB: u64 = 1 << 20;
/// Each of the three budgets is the memory beside stored bodies divided by this. The other three quarters are for
/// everything that has no budget: the program, the worker list, and the fixed part of each connection and request.
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

/// The memory that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemorySize {
    /// All bytes of the process.
    pub process_bytes: u64,
    /// The part of them for bodies that are stored in memory.
    pub body_bytes: u64,
}

impl MemorySize {
    /// What all processes of a node with this configuration may use together.
    pub fn of_node(config: &Config) -> MemorySize {
        MemorySize {
            process_bytes: config.memory_mb.saturating_mul(BYTES_PER_MB),
            body_bytes: config.operator.bodies.memory.total_bytes,
        }
    }

    /// What each of this number of processes may use.
    pub fn share_of(self, processes: usize) -> MemorySize {
        let processes = processes as u64;
        MemorySize { process_bytes: self.process_bytes / processes, body_bytes: self.body_bytes / processes }
    }

    /// The bytes of each budget.
    fn budget_bytes(self) -> usize {
        let beside_bodies = self.process_bytes.saturating_sub(self.body_bytes);
        usize::try_from(beside_bodies / BUDGET_DIVISOR).unwrap_or(usize::MAX)
    }
}

impl MemoryLimits {
    /// The budgets of a process that may use this memory.
    pub fn new(memory: MemorySize) -> MemoryLimits {
        let limit = memory.budget_bytes();
        MemoryLimits {
            downstream: BufferBudget::new(limit),
            body_windows: BufferBudget::new(limit),
            upstream: BufferBudget::new(limit),
        }
    }

    /// Applies a changed limit. Memory in use beyond a lower one stays in use until it is released.
    pub fn set_memory(&self, memory: MemorySize) {
        let limit = memory.budget_bytes();
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
