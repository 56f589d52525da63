//! The admin listener: each connection carries one command on one line and gets its reply.
//!
//! The modules `command` (reads lines into commands), `metrics` (formats metrics as text) and `eviction`
//! (decides which caller makes room) do no I/O. `service` executes commands, `server` accepts callers and
//! `caller` talks to one.

mod caller;
mod command;
mod eviction;
mod metrics;
mod server;
mod service;

pub use command::{AdminCommand, CommandError, CommandReader, MAX_LINE_BYTES};
pub use eviction::{MAX_CONNECTIONS, next_eviction_at};
pub use metrics::{ClassMetrics, Metric, MetricKind, Metrics};
pub use server::{listen, serve};
pub use service::AdminService;
