//! Divides the file descriptors of a node among its processes while several of them are alive.

use async_io::Timer;
use sorrelhaven_engine::Engine;
use sorrelhaven_frontend_http1::Frontend;
use sorrelhaven_handover::ProcessRegistry;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// How often the processes of the node are counted.
const PROCESS_COUNT_INTERVAL: Duration = Duration::from_millis(200);

/// This process's share of the descriptors.
pub struct DescriptorShare {
    engine: Rc<Engine>,
    frontend: Rc<Frontend>,
    /// Descriptors that all processes of the node may hold together.
    node_limit: Cell<usize>,
    other_processes: Cell<usize>,
}

impl DescriptorShare {
    /// A share of all `node_limit` descriptors: no other process is known yet.
    pub fn new(engine: Rc<Engine>, frontend: Rc<Frontend>, node_limit: usize) -> DescriptorShare {
        DescriptorShare { engine, frontend, node_limit: Cell::new(node_limit), other_processes: Cell::new(0) }
    }

    /// Changes the number of descriptors that all processes of the node may hold together.
    pub fn set_node_limit(&self, node_limit: usize) {
        self.node_limit.set(node_limit);
        self.apply();
    }

    /// Counts the other processes for the first time and applies the share.
    pub fn count_at_start(&self, registry: &ProcessRegistry) {
        self.other_processes.set(registry.other_processes());
        self.apply();
    }

    /// Counts the other processes at intervals and applies the share whenever their number changes. Never
    /// returns.
    pub async fn follow_process_count(&self, registry: &ProcessRegistry) {
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
