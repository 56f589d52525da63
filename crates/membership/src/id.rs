//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a member: one incarnation of a node. A node that restarts is another member, and is never
/// mistaken for a stale incarnation of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId {
    /// The node's name, the same in all its incarnations.
    pub name: String,
    /// Greater than in all earlier incarnations. At a start it is the time, so that the next one is greater.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

impl MemberId {
    /// An incarnation of the node of this name at this address.
    pub fn new(name: &str, incarnation: u64, address: SocketAddr) -> MemberId {
        MemberId { name: name.to_string(), incarnation, address }
    }
}

impl Identity for MemberId {
    type Addr = SocketAddr;

    /// A member that was declared dead while it is alive continues as its next incarnation.
    fn renew(&self) -> Option<MemberId> {
        Some(MemberId { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Of two members at the same address the later incarnation wins.
    fn win_addr_conflict(&self, adversary: &MemberId) -> bool {
        (self.incarnation, &self.name) > (adversary.incarnation, &adversary.name)
    }
}
