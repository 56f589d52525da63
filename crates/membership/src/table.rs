//! The member table: a value that other subsystems read.

use crate::{Id, Micros};
use std::fmt;

/// What is held of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers, or someone says so.
    Alive,
    /// It did not answer; it has a while to say that it lives.
    Suspect,
    /// It did not say so in time.
    Dead,
    /// It said that it goes.
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

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Who.
    pub id: Id,
    /// What is held of it.
    pub state: MemberState,
    /// Since when, on this node's clock.
    pub since: Micros,
}
