//! Divides the node's limit on file descriptors evenly among its processes, of which several run during an
//! upgrade.

use async_io::Timer;
use sorrelhaven_engine::Engine;
use sorrelhaven_frontend_http1::Frontend;
use sorrelhaven_handover::ProcessRegistry;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Interval at which the processes of the node are counted.
const PROCESS_COUNT_INTERVAL: Duration = Duration::from_millis(200);

/// The part of the node's limit on descriptors that this process may use.
pub struct DescriptorShare {
    engine: Rc<Engine>,
    frontend: Rc<Frontend>,
    /// Descriptors that all processes of the node may hold together.
    node_limit: Cell<usize>,
    other_processes: Cell<usize>,
}

impl DescriptorShare {
    /// The whole of `node_limit`, as long as no other process of the node was counted.
    pub fn new(engine: Rc<Engine>, frontend: Rc<Frontend>, node_limit: usize) -> DescriptorShare {
        DescriptorShare { engine, frontend, node_limit: Cell::new(node_limit), other_processes: Cell::new(0) }
    }

    /// Changes the number of descriptors that all processes of the node may hold together, and applies this
    /// process's new share.
    pub fn set_node_limit(&self, node_limit: usize) {
        self.node_limit.set(node_limit);
        self.apply();
    }

    /// Counts the other processes for the first time and applies the share, without a log line.
    pub fn count_processes_at_start(&self, registry: &ProcessRegistry) {
        self.other_processes.set(registry.other_processes());
        self.apply();
    }

    /// Counts the other processes every [`PROCESS_COUNT_INTERVAL`], and applies the share when their number
    /// has changed. Never returns.
    pub async fn poll_process_count(&self, registry: &ProcessRegistry) {
        loop {
            let others = registry.other_processes();
            if self.other_processes.replace(others) != others {
                info!(others, "process count changed");
                self.apply();
            }
            Timer::after(PROCESS_COUNT_INTERVAL).await;
        }
    }

    fn apply(&self) {
        let processes = 1 + self.other_processes.get();
        self.engine.upstreams.pool.set_descriptor_limit(self.node_limit.get() / processes);
        self.frontend.evict_excess_connections();
    }
}
