//! The member table: a value that other subsystems read.

use crate::{Id, Micros};
use std::fmt;

/// What is held of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It answers, or someone says so.
    Alive,
    /// It did not answer; it has a while to say that it lives.
    Suspect,
    /// It did not say so in time.
    Dead,
    /// It said that it goes.
    Left,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Standing::Alive => "alive",
            Standing::Suspect => "suspect",
            Standing::Dead => "dead",
            Standing::Left => "left",
        })
    }
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Who.
    pub id: Id,
    /// What is held of it.
    pub standing: Standing,
    /// Since when, on this node's clock.
    pub since: Micros,
}
