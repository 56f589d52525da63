//! The interface of the decision module: settings, events and actions as plain types.
//!
//! No type here knows how it is transported, and nothing here decides. Times are microseconds on one clock.

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
pub use status::{WorkerCounts, WorkerStatus};
pub use worker_list::{Lifecycle, WorkerEntry, WorkerListUpdate};
