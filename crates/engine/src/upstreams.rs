//! What attempts and probes share: the registry of workers, the connection pool, counters and limits.

use crate::attempt_end::AttemptEnd;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::counters::Counters;
use crate::load_report::LoadReportFields;
use crate::tasks::Tasks;
use crate::worker_registry::WorkerRegistry;
use sorrelhaven_dispatcher::WorkerId;
use std::rc::Rc;
use std::time::Duration;

/// Resources and limits that all attempts and probes share.
pub struct Upstreams {
    /// The known workers.
    pub registry: WorkerRegistry,
    /// The idle connections to workers.
    pub pool: ConnectionPool,
    /// The executor of all tasks; attempts yield to its other tasks between the blocks of large bodies.
    pub tasks: Rc<Tasks>,
    /// The node's counters.
    pub counters: Rc<Counters>,
    /// Parses load reports according to the settings.
    pub load_report_fields: LoadReportFields,
    /// How long requests may still be sent to a worker after the node was notified that the worker drains.
    pub drain_grace: Duration,
    /// The time limit for connecting to a worker.
    pub connect_timeout: Duration,
}

impl Upstreams {
    /// Takes a connection to the worker from the pool, or opens a new one.
    ///
    /// # Errors
    ///
    /// [`AttemptEnd::NoAddress`] if the worker has no known address, and the errors of
    /// [`ConnectionPool::connect`].
    pub async fn connection(&self, worker: WorkerId) -> Result<PooledConnection, AttemptEnd> {
        let address = self.registry.address(worker).ok_or(AttemptEnd::NoAddress)?;
        match self.pool.checkout(worker, address) {
            Some(upstream) => Ok(upstream),
            None => self.pool.connect(address).await,
        }
    }
}
