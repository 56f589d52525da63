//! The admin listener, where operators and their tools connect. A client sends one command on one line per
//! connection and gets the reply.
//!
//! The modules `command` (parses lines as commands), `metrics` (formats metrics as text) and `eviction`
//! (computes when a connection is closed to make room for a new one) do no I/O. `service` executes commands,
//! `server` accepts connections and `caller` serves one connection.

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
