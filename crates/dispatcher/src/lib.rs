//! Decision logic of a dispatcher that sends jobs to workers.
//!
//! [`Dispatcher`] takes events and returns actions. It does no I/O, reads no clock and starts no thread: its
//! host passes in the time and performs the actions.
//!
//! ```
//! use sorrelhaven_dispatcher::*;
//!
//! let settings = Settings {
//!     instance: 0,
//!     instances: 1,
//!     zone: 0,
//!     worker_kinds: 1,
//!     classes: vec![Class {
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: 100_000,
//!         objective_stretch: 2.0,
//!         deadline: 5_000_000,
//!         priority_weight: 1.0,
//!         late_value_fraction: 0.0,
//!         worker_kind: None,
//!     }],
//!     limits: Limits {
//!         max_attempts: 3,
//!         hedging: false,
//!         cancel: true,
//!         probes: false,
//!         max_retry_after: 1_000_000,
//!         connect_timeout: 250_000,
//!         rejection_may_have_run: false,
//!     },
//!     slow_start: SlowStartRules {
//!         initial_capacity: 0.2,
//!         duration: 10_000_000,
//!         overload_factor: 3.0,
//!         overload_window: 2_000_000,
//!     },
//!     penalties: Penalties::default(),
//!     clients_mark_retries: false,
//!     worker_list_needs_watch: false,
//!     workers_report_start: true,
//!     progress_interval: 0,
//!     min_timer_delay: 1_000,
//!     weights_include_load: false,
//!     report_fields: ReportFields::default(),
//! };
//! let mut dispatcher = Dispatcher::new(settings, 7);
//! let mut actions = Vec::new();
//! let worker = WorkerId(0);
//! let entry = WorkerEntry {
//!     worker,
//!     name_hash: 99,
//!     lifecycle: Lifecycle::Ready,
//!     started_at: 0,
//!     kind: 0,
//!     zone: 0,
//!     cell: 0,
//!     weight: 1.0,
//! };
//! dispatcher.handle(0, Event::WorkerList(WorkerListUpdate::Full(vec![entry])), &mut actions);
//! let arrival = Arrival {
//!     request: RequestId(1),
//!     class: 0,
//!     deadline: 5_001_000,
//!     work_hint: Some(40_000),
//!     slots: 1.0,
//!     is_retry: false,
//!     affinity_key: 0,
//!     body_sendable: true,
//! };
//! dispatcher.handle(1_000, Event::Arrival(arrival), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { worker: WorkerId(0), .. })));
//! ```

mod dispatcher;
mod interface;

pub use dispatcher::Dispatcher;
pub use interface::{
    Action, Arrival, Class, DedupScope, Event, Idempotency, Lifecycle, Limits, Micros, Outcome, Penalties,
    ReportFields, RequestId, Settings, SlowStartRules, SlowStartStatus, WorkerCounts, WorkerEntry, WorkerId,
    WorkerListUpdate, WorkerStatus,
};
