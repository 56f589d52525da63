//! A request's life: taken from a front, decided on by the module, carried out on server links, answered once.
//!
//! A front hands a [`Job`] to [`Engine::take`] and gets one [`Answer`] through the [`RequestHandle`]. Nothing here knows
//! how a client speaks, so every front goes through the same decisions. Files use those above them only:
//!
//! | file | concern |
//! | --- | --- |
//! | `engine` | the parts put together |
//! | `request` | one request's life, top to bottom in one task |
//! | `attempt`, `probe` | one attempt at a job on a server link; one question to an executor |
//! | `upstreams` | what they reach executors with: `discovery_watch` and `connection_pool` |
//! | `dispatcher_loop` | owns the one `Dispatcher`, feeds it events in order, routes its actions |
//! | `job` | the plain types that cross between these |
//! | `attempt_end` | every way an execution can end, and the module's outcome for each |
//! | `body_admission` | long bodies that are on their way to boxes at once |
//! | `invariants` | what must hold whatever happens, checked at run time |
//! | `start_times` | when executors started, on the node's own clock |
//! | `responsiveness` | how long the event loop is held up |
//! | `tasks`, `clock`, `counters`, `count` | what their names say |
//!
//! ```no_run
//! use sorrelhaven_config::Config;
//! use sorrelhaven_engine::Engine;
//!
//! let config = Config::load(|name| std::env::var(name).ok())?;
//! let engine = Engine::new(&config, None);
//! let (_moves, moved) = async_channel::unbounded();
//! engine.start(config.discovery, config.known.seq, moved);
//! async_io::block_on(engine.tasks.run());
//! # Ok::<(), sorrelhaven_config::Faults>(())
//! ```

mod attempt;
mod attempt_end;
mod attempt_spec;
mod backoff;
mod body_admission;
mod clock;
mod connection_pool;
mod count;
mod counters;
mod descriptor_budget;
mod discovery_poll;
mod discovery_watch;
mod dispatcher_loop;
mod engine;
mod invariants;
mod job;
mod load_report;
mod probe;
mod request;
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
pub use clock::{Clock, length};
pub use connection_pool::{ConnectionPool, PooledConnection};
pub use count::{Count, Longest};
pub use counters::{ClassCounters, Counters, RequestEnd};
pub use descriptor_budget::{DescriptorBudget, Permit};
pub use dispatcher_loop::DispatcherLoop;
pub use engine::Engine;
pub use invariants::{Drain, Invariant, Invariants, RequestGuard, SentAttempt};
pub use job::{Answer, Job, RequestMessage, RequestPayload};
pub use request::RequestHandle;
pub use responsiveness::{LONG_STEP, Responsiveness};
pub use tasks::Tasks;
pub use upstreams::Upstreams;
pub use worker_registry::WorkerRegistry;
