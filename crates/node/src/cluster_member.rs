//! Runs the membership protocol, if the operators have configured an address for it.

use crate::start_error::StartError;
use async_io::Async;
use sorrelhaven_config::Config;
use sorrelhaven_membership::{self as membership, MemberId, Membership, Settings};
use std::cell::RefCell;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::{Instant, SystemTime};
use tracing::info;

/// This node as a member of the cluster: the protocol's state and its UDP socket.
pub struct ClusterMember {
    /// The protocol's state, shared with the admin listener, which prints the member table.
    pub membership: Rc<RefCell<Membership>>,
    socket: Async<UdpSocket>,
    started_at: Instant,
}

impl ClusterMember {
    /// Binds the UDP socket of the membership protocol. `None` if membership is not configured.
    ///
    /// # Errors
    /// A membership setting is invalid, or the socket cannot be bound to the address.
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

    /// Sends probes and handles datagrams. Never returns.
    pub async fn run(&self) {
        match membership::run(&self.socket, &self.membership, self.started_at).await {}
    }

    /// Broadcasts that this node leaves, so that the other members need not detect its failure by probes.
    pub fn leave(&self) {
        let datagrams = self.membership.borrow_mut().leave(membership::elapsed(self.started_at));
        membership::send(&self.socket, datagrams);
    }
}

/// The incarnation number of this process: the wall clock in microseconds since the Unix epoch. It is greater
/// than that of an earlier process unless the clock was set back in between.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX >> 1)
}
