//! A request's life: taken from a front, decided on by the module, carried out on server links, answered once.
//!
//! A front hands a [`Job`] to [`Engine::take`] and gets one [`Answer`] through the [`Ticket`]. Nothing here knows
//! how a client speaks, so every front goes through the same decisions. Files use those above them only:
//!
//! | file | concern |
//! | --- | --- |
//! | `engine` | the parts put together |
//! | `request` | one request's life, top to bottom in one task |
//! | `execution`, `probe` | one attempt at a job on a server link; one question to an executor |
//! | `ways` | what they reach executors with: `host_group` and `links` |
//! | `desk` | owns the one `Dispatcher`, feeds it events in order, routes its actions |
//! | `job` | the plain types that cross between these |
//! | `ending` | every way an execution can end, and the module's outcome for each |
//! | `places` | long bodies that are on their way to boxes at once |
//! | `invariants` | what must hold whatever happens, checked at run time |
//! | `births` | when executors started, on the node's own clock |
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

mod births;
mod clock;
mod count;
mod counters;
mod desk;
mod ending;
mod engine;
mod execution;
mod host_group;
mod invariants;
mod job;
mod links;
mod load;
mod places;
mod probe;
mod request;
mod responsiveness;
mod tasks;
#[cfg(test)]
mod tests;
mod ways;

pub use clock::{Clock, length};
pub use count::{Count, Longest};
pub use counters::{ClassCounters, Counters, End};
pub use desk::Desk;
pub use ending::Ending;
pub use engine::Engine;
pub use host_group::HostGroup;
pub use invariants::{Invariant, Invariants, RequestGuard, Written};
pub use job::{Answer, Job, Mail, Parcel};
pub use links::{Descriptors, Links, Permit, ServerLink};
pub use places::{Place, Places};
pub use request::Ticket;
pub use responsiveness::{LONG_STEP, Responsiveness};
pub use tasks::Tasks;
pub use ways::Ways;
