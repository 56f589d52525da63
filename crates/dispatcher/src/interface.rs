//! The types that a dispatcher and its host exchange: settings, events, actions and status.
//!
//! They are plain data, independent of how they are transported. All times are in microseconds on one clock.

mod actions;
mod events;
mod ids;
mod settings;
mod status;
mod worker_list;

pub use actions::Action;
pub use events::{Arrival, Event, Outcome};
pub use ids::{Micros, RequestId, WorkerId};
pub use settings::{
    Class, DedupScope, Idempotency, Limits, Penalties, ReportFields, Settings, SlowStartRules,
};
pub use status::{SlowStartStatus, WorkerCounts, WorkerStatus};
pub use worker_list::{Lifecycle, WorkerEntry, WorkerListUpdate};
