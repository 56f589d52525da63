//! A budget of bytes shared by budget groups. No I/O.

/// A body that holds at most this many bytes is small: it may use the reserve of a [`Budget`], and is not
/// spilled.
pub const SMALL_BODY_BYTES: u64 = 16 * 1024;
/// The reserve for small bodies is the total of a budget divided by this.
const SMALL_BODY_RESERVE_DIVISOR: u64 = 8;

/// Limits the bytes that all bodies together hold, and divides them among budget groups. A group consists of
/// the bodies of one class and one tenant.
///
/// Half of the total is guaranteed to the groups, in equal parts. The other half is first come, first served,
/// except for a reserve that only small bodies may use. So no group can prevent another from using its
/// guarantee, and large bodies can't starve small ones.
#[derive(Clone, Debug)]
pub struct Budget {
    total: u64,
    used: u64,
    /// Bytes that are guaranteed to a group and not used by it, summed over all groups.
    unused_guarantees: u64,
    used_by_group: Vec<u64>,
}

impl Budget {
    /// An unused budget of `total` bytes for this number of groups; 0 counts as 1.
    pub fn new(total: u64, groups: usize) -> Budget {
        let mut budget =
            Budget { total, used: 0, unused_guarantees: 0, used_by_group: vec![0; groups.max(1)] };
        budget.resize(total);
        budget
    }

    /// Changes the total, in bytes. Bytes already reserved beyond a lower total stay reserved until they are
    /// released.
    pub fn resize(&mut self, total: u64) {
        self.total = total;
        let guarantee = self.guaranteed_per_group();
        self.unused_guarantees = self.used_by_group.iter().map(|&used| guarantee.saturating_sub(used)).sum();
    }

    /// The bytes that each group can reserve whatever the others use, unless they have reserved more than a
    /// total that [`Budget::resize`] has lowered.
    pub fn guaranteed_per_group(&self) -> u64 {
        self.total / 2 / self.used_by_group.len() as u64
    }

    /// The number of groups, at least 1.
    pub fn group_count(&self) -> usize {
        self.used_by_group.len()
    }

    /// The bytes that all groups together may reserve.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// The bytes that all groups together have reserved. Exceeds the total only after [`Budget::resize`].
    pub fn used(&self) -> u64 {
        self.used
    }

    /// The bytes that a group has reserved.
    ///
    /// # Panics
    /// `group` is not below [`Budget::group_count`].
    pub fn used_by(&self, group: usize) -> u64 {
        self.used_by_group[group]
    }

    /// Reserves `additional` bytes for a body of `group` that already holds `held` bytes. Returns false, and
    /// reserves nothing, if the budget has no room for them.
    ///
    /// # Panics
    /// `group` is not below [`Budget::group_count`].
    pub fn try_reserve(&mut self, group: usize, held: u64, additional: u64) -> bool {
        let guarantee = self.guaranteed_per_group();
        let used_by_group = self.used_by_group[group];
        let unused_guarantee = guarantee.saturating_sub(used_by_group);
        let unused_by_others = self.unused_guarantees - unused_guarantee;
        let is_small = held.saturating_add(additional) <= SMALL_BODY_BYTES;
        let small_body_reserve = if is_small || additional <= unused_guarantee {
            0
        } else {
            self.total / SMALL_BODY_RESERVE_DIVISOR
        };
        let needed = self
            .used
            .saturating_add(additional)
            .saturating_add(unused_by_others)
            .saturating_add(small_body_reserve);
        if needed > self.total {
            return false;
        }
        self.used += additional;
        self.used_by_group[group] = used_by_group + additional;
        self.unused_guarantees = unused_by_others + guarantee.saturating_sub(used_by_group + additional);
        true
    }

    /// Releases bytes that were reserved for a body of `group`; at most what the group has reserved.
    ///
    /// # Panics
    /// `group` is not below [`Budget::group_count`].
    pub fn release(&mut self, group: usize, bytes: u64) {
        let guarantee = self.guaranteed_per_group();
        let before = self.used_by_group[group];
        let after = before.saturating_sub(bytes);
        self.used -= before - after;
        self.used_by_group[group] = after;
        self.unused_guarantees += guarantee.saturating_sub(after) - guarantee.saturating_sub(before);
    }
}
