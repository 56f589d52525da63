//! The lifecycle of a node: starting, serving, drained or stopping, and what each phase means for client
//! connections.
//!
//! [`Lifecycle`] alone holds this state. It does no I/O and reads no clock: commands and signals are passed
//! in with the time at which they arrived, and every phase defines the effect of each. [`LifecycleHandle`]
//! shares it within one thread and notifies listeners of changes.
//!
//! ```
//! use sorrelhaven_lifecycle::{Command, CommandReply, Lifecycle, Phase};
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let mut lifecycle = Lifecycle::default();
//! assert_eq!(lifecycle.execute(Command::Ready, now), CommandReply::Failure("starting"));
//! lifecycle.startup_completed(now);
//! assert_eq!(lifecycle.execute(Command::Ready, now), CommandReply::Success("serving"));
//! assert_eq!(lifecycle.execute(Command::Drain, now), CommandReply::Success("drained"));
//! assert_eq!(lifecycle.phase(), Phase::Drained { since: now });
//! assert_eq!(lifecycle.execute(Command::Resume, now), CommandReply::Success("serving"));
//! ```

mod handle;
mod lifecycle;
mod shutdown;

pub use handle::LifecycleHandle;
pub use lifecycle::{Command, CommandReply, Lifecycle, Phase};
