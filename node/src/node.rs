//! What the tasks of one node share.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::desk::Desk;
use crate::host_group::HostGroup;
use crate::links::{Descriptors, Links};
use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use event_listener::Event;
use futures_lite::future::{or, yield_now};
use sorrelhaven_config::{ClassName, Config};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use stepusher::{Event as ModuleEvent, Members, WorkerId};

/// Ticks of the executor before the sockets are looked at again.
const TICKS: usize = 64;

/// One node.
pub struct Node {
    /// The desk.
    pub desk: Desk,
    /// The executors known.
    pub host_group: HostGroup,
    /// The server links.
    pub links: Links,
    /// The counters.
    pub counters: Counters,
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassName>,
    /// The tenants; none where the site has none.
    pub tenants: Vec<String>,
    /// A connection not made within this time has failed.
    pub connect_limit: Duration,
    /// Each notice closes one client link that stands idle, the one that has stood for the longest first.
    pub close_idle: Event,
    /// Each notice closes one client link that has carried no job, the oldest first.
    pub close_silent: Event,
    /// A client link has ended.
    pub link_freed: Event,
    /// The ids of the requests that are open.
    pub open_ids: RefCell<HashSet<Rc<str>>>,
    closing: Cell<bool>,
    /// Client links that are open.
    pub client_links: Cell<usize>,
    urgent: LocalExecutor<'static>,
    ordinary: LocalExecutor<'static>,
}

impl Node {
    /// A node that has loaded the host group it knew last. The receiver brings the probes to be made.
    pub fn new(config: Config) -> (Rc<Node>, Receiver<WorkerId>) {
        let (probes, asked) = async_channel::unbounded();
        let micros = |t: i64| Duration::from_micros(t.max(0) as u64);
        let limits = &config.settings.limits;
        let connect_limit = match limits.connect_timeout {
            0 => Duration::from_secs(1),
            t => micros(t),
        };
        let node = Node {
            desk: Desk::new(config.settings, config.seed, Clock::new(), probes),
            host_group: HostGroup::new(config.names),
            links: Links::new(Descriptors::new(config.sockets), micros(config.keepalive)),
            counters: Counters::default(),
            classes: config.classes,
            tenants: config.tenants,
            connect_limit,
            close_idle: Event::new(),
            close_silent: Event::new(),
            link_freed: Event::new(),
            open_ids: RefCell::default(),
            closing: Cell::new(false),
            client_links: Cell::new(0),
            urgent: LocalExecutor::new(),
            ordinary: LocalExecutor::new(),
        };
        let entries = node.host_group.learn(&config.known);
        node.desk.tell(ModuleEvent::Members(Members::Cached(entries)));
        (Rc::new(node), asked)
    }

    /// From now on client links end between requests.
    pub fn close(&self) {
        self.closing.set(true);
        self.close_idle.notify(usize::MAX);
        self.close_silent.notify(usize::MAX);
    }

    /// Whether the node is about to end.
    pub fn closing(&self) -> bool {
        self.closing.get()
    }

    /// Starts a task that nobody waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.ordinary.spawn(task).detach();
    }

    /// Starts a task that ends when what it returns is dropped.
    pub fn hold(&self, task: impl Future<Output = ()> + 'static) -> Task<()> {
        self.ordinary.spawn(task)
    }

    /// Starts a task that goes before all others whenever it can run: news of draining boxes and births.
    pub fn spawn_urgent(&self, task: impl Future<Output = ()> + 'static) {
        self.urgent.spawn(task).detach();
    }

    /// Runs all tasks, for ever.
    pub async fn run(&self) {
        loop {
            for _ in 0..TICKS {
                while self.urgent.try_tick() {}
                if !self.ordinary.try_tick() {
                    or(self.urgent.tick(), self.ordinary.tick()).await;
                }
            }
            yield_now().await;
        }
    }
}
