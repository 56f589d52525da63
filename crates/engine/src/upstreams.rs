//! The ways to executors: where they listen, and the links to them.

use crate::attempt_end::AttemptEnd;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::counters::Counters;
use crate::load_report::LoadReportFields;
use crate::tasks::Tasks;
use crate::worker_registry::WorkerRegistry;
use sorrelhaven_dispatcher::WorkerId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What executions and probes reach executors with.
pub struct Upstreams {
    /// The executors known.
    pub registry: WorkerRegistry,
    /// The server links.
    pub pool: ConnectionPool,
    /// Where large bodies wait for their turn.
    pub tasks: Rc<Tasks>,
    /// The counters.
    pub counters: Rc<Counters>,
    /// The fields of load reports.
    pub load_fields: LoadReportFields,
    /// How long after its drain was told an executor may still be sent something.
    pub drain_grace: Duration,
    /// A connection not made within this time has failed.
    pub connect_timeout: Duration,
}

impl Upstreams {
    /// A link to the executor, kept or new, and the address it goes to.
    pub async fn connection(&self, worker: WorkerId) -> Result<(SocketAddr, PooledConnection), AttemptEnd> {
        let address = self.registry.address(worker).ok_or(AttemptEnd::NoAddress)?;
        let link = match self.pool.checkout(worker, address) {
            Some(link) => link,
            None => self.pool.connect(address).await?,
        };
        Ok((address, link))
    }
}
