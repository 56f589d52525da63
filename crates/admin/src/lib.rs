//! The operators' address: each connection carries one line, a call, and gets its answer.
//!
//! `call` reads lines into calls, `metrics` writes metrics as text, `places` says which caller gives way; they do no
//! I/O. `desk` answers calls, `serve` has the sockets.

mod call;
mod desk;
mod metrics;
mod places;
mod serve;

pub use call::{Asked, Incoming, LINE_MOST, Unread};
pub use desk::Desk;
pub use metrics::{ClassMetrics, Metrics};
pub use places::{PLACES, gives_way};
pub use serve::{listen, serve};
