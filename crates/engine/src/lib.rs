//! Runs requests: each is admitted from a front end, decided on by the dispatcher, attempted at workers, and
//! answered once.
//!
//! A front end submits a [`Job`] to [`Engine::submit`] and receives one [`Answer`] through the
//! [`RequestHandle`]. Nothing here depends on the client's protocol, so the same decisions apply to every
//! front end. A module uses only modules of its own row and of those below it in this table:
//!
//! | module | concern |
//! | --- | --- |
//! | `engine` | puts the parts of a node together |
//! | `request_admission` | the admission of requests |
//! | `request_task` | the task of one request, from arrival to answer |
//! | `attempt`, `probe` | one attempt at a job, one health check of a worker |
//! | `request_writer`, `response_reader` | the request to a worker, and its response with job lines |
//! | `attempt_spec` | the limits of one attempt, and whether it may be sent |
//! | `upstreams` | what attempts and probes reach workers with |
//! | `connection_pool`, `descriptor_budget` | idle upstream connections, descriptors of all connections |
//! | `worker_registry`, `start_times` | what discovery says of the workers, when they started |
//! | `load_report` | the load that workers report |
//! | `discovery_watch`, `discovery_poll` | the watch on the worker list, its single polls |
//! | `watch_error`, `backoff` | why a watch failed, and the delays between polls |
//! | `dispatcher_loop` | owns the one `Dispatcher`, feeds it events in order, routes its actions |
//! | `job` | the plain types that these exchange |
//! | `body_admission` | permits for long bodies |
//! | `tasks` | the executor of all tasks |
//! | `counters` | the node's counters |
//! | `invariants` | what holds for every request, checked at run time |
//! | `attempt_end` | every way an attempt can end, and its outcome for the dispatcher |
//! | `responsiveness` | delays of the event loop |
//! | `clock`, `metric` | the dispatcher's clock, the kinds of metric |
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
mod backoff;
mod body_admission;
mod clock;
mod connection_pool;
mod counters;
mod descriptor_budget;
mod discovery_poll;
mod discovery_watch;
mod dispatcher_loop;
mod engine;
mod invariants;
mod job;
mod load_report;
mod metric;
mod probe;
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
pub use metric::{Counter, MaxDuration};
pub use request_admission::{DuplicateRequestId, RequestHandle};
pub use responsiveness::{LONG_STEP_THRESHOLD, Responsiveness};
pub use tasks::Tasks;
pub use upstreams::Upstreams;
pub use worker_registry::WorkerRegistry;
