//! By how much a member that was declared dead raises its incarnation.
//!
//! A node whose clock was set back restarts with a lower incarnation than that of its previous run, which the
//! other members remember. They declare it dead until its incarnation exceeds the stale one. Each such time
//! it raises its incarnation by twice as much as before, so that it overtakes the stale one in some tens of
//! steps.

use crate::time::Micros;

/// If a member is declared dead again within this many probe periods, the cause is not a false suspicion but
/// a stale, higher incarnation of the node.
const CONFLICT_PERIODS: Micros = 20;
/// The largest jump; it keeps incarnations from overflowing.
const MAX_JUMP: u64 = 1 << 60;

/// The exponentially growing increment of this member's incarnation.
pub(crate) struct IncarnationJump {
    /// The increment when the member was last declared dead; 1 before.
    size: u64,
    /// If the member is declared dead before this time, the increment doubles.
    conflict_until: Micros,
}

impl IncarnationJump {
    pub(crate) fn new(now: Micros) -> IncarnationJump {
        IncarnationJump { size: 1, conflict_until: now }
    }

    /// Records that this member was declared dead, and returns by how much to raise its incarnation; 1
    /// means that `foca`'s own increment of one is enough.
    pub(crate) fn on_declared_dead(&mut self, now: Micros, probe_period: Micros) -> u64 {
        let is_conflict = now < self.conflict_until;
        self.size = if is_conflict { (2 * self.size).min(MAX_JUMP) } else { 1 };
        self.conflict_until = now + CONFLICT_PERIODS * probe_period;
        self.size
    }
}
