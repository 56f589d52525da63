//! The member table: what a member believes of each other one, as a value that other subsystems read.

use crate::id::MemberId;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers probes, or another member says so.
    Alive,
    /// It did not answer; it has the suspicion timeout to refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It has said that it leaves.
    Left,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        })
    }
}

/// One member of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its identity, in its latest incarnation.
    pub id: MemberId,
    /// What is believed of it.
    pub state: MemberState,
    /// When that began, on this node's clock.
    pub since: Micros,
}

/// What an update has changed in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TableChange {
    /// Nothing: the state was known, or belongs to a stale incarnation.
    None,
    /// A member is new or has another state.
    Updated,
    /// A suspect turned out to be alive.
    Refuted,
}

/// The latest incarnation of each member, by address.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
}

impl MemberTable {
    pub(crate) fn get(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address)
    }

    /// All members, by address.
    pub(crate) fn to_vec(&self) -> Vec<Member> {
        self.members.values().cloned().collect()
    }

    /// Records the state of a member.
    pub(crate) fn update(&mut self, now: Micros, id: &MemberId, state: MemberState) -> TableChange {
        let mut change = TableChange::Updated;
        if let Some(known) = self.members.get(&id.address) {
            let is_stale = known.id.incarnation > id.incarnation;
            let is_known = known.id == *id && known.state == state;
            if is_stale || is_known {
                return TableChange::None;
            }
            let was_suspect = known.id == *id && known.state == MemberState::Suspect;
            if was_suspect && state == MemberState::Alive {
                change = TableChange::Refuted;
            }
        }
        self.members.insert(id.address, Member { id: id.clone(), state, since: now });
        change
    }

    /// Removes the members that died or left at least `forget_after` ago, when the protocol has forgotten
    /// them too.
    pub(crate) fn forget_old(&mut self, now: Micros, forget_after: Micros) {
        self.members
            .retain(|_, member| member.state < MemberState::Dead || now - member.since < forget_after);
    }
}
