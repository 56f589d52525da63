//! The pool of idle upstream connections.

use crate::attempt_end::AttemptEnd;
use crate::counters::Counters;
use crate::descriptor_budget::{DescriptorBudget, DescriptorPermit};
use sorrelhaven_dispatcher::WorkerId;
use sorrelhaven_wire::{BufferBudget, Connection, SocketCall, SocketFailure, classify};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An idle connection is closed this long before the worker's keep-alive timeout, or after half of that
/// timeout if that is later. A request that is sent while the worker closes the connection ends in a reset,
/// and an at-most-once request could then not be retried.
const KEEPALIVE_MARGIN: Duration = Duration::from_secs(2);
/// The least idle timeout, even if connections become stale sooner.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the shortened idle timeout applies after a stale connection.
const SHORTENED_IDLE_TIMEOUT_DURATION: Duration = Duration::from_secs(60);

/// A connection to a worker, with the permit for its descriptor.
pub struct PooledConnection {
    /// The HTTP connection to the worker.
    pub connection: Connection,
    /// How long the connection had been idle when it was checked out of the pool; `None` for a new one.
    pub idle_time: Option<Duration>,
    /// The worker's address that the connection was made to.
    pub address: SocketAddr,
    _permit: DescriptorPermit,
}

struct IdleConnection {
    upstream: PooledConnection,
    since: Instant,
}

impl IdleConnection {
    /// Whether the connection can be reused: it has been idle for less than `idle_timeout`, and the worker
    /// has neither closed it nor sent anything on it.
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        self.since.elapsed() < idle_timeout && !self.upstream.connection.has_unsolicited_input()
    }
}

/// An idle timeout that replaces the configured one for a while after a connection was found to be stale.
#[derive(Clone, Copy)]
struct ShortenedIdleTimeout {
    idle_timeout: Duration,
    valid_until: Instant,
}

/// Keeps idle connections to workers for reuse: those on which each request got one whole response, which named it and did
/// not reject it. So a response that names no request, on a connection of the pool or a new one, answers the request that
/// was written last, and is no late copy of an earlier response.
pub struct ConnectionPool {
    /// The budget of descriptors that upstream connections, downstream connections and body files share.
    pub descriptors: Rc<DescriptorBudget>,
    /// The memory for the buffers of upstream connections.
    buffers: Rc<BufferBudget>,
    /// The workers' keep-alive timeout from the settings, less the margin.
    configured_idle_timeout: Duration,
    shortened_idle_timeout: Cell<Option<ShortenedIdleTimeout>>,
    /// The idle connections of each worker, longest idle first.
    idle: RefCell<HashMap<WorkerId, Vec<IdleConnection>>>,
    counters: Rc<Counters>,
}

impl ConnectionPool {
    /// Creates an empty pool, whose connections take the memory for their buffers from `buffers`.
    /// `keepalive`: workers close connections that have been idle for this long.
    pub fn new(
        descriptors: Rc<DescriptorBudget>,
        buffers: Rc<BufferBudget>,
        keepalive: Duration,
        counters: Rc<Counters>,
    ) -> ConnectionPool {
        let margin = KEEPALIVE_MARGIN.min(keepalive / 2);
        ConnectionPool {
            descriptors,
            buffers,
            configured_idle_timeout: keepalive.saturating_sub(margin),
            shortened_idle_timeout: Cell::new(None),
            idle: RefCell::default(),
            counters,
        }
    }

    /// How long a connection may be idle and still be reused, at present.
    pub fn idle_timeout(&self) -> Duration {
        match self.shortened_idle_timeout.get() {
            Some(shortened) if Instant::now() < shortened.valid_until => shortened.idle_timeout,
            _ => self.configured_idle_timeout,
        }
    }

    /// Records that a connection failed on reuse after `idle_time`, and shortens the idle timeout for a
    /// while.
    ///
    /// The workers, or a middlebox on the path, drop idle connections without notice and sooner than the
    /// settings state. A further stale connection may fail an at-most-once request, while a new connection
    /// costs only a handshake.
    pub fn record_stale(&self, idle_time: Duration) {
        if idle_time <= MIN_IDLE_TIMEOUT {
            return;
        }
        let idle_timeout = (idle_time / 2).max(MIN_IDLE_TIMEOUT).min(self.idle_timeout());
        let valid_until = Instant::now() + SHORTENED_IDLE_TIMEOUT_DURATION;
        self.shortened_idle_timeout.set(Some(ShortenedIdleTimeout { idle_timeout, valid_until }));
    }

    /// Takes a usable connection to `worker` at `address` out of the pool: the most recently used one, so
    /// that surplus connections expire.
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
    /// [`AttemptEnd::NoDescriptor`] if the node lacks a descriptor or another resource, which says nothing
    /// about the worker; [`AttemptEnd::Unreachable`] if the connection fails.
    pub async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, AttemptEnd> {
        let permit = self.acquire_descriptor().ok_or(AttemptEnd::NoDescriptor)?;
        self.counters.upstream_connections.increment();
        let connection =
            Connection::connect(address, &self.buffers).await.map_err(|error| {
                match classify(SocketCall::Connect, &error) {
                    SocketFailure::DescriptorLimit | SocketFailure::Shortage => AttemptEnd::NoDescriptor,
                    SocketFailure::Interrupted | SocketFailure::NotReady | SocketFailure::Connection => {
                        AttemptEnd::Unreachable
                    }
                }
            })?;
        Ok(PooledConnection { connection, idle_time: None, address, _permit: permit })
    }

    /// Returns a connection to the pool, on which nothing was written or the last response was whole, named its request and
    /// did not reject it. Closes it if it cannot be reused.
    pub fn check_in(&self, worker: WorkerId, mut upstream: PooledConnection) {
        upstream.connection.release_memory();
        if upstream.connection.has_unsolicited_input() {
            return;
        }
        let since = Instant::now();
        self.idle.borrow_mut().entry(worker).or_default().push(IdleConnection { upstream, since });
    }

    /// Takes a permit for a descriptor. If none is free, closes the longest idle connection for it; returns
    /// `None` if that frees none either.
    pub fn acquire_descriptor(&self) -> Option<DescriptorPermit> {
        self.descriptors.acquire().or_else(|| {
            self.close_longest_idle();
            self.descriptors.acquire()
        })
    }

    /// Changes the limit on the descriptors of the process, and closes idle connections until it is met or
    /// none is left.
    pub fn set_descriptor_limit(&self, process_limit: usize) {
        self.descriptors.set_process_limit(process_limit);
        while self.descriptors.is_exceeded() {
            if !self.close_longest_idle() {
                break;
            }
        }
    }

    /// Closes the longest idle connection; returns false if there is no idle one.
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

    /// Closes the idle connections that have exceeded the idle timeout, or that their worker has closed.
    pub fn evict_expired(&self) {
        let idle_timeout = self.idle_timeout();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(idle_timeout));
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to a worker that is gone.
    pub fn evict_worker(&self, worker: WorkerId) {
        self.idle.borrow_mut().remove(&worker);
    }
}
