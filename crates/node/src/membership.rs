//! Membership as the node runs it: off unless the operators' file says where to listen.

use async_io::Async;
use sorrelhaven_config::Config;
use sorrelhaven_membership::{self as membership, Id, Membership, Settings};
use std::cell::RefCell;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::{Instant, SystemTime};
use tracing::info;

/// This node among the others.
pub struct Others {
    /// Its part in the protocol.
    pub member: Rc<RefCell<Membership>>,
    socket: Async<UdpSocket>,
    begun: Instant,
}

impl Others {
    /// Listens for others where the operators say so.
    pub fn start(config: &Config) -> Result<Option<Others>, String> {
        let set = &config.operator.membership;
        let Some(peers) = set.peers().map_err(|fault| fault.to_string())? else { return Ok(None) };
        let socket = Async::<UdpSocket>::bind(peers.listen)
            .map_err(|e| format!("membership.listen: {}: {e}", peers.listen))?;
        let listen = socket.get_ref().local_addr().unwrap_or(peers.listen);
        let address = peers.advertise.unwrap_or(listen);
        // A later start is a greater life.
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let life = u64::try_from(since.as_micros()).unwrap_or(u64::MAX >> 1);
        let settings = Settings { seeds: peers.seeds, ..Settings::of(set, peers.key) };
        info!(%listen, %address, life, "membership");
        let member = Membership::new(Id::new(&config.name, life, address), settings, config.seed, 0);
        let (member, begun) = (Rc::new(RefCell::new(member)), Instant::now());
        Ok(Some(Others { member, socket, begun }))
    }

    /// Takes part, for ever.
    pub async fn run(&self) {
        match membership::run(&self.socket, &self.member, self.begun).await {}
    }

    /// Says goodbye: the others need not find out.
    pub fn leave(&self) {
        let out = self.member.borrow_mut().leave(membership::time(self.begun));
        membership::send(&self.socket, out);
    }
}
