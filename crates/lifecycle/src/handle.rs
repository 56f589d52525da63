//! The lifecycle as the tasks of one thread share it.

use crate::{Command, CommandReply, Lifecycle};
use event_listener::{Event, EventListener};
use std::cell::RefCell;
use std::time::Instant;

/// A node's shared lifecycle, with notification of its changes.
#[derive(Default)]
pub struct LifecycleHandle {
    lifecycle: RefCell<Lifecycle>,
    changed: Event,
}

impl LifecycleHandle {
    /// Evaluates `query` on the current state.
    pub fn read<T>(&self, query: impl FnOnce(&Lifecycle) -> T) -> T {
        query(&self.lifecycle.borrow())
    }

    /// Records that the node can serve.
    pub fn startup_completed(&self, now: Instant) {
        self.lifecycle.borrow_mut().startup_completed(now);
        self.changed.notify(usize::MAX);
    }

    /// Records that a shutdown was requested.
    pub fn begin_shutdown(&self, now: Instant) {
        self.lifecycle.borrow_mut().begin_shutdown(now);
        self.changed.notify(usize::MAX);
    }

    /// Executes a command that arrived at `now`.
    pub fn execute(&self, command: Command, now: Instant) -> CommandReply {
        let reply = self.lifecycle.borrow_mut().execute(command, now);
        self.changed.notify(usize::MAX);
        reply
    }

    /// A listener for the next change. A state read after this call cannot miss a change.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }
}
