//! The pool of idle upstream connections.

use crate::attempt_end::AttemptEnd;
use crate::counters::Counters;
use crate::descriptor_budget::{DescriptorBudget, DescriptorPermit};
use sorrelhaven_dispatcher::WorkerId;
use sorrelhaven_wire::{Connection, SocketCall, SocketFailure, classify};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An idle connection is closed this long before the worker may close it. A request that crosses the worker's
/// close ends in a reset, and one that must not run twice could not be retried.
const KEEPALIVE_MARGIN: Duration = Duration::from_secs(2);
/// The idle timeout is no shorter than this, however soon connections go stale.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a shorter idle timeout applies after a stale connection.
const SHORTENED_IDLE_TIMEOUT_DURATION: Duration = Duration::from_secs(60);

/// A connection to a worker, with the permit for its descriptor.
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// How long it had been idle when it was checked out of the pool; `None` for a new one.
    pub idle_time: Option<Duration>,
    /// The worker's address, which the connection goes to.
    pub address: SocketAddr,
    _permit: DescriptorPermit,
}

struct IdleConnection {
    upstream: PooledConnection,
    since: Instant,
}

impl IdleConnection {
    /// Whether it can carry a request: not too old, and not closed or written to by the worker.
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        self.since.elapsed() < idle_timeout && !self.upstream.connection.has_unsolicited_input()
    }
}

/// A shorter idle timeout, since a connection went stale.
#[derive(Clone, Copy)]
struct ShortenedIdleTimeout {
    idle_timeout: Duration,
    valid_until: Instant,
}

/// Keeps idle upstream connections for reuse.
pub struct ConnectionPool {
    /// The descriptors that upstream and downstream connections share.
    pub descriptors: Rc<DescriptorBudget>,
    /// The idle timeout by the settings.
    configured_idle_timeout: Duration,
    shortened_idle_timeout: Cell<Option<ShortenedIdleTimeout>>,
    /// The idle connections to each worker, the longest idle first.
    idle: RefCell<HashMap<WorkerId, Vec<IdleConnection>>>,
    counters: Rc<Counters>,
}

impl ConnectionPool {
    /// An empty pool. Workers close connections that are idle for `keepalive`.
    pub fn new(
        descriptors: Rc<DescriptorBudget>,
        keepalive: Duration,
        counters: Rc<Counters>,
    ) -> ConnectionPool {
        let margin = KEEPALIVE_MARGIN.min(keepalive / 2);
        ConnectionPool {
            descriptors,
            configured_idle_timeout: keepalive.saturating_sub(margin),
            shortened_idle_timeout: Cell::new(None),
            idle: RefCell::default(),
            counters,
        }
    }

    /// How long a connection may be idle and still be reused.
    pub fn idle_timeout(&self) -> Duration {
        match self.shortened_idle_timeout.get() {
            Some(shortened) if Instant::now() < shortened.valid_until => shortened.idle_timeout,
            _ => self.configured_idle_timeout,
        }
    }

    /// Records that a connection broke on reuse after it had been idle for `idle`, and shortens the idle
    /// timeout for a while.
    ///
    /// Something on the way, or the workers, drop connections without notice and sooner than the settings
    /// say. Each further one may cost a request that must not run twice, where a new connection costs a
    /// handshake.
    pub fn record_stale(&self, idle_time: Duration) {
        if idle_time <= MIN_IDLE_TIMEOUT {
            return;
        }
        let idle_timeout = (idle_time / 2).max(MIN_IDLE_TIMEOUT).min(self.idle_timeout());
        let valid_until = Instant::now() + SHORTENED_IDLE_TIMEOUT_DURATION;
        self.shortened_idle_timeout.set(Some(ShortenedIdleTimeout { idle_timeout, valid_until }));
    }

    /// Takes a usable connection to the worker out of the pool: the one used last, so that the others can
    /// expire.
    pub fn checkout(&self, worker: WorkerId, address: SocketAddr) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&worker)?;
        let idle_timeout = self.idle_timeout();
        while let Some(connection) = connections.pop() {
            let idle_time = connection.since.elapsed();
            if connection.upstream.address == address && connection.is_usable(idle_timeout) {
                return Some(PooledConnection { idle_time: Some(idle_time), ..connection.upstream });
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// [`AttemptEnd::NoDescriptor`] where the node is short of descriptors or memory, which says nothing of
    /// the worker; [`AttemptEnd::Unreachable`] where the connection fails.
    pub async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, AttemptEnd> {
        let permit = self.acquire_descriptor().ok_or(AttemptEnd::NoDescriptor)?;
        self.counters.upstream_connections.increment();
        let connection = Connection::connect(address).await.map_err(|error| {
            match classify(SocketCall::Connect, &error) {
                SocketFailure::DescriptorLimit | SocketFailure::Shortage => AttemptEnd::NoDescriptor,
                SocketFailure::Interrupted | SocketFailure::NotReady | SocketFailure::Connection => {
                    AttemptEnd::Unreachable
                }
            }
        })?;
        Ok(PooledConnection { connection, idle_time: None, address, _permit: permit })
    }

    /// Returns a connection whose exchange is complete to the pool.
    pub fn check_in(&self, worker: WorkerId, upstream: PooledConnection) {
        if upstream.connection.has_unsolicited_input() {
            return;
        }
        let since = Instant::now();
        self.idle.borrow_mut().entry(worker).or_default().push(IdleConnection { upstream, since });
    }

    /// A permit for a descriptor. Where none is free, the connection that has been idle the longest is closed
    /// for it.
    pub fn acquire_descriptor(&self) -> Option<DescriptorPermit> {
        self.descriptors.acquire().or_else(|| {
            self.close_longest_idle();
            self.descriptors.acquire()
        })
    }

    /// Sets another limit on the descriptors of the process, and closes idle connections beyond it at once.
    pub fn set_descriptor_limit(&self, process_limit: usize) {
        self.descriptors.set_process_limit(process_limit);
        while self.descriptors.is_exceeded() {
            if !self.close_longest_idle() {
                break;
            }
        }
    }

    /// Closes the connection that has been idle the longest; returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let longest_idle = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].since);
        match longest_idle {
            Some(connections) => {
                connections.remove(0);
                true
            }
            None => false,
        }
    }

    /// Closes the idle connections that are too old, or that their worker has closed.
    pub fn evict_expired(&self) {
        let idle_timeout = self.idle_timeout();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(idle_timeout));
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to a worker that accepts no more work.
    pub fn evict_worker(&self, worker: WorkerId) {
        self.idle.borrow_mut().remove(&worker);
    }
}
