//! What the client links of one front share.

use event_listener::Event;
use sorrelhaven_config::{ClassName, Config};
use sorrelhaven_engine::{Count, Engine, Links};
use std::cell::Cell;
use std::rc::Rc;

/// What this front has taken in, beside the engine's counts.
#[derive(Default)]
pub struct Counters {
    /// Client links accepted.
    pub client_links: Count,
    /// Requests that could not be taken, answered by the protocol alone.
    pub malformed: Count,
}

impl Counters {
    /// All counts with their names, in the order in which they are shown.
    pub fn figures(&self) -> [(&'static str, u64); 2] {
        [("client_links", self.client_links.get()), ("malformed", self.malformed.get())]
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
    /// Each notice closes one client link that stands idle, the one that has stood for the longest first.
    pub(crate) close_idle: Event,
    /// Each notice closes one client link that has carried no job, the oldest first.
    pub(crate) close_silent: Event,
    /// A client link has ended.
    pub(crate) link_freed: Event,
    closing: Cell<bool>,
}

impl Front {
    /// A front that hands its jobs to `engine`.
    pub fn new(engine: Rc<Engine>, config: &Config) -> Rc<Front> {
        Rc::new(Front {
            engine,
            classes: config.classes.clone(),
            tenants: config.tenants.clone(),
            counters: Counters::default(),
            client_links: Cell::new(0),
            close_idle: Event::new(),
            close_silent: Event::new(),
            link_freed: Event::new(),
            closing: Cell::new(false),
        })
    }

    /// From now on client links end between requests.
    pub fn close(&self) {
        self.closing.set(true);
        self.close_idle.notify(usize::MAX);
        self.close_silent.notify(usize::MAX);
    }

    /// Client links that are open.
    pub fn open_links(&self) -> usize {
        self.client_links.get()
    }

    /// Whether the node is about to end.
    pub(crate) fn closing(&self) -> bool {
        self.closing.get()
    }

    /// The server links, which share the descriptors.
    pub(crate) fn links(&self) -> &Links {
        &self.engine.ways.links
    }
}
