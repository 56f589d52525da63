//! The lifecycle as one thread shares it.

use crate::{Command, CommandReply, Lifecycle};
use event_listener::{Event, EventListener};
use std::cell::RefCell;
use std::time::Instant;

/// The lifecycle of this node, with notice of its changes.
#[derive(Default)]
pub struct LifecycleHandle {
    lifecycle: RefCell<Lifecycle>,
    changed: Event,
}

impl LifecycleHandle {
    /// What `look` finds.
    pub fn read<T>(&self, look: impl FnOnce(&Lifecycle) -> T) -> T {
        look(&self.lifecycle.borrow())
    }

    /// The node can serve.
    pub fn loaded(&self, now: Instant) {
        self.lifecycle.borrow_mut().loaded(now);
        self.changed.notify(usize::MAX);
    }

    /// The node was told to end.
    pub fn stop(&self, now: Instant) {
        self.lifecycle.borrow_mut().stop(now);
        self.changed.notify(usize::MAX);
    }

    /// Does what the operators call for.
    pub fn call(&self, call: Command, now: Instant) -> CommandReply {
        let reply = self.lifecycle.borrow_mut().call(call, now);
        self.changed.notify(usize::MAX);
        reply
    }

    /// The next change; whoever looks after asking for it misses none.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }
}
