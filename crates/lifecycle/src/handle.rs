//! The lifecycle, shared by the tasks of one thread.

use crate::{Command, CommandReply, Lifecycle};
use event_listener::{Event, EventListener};
use std::cell::RefCell;
use std::time::Instant;

/// A node's lifecycle, shared within one thread. Listeners are notified of changes.
#[derive(Default)]
pub struct LifecycleHandle {
    lifecycle: RefCell<Lifecycle>,
    changed: Event,
}

impl LifecycleHandle {
    /// Returns the result of `query` for the current state.
    pub fn read<T>(&self, query: impl FnOnce(&Lifecycle) -> T) -> T {
        query(&self.lifecycle.borrow())
    }

    /// Records that startup is complete; see [`Lifecycle::startup_completed`].
    pub fn startup_completed(&self, now: Instant) {
        self.lifecycle.borrow_mut().startup_completed(now);
        self.changed.notify(usize::MAX);
    }

    /// Records that a shutdown was requested; see [`Lifecycle::begin_shutdown`].
    pub fn begin_shutdown(&self, now: Instant) {
        self.lifecycle.borrow_mut().begin_shutdown(now);
        self.changed.notify(usize::MAX);
    }

    /// Executes a command that arrived at `now`; see [`Lifecycle::execute`].
    pub fn execute(&self, command: Command, now: Instant) -> CommandReply {
        let reply = self.lifecycle.borrow_mut().execute(command, now);
        self.changed.notify(usize::MAX);
        reply
    }

    /// Returns a listener for the next change. Every change after this call notifies it, so a caller that
    /// reads the state after the call misses none.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }
}
