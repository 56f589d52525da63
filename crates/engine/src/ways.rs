//! The ways to executors: where they listen, and the links to them.

use crate::counters::Counters;
use crate::ending::Ending;
use crate::host_group::HostGroup;
use crate::links::{Links, ServerLink};
use crate::load::Fields;
use crate::tasks::Tasks;
use sorrelhaven_dispatcher::WorkerId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What executions and probes reach executors with.
pub struct Ways {
    /// The executors known.
    pub host_group: HostGroup,
    /// The server links.
    pub links: Links,
    /// Where large bodies wait for their turn.
    pub tasks: Rc<Tasks>,
    /// The counters.
    pub counters: Rc<Counters>,
    /// The fields of load reports.
    pub loads: Fields,
    /// How long after its drain was told an executor may still be sent something.
    pub drain_grace: Duration,
    /// A connection not made within this time has failed.
    pub connect_limit: Duration,
}

impl Ways {
    /// A link to the executor, kept or new, and the address it goes to.
    pub async fn link(&self, worker: WorkerId) -> Result<(SocketAddr, ServerLink), Ending> {
        let address = self.host_group.address(worker).ok_or(Ending::NoAddress)?;
        let link = match self.links.take(worker, address) {
            Some(link) => link,
            None => self.links.open(address).await?,
        };
        Ok((address, link))
    }
}
