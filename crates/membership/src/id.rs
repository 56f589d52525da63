//! Who a member is.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member: one life of a node. A node that starts again is another member, and never mistaken for its ghost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// The node's name, the same in all its lives.
    pub name: String,
    /// Which life: greater than all before it. A start time, so that the next one is.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Id {
    /// A life of the node of this name at this address.
    pub fn new(name: &str, life: u64, address: SocketAddr) -> Id {
        Id { name: name.to_string(), incarnation: life, address }
    }
}

impl Identity for Id {
    type Addr = SocketAddr;

    /// A member that was declared dead though it lives goes on as its own next life.
    fn renew(&self) -> Option<Id> {
        Some(Id { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Of two at one address the later life is the one that lives.
    fn win_addr_conflict(&self, adversary: &Id) -> bool {
        (self.incarnation, &self.name) > (adversary.incarnation, &adversary.name)
    }
}
