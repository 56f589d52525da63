//! Runs requests: admits them from a front end, sends attempts to the workers that the dispatcher selects,
//! and gives each request one answer.
//!
//! A front end submits a [`Job`] with [`Engine::submit`] and receives one [`Answer`] through the
//! [`RequestHandle`]. Nothing in this crate depends on the client's protocol, so the same decisions apply to
//! every front end. A module uses only modules of its own row and of the rows below it:
//!
//! | module | purpose |
//! | --- | --- |
//! | `engine` | creates the parts of a node and starts its tasks |
//! | `request_admission` | registers new requests; refuses ids that are in progress, or must not run twice and may have run |
//! | `request_task` | the task of one request, from arrival to answer |
//! | `attempt`, `probe` | one attempt at a job; one probe of a worker |
//! | `request_writer`, `response_reader` | writes the request to a worker; reads its response |
//! | `attempt_spec` | the limits of one attempt, and whether it may be sent |
//! | `upstreams` | the registry, connection pool and limits that attempts and probes share |
//! | `connection_pool`, `descriptor_budget` | idle upstream connections; limit of file descriptors |
//! | `worker_registry`, `start_times` | worker addresses and states from discovery; worker start times |
//! | `load_report` | parses the load reports of workers |
//! | `discovery_watch`, `discovery_call` | the watch on the worker list; one call of discovery |
//! | `discovery_plan`, `discovery_timing` | when discovery is called, and which calls stay open; the time limits and delays |
//! | `list_version`, `watch_error` | which lists replace the one in force; why a watch failed |
//! | `dispatcher_loop` | owns the `Dispatcher`, passes events to it in order, routes its actions |
//! | `job` | the types that front ends, requests, the dispatcher loop and attempts exchange |
//! | `body_admission` | limits how many long bodies are sent at once |
//! | `tasks` | the executor of all tasks |
//! | `counters` | the node's counters |
//! | `invariants` | run-time checks of properties that hold for every request |
//! | `attempt_end` | every way an attempt can end, and the outcome that the dispatcher receives |
//! | `responsiveness` | event loop delays |
//! | `memory_limits` | the memory that the buffers of connections may use |
//! | `memory_monitor`, `process_memory` | the memory of the process, compared with its limit |
//! | `clock`, `metric` | the clock of dispatcher events; counters and maxima |
//!
//! ```no_run
//! use sorrelhaven_config::Config;
//! use sorrelhaven_engine::Engine;
//!
//! let config = Config::load(|name| std::env::var(name).ok())?;
//! let engine = Engine::new(&config, None);
//! let (_sender, address_changes) = async_channel::unbounded();
//! engine.start(config.discovery, config.known_workers.version, address_changes);
//! async_io::block_on(engine.tasks.run());
//! # Ok::<(), sorrelhaven_config::ConfigErrors>(())
//! ```

mod attempt;
mod attempt_end;
mod attempt_spec;
mod body_admission;
mod clock;
mod connection_pool;
mod counters;
mod descriptor_budget;
mod discovery_call;
mod discovery_plan;
mod discovery_timing;
mod discovery_watch;
mod dispatcher_loop;
mod engine;
mod invariants;
mod job;
mod list_version;
mod load_report;
mod memory_limits;
mod memory_monitor;
mod metric;
mod probe;
mod process_memory;
mod request_admission;
mod request_task;
mod request_writer;
mod response_reader;
mod responsiveness;
mod start_times;
mod tasks;
#[cfg(test)]
mod tests;
mod upstreams;
mod watch_error;
mod worker_registry;

pub use attempt_end::AttemptEnd;
pub use body_admission::{BodyAdmission, BodyPermit};
pub use clock::{Clock, to_duration};
pub use connection_pool::{ConnectionPool, PooledConnection};
pub use counters::{ClassCounters, Counters, RequestEnd};
pub use descriptor_budget::{DescriptorBudget, DescriptorPermit};
pub use dispatcher_loop::DispatcherLoop;
pub use engine::Engine;
pub use invariants::{Invariant, Invariants, RequestChecks, SentAttempt, WorkerDrain};
pub use job::{Answer, Job, RequestMessage, RequestPayload};
pub use memory_limits::{MemoryLimits, MemorySize};
pub use memory_monitor::MemoryMonitor;
pub use metric::{Counter, MaxDuration};
pub use process_memory::ProcessMemory;
pub use request_admission::{AdmissionError, RequestHandle};
pub use responsiveness::{LONG_STEP_THRESHOLD, Responsiveness};
pub use tasks::Tasks;
pub use upstreams::Upstreams;
pub use worker_registry::WorkerRegistry;
