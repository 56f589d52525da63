//! The identity of a member in the protocol.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a member: one incarnation of a node. A restarted node has another identity, so that
/// suspicions and death reports about its previous run don't apply to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId {
    /// The node's name, the same in all its incarnations.
    pub name: String,
    /// Greater than in all earlier incarnations, unless the node's clock was set back. A node starts with the
    /// current time, so that each start has a greater one; a member that was declared dead raises it.
    pub incarnation: u64,
    /// The address and port at which other members reach it.
    pub address: SocketAddr,
}

impl MemberId {
    /// The identity of the node `name`, reached at `address`, in one incarnation.
    pub fn new(name: &str, incarnation: u64, address: SocketAddr) -> MemberId {
        MemberId { name: name.to_string(), incarnation, address }
    }
}

impl Identity for MemberId {
    type Addr = SocketAddr;

    /// The identity with which a live member that was declared dead rejoins the cluster.
    fn renew(&self) -> Option<MemberId> {
        Some(MemberId { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Of two identities at one address the higher incarnation wins, then the greater name.
    fn win_addr_conflict(&self, adversary: &MemberId) -> bool {
        (self.incarnation, &self.name) > (adversary.incarnation, &adversary.name)
    }
}
