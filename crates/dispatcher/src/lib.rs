//! The decisions of a dispatcher that pushes jobs to workers.
//!
//! [`Dispatcher`] takes events and answers with actions. It does no I/O, reads no clock and starts no
//! thread: the host passes the time in and carries the actions out.
//!
//! ```
//! use sorrelhaven_dispatcher::*;
//!
//! let settings = Settings {
//!     me: 0,
//!     balancers: 1,
//!     zone: 0,
//!     kinds: 1,
//!     classes: vec![Class {
//!         effect: Effect::Safe,
//!         aim: 100_000,
//!         stretch: 2.0,
//!         deadline: 5_000_000,
//!         worth: 1.0,
//!         late_worth: 0.0,
//!         kind: None,
//!     }],
//!     limits: Limits {
//!         max_attempts: 3,
//!         second_copies: false,
//!         cancel: true,
//!         probes: false,
//!         max_retry_after: 1_000_000,
//!         connect_timeout: 250_000,
//!     },
//!     rules: RuleFigures {
//!         cold_from: 0.2,
//!         cold: 10_000_000,
//!         fall_multiple: 3.0,
//!         fall: 2_000_000,
//!         full_may_have_run: false,
//!     },
//!     prices: Prices::default(),
//!     marks_retry: false,
//!     subscribe: false,
//!     tells_start: true,
//!     progress: 0,
//!     tick: 1_000,
//!     live_weights: false,
//!     report: ReportFields::default(),
//! };
//! let mut dispatcher = Dispatcher::new(settings, 7);
//! let mut actions = Vec::new();
//! let worker = WorkerId(0);
//! let entry = Entry {
//!     worker,
//!     key: 99,
//!     lifecycle: Lifecycle::Ready,
//!     born: 0,
//!     kind: 0,
//!     zone: 0,
//!     cell: 0,
//!     rating: 1.0,
//! };
//! dispatcher.handle(0, Event::Members(Members::Full(vec![entry])), &mut actions);
//! let arrival = Arrival {
//!     request: RequestId(1),
//!     class: 0,
//!     due: 5_001_000,
//!     hint: Some(40_000),
//!     width: 1.0,
//!     resent: false,
//!     key: 0,
//!     sendable: true,
//! };
//! dispatcher.handle(1_000, Event::Arrival(arrival), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { worker: WorkerId(0), .. })));
//! ```

mod dispatcher;
mod interface;
mod nearest;
mod record;

pub use dispatcher::Dispatcher;
pub use interface::*;
