//! The pool of server links, and the descriptors that all links share.

use crate::attempt_end::AttemptEnd;
use crate::counters::Counters;
use sorrelhaven_dispatcher::WorkerId;
use sorrelhaven_wire::{Connection, SocketCall, SocketFailure, classify};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// DescriptorBudget kept for what is not a link: standard streams, the poller, signals, the listener and where it was handed
/// over, the watch with the asks beside it, and the operators' address with its callers.
const RESERVED: usize = 40;
/// An idle server link is dropped this long before the executor may close it. A request that crosses the
/// close would end as a reset, and a job that must not run twice could not be sent again.
const KEEPALIVE_MARGIN: Duration = Duration::from_secs(2);

/// Idle links that break when they are used are worth no less than this, whatever was found.
const KEPT_LEAST: Duration = Duration::from_millis(50);
/// For so long a finding that idle links go stale counts.
const FINDING: Duration = Duration::from_secs(60);

/// The descriptors that links may hold.
pub struct DescriptorBudget {
    most: Cell<usize>,
    used: Cell<usize>,
}

/// One descriptor of those; free again when dropped.
pub struct Permit(Rc<DescriptorBudget>);

impl DescriptorBudget {
    /// A budget within `sockets`, the limit on the whole process.
    pub fn new(sockets: usize) -> Rc<DescriptorBudget> {
        let descriptors = DescriptorBudget { most: Cell::new(0), used: Cell::new(0) };
        descriptors.resize(sockets);
        Rc::new(descriptors)
    }

    /// Another limit; where more are in use than it allows, those stay until they are free.
    pub fn resize(&self, sockets: usize) {
        self.most.set(sockets.saturating_sub(RESERVED).max(2));
    }

    /// The most client links: two thirds, so that clients alone can't leave the executors without.
    pub fn max_downstream(&self) -> usize {
        self.most.get() * 2 / 3
    }

    /// Whether more are in use than may be.
    pub fn is_exceeded(&self) -> bool {
        self.used.get() > self.most.get()
    }

    /// One descriptor, if one is free.
    pub fn acquire(self: &Rc<Self>) -> Option<Permit> {
        let free = self.used.get() < self.most.get();
        free.then(|| {
            self.used.set(self.used.get() + 1);
            Permit(self.clone())
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
    }
}

/// A connection to an executor, with its descriptor.
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// How long it had stood idle when it was taken from the pool; `None` for a new one.
    pub idle: Option<Duration>,
    address: SocketAddr,
    _permit: Permit,
}

struct Idle {
    link: PooledConnection,
    since: Instant,
}

/// The pool.
pub struct ConnectionPool {
    /// The descriptors of this node.
    pub descriptors: Rc<DescriptorBudget>,
    keepalive: Duration,
    /// Connections that had stood idle for longer were found to be stale, and until when that counts.
    found: Cell<Option<(Duration, Instant)>>,
    idle: RefCell<HashMap<WorkerId, Vec<Idle>>>,
    counters: Rc<Counters>,
}

impl ConnectionPool {
    /// An empty pool; executors close links that stand idle for `keepalive`.
    pub fn new(
        descriptors: Rc<DescriptorBudget>,
        keepalive: Duration,
        counters: Rc<Counters>,
    ) -> ConnectionPool {
        let kept = keepalive.saturating_sub(KEEPALIVE_MARGIN.min(keepalive / 2));
        let (found, idle) = (Cell::new(None), RefCell::default());
        ConnectionPool { descriptors, keepalive: kept, found, idle, counters }
    }

    /// How long an idle link is kept.
    pub fn idle_timeout(&self) -> Duration {
        match self.found.get() {
            Some((kept, until)) if Instant::now() < until => kept,
            _ => self.keepalive,
        }
    }

    /// A link that had stood idle for so long broke when it was used. Something on the way, or the executors,
    /// forgets links without a word, and sooner than the settings say: each one more may cost a job that must
    /// not run twice, where a new link costs a handshake.
    pub fn record_stale(&self, idle: Duration) {
        if idle > KEPT_LEAST {
            let kept = (idle / 2).max(KEPT_LEAST).min(self.idle_timeout());
            self.found.set(Some((kept, Instant::now() + FINDING)));
        }
    }

    /// An idle link to the executor that is fit for one more request; the one used last, so that the others
    /// can grow old.
    pub fn checkout(&self, worker: WorkerId, address: SocketAddr) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&worker)?;
        let kept = self.idle_timeout();
        while let Some(Idle { mut link, since }) = links.pop() {
            let idle = since.elapsed();
            if link.address == address && idle < kept && !link.connection.has_unsolicited_input() {
                link.idle = Some(idle);
                return Some(link);
            }
        }
        None
    }

    /// Opens a link.
    pub async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, AttemptEnd> {
        let permit = self.acquire_descriptor().ok_or(AttemptEnd::NoDescriptor)?;
        self.counters.upstream_connections.add();
        let link = Connection::connect(address).await.map_err(|error| {
            match classify(SocketCall::Connect, &error) {
                // The node's own want says nothing of the executor.
                SocketFailure::DescriptorLimit | SocketFailure::Shortage => AttemptEnd::NoDescriptor,
                SocketFailure::Interrupted | SocketFailure::NotReady | SocketFailure::Connection => {
                    AttemptEnd::Unreachable
                }
            }
        })?;
        Ok(PooledConnection { connection: link, idle: None, address, _permit: permit })
    }

    /// Takes a link back whose exchange is complete.
    pub fn check_in(&self, worker: WorkerId, link: PooledConnection) {
        if !link.connection.has_unsolicited_input() {
            let since = Instant::now();
            self.idle.borrow_mut().entry(worker).or_default().push(Idle { link, since });
        }
    }

    /// A descriptor; where none is free, that of the idle server link that would be dropped first.
    pub fn acquire_descriptor(&self) -> Option<Permit> {
        self.descriptors.acquire().or_else(|| {
            self.free_oldest();
            self.descriptors.acquire()
        })
    }

    /// Another limit on the descriptors of the process: idle server links beyond it are closed at once.
    pub fn resize(&self, sockets: usize) {
        self.descriptors.resize(sockets);
        while self.descriptors.is_exceeded() && self.free_oldest() {}
    }

    /// Drops the idle server link that would be dropped first, if there is one.
    fn free_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0].since);
        oldest.map(|links| links.remove(0)).is_some()
    }

    /// Drops the idle links that are old or that the executor has closed.
    pub fn evict_expired(&self) {
        let kept = self.idle_timeout();
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|l| l.since.elapsed() < kept && !l.link.connection.has_unsolicited_input());
            !links.is_empty()
        });
    }

    /// Drops the idle links to an executor that takes no more work.
    pub fn evict_worker(&self, worker: WorkerId) {
        self.idle.borrow_mut().remove(&worker);
    }
}
