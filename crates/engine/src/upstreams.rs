//! How attempts and probes reach workers: the registry of workers and the pool of connections.

use crate::attempt_end::AttemptEnd;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::counters::Counters;
use crate::load_report::LoadReportFields;
use crate::tasks::Tasks;
use crate::worker_registry::WorkerRegistry;
use sorrelhaven_dispatcher::WorkerId;
use std::rc::Rc;
use std::time::Duration;

/// What attempts and probes share to reach workers.
pub struct Upstreams {
    /// The known workers.
    pub registry: WorkerRegistry,
    /// The idle connections to them.
    pub pool: ConnectionPool,
    /// The executor of all tasks, for turns between the blocks of large bodies.
    pub tasks: Rc<Tasks>,
    /// The node's counters.
    pub counters: Rc<Counters>,
    /// The fields of load reports.
    pub load_report_fields: LoadReportFields,
    /// How long after the notice of its drain a worker may still be sent requests.
    pub drain_grace: Duration,
    /// The limit on making a connection.
    pub connect_timeout: Duration,
}

impl Upstreams {
    /// A connection to the worker, pooled or new.
    ///
    /// # Errors
    ///
    /// [`AttemptEnd::NoAddress`] for a worker without an address, and the errors of
    /// [`ConnectionPool::connect`].
    pub async fn connection(&self, worker: WorkerId) -> Result<PooledConnection, AttemptEnd> {
        let address = self.registry.address(worker).ok_or(AttemptEnd::NoAddress)?;
        match self.pool.checkout(worker, address) {
            Some(upstream) => Ok(upstream),
            None => self.pool.connect(address).await,
        }
    }
}
