//! Divides the node's limits on file descriptors and memory evenly among its processes, of which several run during
//! an upgrade.

use async_io::Timer;
use sorrelhaven_config::Config;
use sorrelhaven_engine::{Engine, MemorySize};
use sorrelhaven_frontend_http1::Frontend;
use sorrelhaven_handover::ProcessRegistry;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Interval at which the processes of the node are counted.
const PROCESS_COUNT_INTERVAL: Duration = Duration::from_millis(200);

/// What all processes of the node may use together.
#[derive(Clone, Copy)]
struct NodeLimits {
    descriptors: usize,
    memory: MemorySize,
}

impl NodeLimits {
    fn new(config: &Config) -> NodeLimits {
        NodeLimits { descriptors: config.max_descriptors, memory: MemorySize::of_node(config) }
    }
}

/// The part of the node's limits that this process may use.
pub struct ProcessShare {
    engine: Rc<Engine>,
    frontend: Rc<Frontend>,
    node_limits: Cell<NodeLimits>,
    other_processes: Cell<usize>,
}

impl ProcessShare {
    /// The whole of the limits in `config`, as long as no other process of the node was counted.
    pub fn new(engine: Rc<Engine>, frontend: Rc<Frontend>, config: &Config) -> ProcessShare {
        let node_limits = Cell::new(NodeLimits::new(config));
        ProcessShare { engine, frontend, node_limits, other_processes: Cell::new(0) }
    }

    /// Takes the limits that all processes of the node may use together from a changed configuration, and applies
    /// this process's new share.
    pub fn configure(&self, config: &Config) {
        self.node_limits.set(NodeLimits::new(config));
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
        let NodeLimits { descriptors, memory } = self.node_limits.get();
        self.engine.upstreams.pool.set_descriptor_limit(descriptors / processes);
        self.engine.set_memory(memory.share_of(processes));
        self.frontend.evict_excess_connections();
    }
}
