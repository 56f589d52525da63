//! Scripted peers and checkers of the rules, shared by the tests of all packages. Nothing in the product
//! imports this. All peers bind to loopback addresses only, on ports that the system chooses.

mod cases;
mod checker;
mod chunked;
mod client;
mod fake_disk;
mod fake_workers;
mod fault_proxy;
mod preload;
mod program;
mod settings;
mod share;
mod unreachable;

pub use cases::check_cases;
pub use checker::{AT_MOST_ONCE_CLASS, Checker};
pub use chunked::{CHUNKED_RESPONSE_HEAD, chunk, read_request_target, send_chunk};
pub use client::{TestRequest, TestResponse};
pub use fake_disk::{DiskFaults, FakeDisk};
pub use fake_workers::{
    ExecutedRequest, FakeWorkers, WorkerBehavior, checksum, reset_connection, sample_bytes,
};
pub use fault_proxy::{DatagramFaults, FaultProxy, ProxyTraffic};
pub use preload::{FaultPlan, injected_faults};
pub use program::{Program, ScratchDir};
pub use settings::{single_worker_config, workers_config};
pub use share::{CpuShare, cpu_time};
pub use unreachable::{RefusingPort, StalledListener};
