//! How far a member that was declared dead raises its incarnation.
//!
//! A node whose clock was set back starts with a lower incarnation than a stale one of its own that others
//! remember. Each time it is declared dead again it raises its incarnation twice as far, so that it passes
//! the stale one in some tens of steps.

use crate::time::Micros;

/// Being declared dead again within this many probe periods means that there is a stale incarnation, not a
/// false suspicion.
const CONFLICT_PERIODS: Micros = 20;
/// The largest jump, so that incarnations don't overflow.
const MAX_JUMP: u64 = 1 << 60;

/// The jump of this member's incarnation the next time that it is declared dead.
pub(crate) struct IncarnationJump {
    size: u64,
    conflict_until: Micros,
}

impl IncarnationJump {
    pub(crate) fn new(now: Micros) -> IncarnationJump {
        IncarnationJump { size: 1, conflict_until: now }
    }

    /// Records that this member was declared dead, and returns how far to raise its incarnation. 1 means that
    /// the protocol's own step is enough.
    pub(crate) fn on_declared_dead(&mut self, now: Micros, probe_period: Micros) -> u64 {
        let is_conflict = now < self.conflict_until;
        self.size = if is_conflict { (2 * self.size).min(MAX_JUMP) } else { 1 };
        self.conflict_until = now + CONFLICT_PERIODS * probe_period;
        self.size
    }
}
