//! This node's part in the membership protocol; off unless the operators configure an address for it.

use crate::start_error::StartError;
use async_io::Async;
use sorrelhaven_config::Config;
use sorrelhaven_membership::{self as membership, MemberId, Membership, Settings};
use std::cell::RefCell;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::{Instant, SystemTime};
use tracing::info;

/// This node as a member of the cluster.
pub struct ClusterMember {
    /// The protocol's state.
    pub membership: Rc<RefCell<Membership>>,
    socket: Async<UdpSocket>,
    started_at: Instant,
}

impl ClusterMember {
    /// Opens membership's socket; `None` where the operators have not configured membership.
    ///
    /// # Errors
    /// A setting of membership is at fault, or its address cannot be bound.
    pub fn start(config: &Config) -> Result<Option<ClusterMember>, StartError> {
        let options = &config.operator.membership;
        let Some(peers) = options.join_parameters().map_err(StartError::Config)? else { return Ok(None) };
        let socket = Async::<UdpSocket>::bind(peers.listen)
            .map_err(|error| StartError::MembershipListen { address: peers.listen, error })?;
        let listen = socket.get_ref().local_addr().unwrap_or(peers.listen);
        let address = peers.advertise.unwrap_or(listen);
        let incarnation = incarnation();
        let settings = Settings { seeds: peers.seeds, ..Settings::from_config(options, peers.key) };
        info!(%listen, %address, life = incarnation, "membership");
        let id = MemberId::new(&config.name, incarnation, address);
        let membership = Rc::new(RefCell::new(Membership::new(id, settings, config.seed, 0)));
        Ok(Some(ClusterMember { membership, socket, started_at: Instant::now() }))
    }

    /// Takes part in the protocol. Never returns.
    pub async fn run(&self) {
        match membership::run(&self.socket, &self.membership, self.started_at).await {}
    }

    /// Sends the leave broadcast: the others need not detect this node's end.
    pub fn leave(&self) {
        let datagrams = self.membership.borrow_mut().leave(membership::elapsed(self.started_at));
        membership::send(&self.socket, datagrams);
    }
}

/// The incarnation number of this start, greater than those of earlier starts as long as the clock moves
/// forward.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX >> 1)
}
