//! The member table: the state of each member as the local member knows it, in types for other subsystems.

use crate::id::MemberId;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// The state of a member as the local member knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers probes, or gossip reports it alive.
    Alive,
    /// It did not answer a probe; it is declared dead unless it refutes within the suspicion timeout.
    Suspect,
    /// It did not refute the suspicion within the suspicion timeout.
    Dead,
    /// It announced that it leaves the cluster.
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

/// An entry of the member table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's identity in its latest known incarnation.
    pub id: MemberId,
    /// Its state as the local member knows it.
    pub state: MemberState,
    /// When it entered this state, on the local member's clock.
    pub since: Micros,
}

/// The effect of an update on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TableChange {
    /// No change: the state was recorded already, or belongs to a stale incarnation.
    Unchanged,
    /// The member, its incarnation or its state is new.
    Updated,
    /// A suspect is alive again: the suspicion was refuted.
    Refuted,
}

/// Each member in its latest known incarnation, by address.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
}

impl MemberTable {
    pub(crate) fn get(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address)
    }

    /// All members, sorted by address.
    pub(crate) fn to_vec(&self) -> Vec<Member> {
        self.members.values().cloned().collect()
    }

    /// Records the state of a member, unless a later incarnation at its address is known.
    pub(crate) fn update(&mut self, now: Micros, id: &MemberId, state: MemberState) -> TableChange {
        let mut change = TableChange::Updated;
        if let Some(known) = self.members.get(&id.address) {
            let is_stale = known.id.incarnation > id.incarnation;
            let is_recorded = known.id == *id && known.state == state;
            if is_stale || is_recorded {
                return TableChange::Unchanged;
            }
            let was_suspect = known.id == *id && known.state == MemberState::Suspect;
            if was_suspect && state == MemberState::Alive {
                change = TableChange::Refuted;
            }
        }
        self.members.insert(id.address, Member { id: id.clone(), state, since: now });
        change
    }

    /// Removes the members that died or left at least `forget_after` ago; `foca` forgets them after the same
    /// time.
    pub(crate) fn remove_expired(&mut self, now: Micros, forget_after: Micros) {
        self.members
            .retain(|_, member| member.state < MemberState::Dead || now - member.since < forget_after);
    }
}
