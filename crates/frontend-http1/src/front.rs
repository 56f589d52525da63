//! What the client links of one front share.

use crate::intake::WHOLE;
use event_listener::Event;
use futures_lite::future::or;
use sorrelhaven_config::{ClassName, Config};
use sorrelhaven_engine::{ConnectionPool, Count, Engine, length};
use sorrelhaven_lifecycle::{Lifecycle, LifecycleHandle};
use sorrelhaven_wire::timeout_at;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What this front has taken in, beside the engine's counts.
#[derive(Default)]
pub struct Counters {
    /// Client links accepted.
    pub client_links: Count,
    /// Requests that could not be taken, answered by the protocol alone.
    pub malformed: Count,
    /// Client links closed for want of descriptors, nothing having come on them.
    pub evicted: Count,
    /// Accepts that failed, and connections that could not be served once accepted.
    pub accepts_failed: Count,
}

impl Counters {
    /// All counts with their names, in the order in which they are shown.
    pub fn metrics(&self) -> [(&'static str, u64); 4] {
        [
            ("downstream_connections", self.client_links.get()),
            ("malformed_requests", self.malformed.get()),
            ("evicted_connections", self.evicted.get()),
            ("accepts_failed", self.accepts_failed.get()),
        ]
    }
}

/// The front of one node.
pub struct Front {
    /// Where jobs go.
    pub(crate) engine: Rc<Engine>,
    /// The classes, in the order of the settings.
    pub(crate) classes: Vec<ClassName>,
    /// The tenants; none where the site has none.
    pub(crate) tenants: Vec<String>,
    /// The counters.
    pub counters: Counters,
    /// Client links that are open.
    pub(crate) client_links: Cell<usize>,
    /// The last accept failed.
    pub(crate) accept_failing: Cell<bool>,
    /// Each notice closes one client link that stands idle, the one that has stood for the longest first.
    pub(crate) close_idle: Event,
    /// Each notice closes one client link that has carried no job, the oldest first.
    pub(crate) close_silent: Event,
    /// A client link has ended.
    pub(crate) link_freed: Event,
    /// Client links that stand idle are to end now.
    pub(crate) leave: Event,
    /// What the node is.
    pub(crate) lifecycle: Rc<LifecycleHandle>,
    /// The longest that a client waits, by the settings.
    longest: Duration,
}

impl Front {
    /// A front that hands its jobs to `engine` and asks `standing` whether clients are wanted.
    pub fn new(engine: Rc<Engine>, config: &Config, standing: Rc<LifecycleHandle>) -> Rc<Front> {
        let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        Rc::new(Front {
            engine,
            classes: config.classes.clone(),
            tenants: config.tenants.clone(),
            counters: Counters::default(),
            client_links: Cell::new(0),
            accept_failing: Cell::new(false),
            close_idle: Event::new(),
            close_silent: Event::new(),
            link_freed: Event::new(),
            leave: Event::new(),
            lifecycle: standing,
            longest: length(longest),
        })
    }

    /// Waits until the time that `time` finds in the node's lifecycle has come, through all changes of that.
    pub async fn reached(&self, time: impl Fn(&Lifecycle) -> Option<Instant>) {
        loop {
            let change = self.lifecycle.changed();
            match self.lifecycle.read(&time) {
                None => change.await,
                Some(at) => {
                    if timeout_at(at, change).await.is_none() {
                        return;
                    }
                }
            }
        }
    }

    /// Ends the client links that stand idle whenever the node has emptied for so long, for ever.
    pub async fn send_away(&self) {
        loop {
            self.reached(Lifecycle::idle_close_at).await;
            let change = self.lifecycle.changed();
            self.leave.notify(usize::MAX);
            change.await;
        }
    }

    /// What comes of `work`, which reads a request whose first byte could come at `first`; `None` where that takes
    /// longer than a request may, or than a node that empties can wait.
    pub(crate) async fn whole<T>(&self, first: Instant, work: impl Future<Output = T>) -> Option<T> {
        or(timeout_at(first + WHOLE, work), async {
            self.hurry(first).await;
            None
        })
        .await
    }

    /// Waits until a node that empties can wait no longer for a request whose first byte could come at `first`. One
    /// that comes later is none of those that it waits for.
    pub(crate) async fn hurry(&self, first: Instant) {
        self.reached(|lifecycle| lifecycle.request_read_deadline(self.longest).filter(|by| *by > first))
            .await;
    }

    /// By when a request that came whole at `came` must have its answer, whatever its client allows.
    pub(crate) fn answer_by(&self, came: Instant) -> Option<Instant> {
        self.lifecycle.read(|lifecycle| lifecycle.answer_deadline(came, self.longest))
    }

    /// Has as many client links give way as there are beyond the bound on them.
    pub fn shed(&self) {
        let beyond = self.client_links.get().saturating_sub(self.links().descriptors.max_downstream());
        let silent = self.close_silent.notify_additional(beyond);
        self.close_idle.notify_additional(beyond - silent);
    }

    /// Client links that are open.
    pub fn open_links(&self) -> usize {
        self.client_links.get()
    }

    /// Whether each answer is to end its client link.
    pub(crate) fn empties(&self) -> bool {
        self.lifecycle.read(Lifecycle::is_draining)
    }

    /// The server links, which share the descriptors.
    pub(crate) fn links(&self) -> &ConnectionPool {
        &self.engine.upstreams.pool
    }
}
