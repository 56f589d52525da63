//! Scripted peers, fault injection and a checker of the delivery rules, shared by the tests of all packages.
//!
//! The product does not depend on this crate. All sockets are bound to loopback addresses, on ports that the
//! operating system chooses. A helper panics if its test can't continue, with a message that names the cause.

mod cases;
mod checker;
mod chunked;
mod client;
mod cpu_share;
mod fake_discovery;
mod fake_disk;
mod fake_workers;
mod fault_proxy;
mod fault_shim;
mod listener;
mod node_config;
mod program;
mod refusing_port;
mod scratch_dir;
mod scripted_discovery;
mod stalled_listener;

pub use cases::check_cases;
pub use checker::{AT_MOST_ONCE_CLASS, DeliveryChecker, RequestTotals};
pub use chunked::{CHUNKED_RESPONSE_HEAD, begin_chunked_response, chunk, read_request_target, send_chunk};
pub use client::{TestRequest, TestResponse};
pub use cpu_share::{CpuShare, cpu_time};
pub use fake_discovery::{WatchStep, serve_discovery, worker_list};
pub use fake_disk::{DiskFaults, FakeDisk};
pub use fake_workers::{
    ExecutedRequest, FakeWorkers, WorkerBehavior, checksum, reset_connection, sample_bytes,
};
pub use fault_proxy::{DatagramFaults, FaultProxy, ProxyTraffic};
pub use fault_shim::{FaultPlan, injected_faults};
pub use listener::open_listener;
pub use node_config::{single_worker_config, workers_config};
pub use program::Program;
pub use refusing_port::RefusingPort;
pub use scratch_dir::ScratchDir;
pub use scripted_discovery::{DiscoveryLoad, DiscoveryState, ScriptedDiscovery};
pub use stalled_listener::StalledListener;
