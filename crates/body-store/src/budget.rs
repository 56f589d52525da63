//! A budget of bytes shared by tenants. No I/O.

/// A body that holds at most this many bytes is small, and may use the reserve of a [`Budget`].
pub const SMALL_BODY_BYTES: u64 = 16 * 1024;
/// One part in this many of a budget is a reserve that only small bodies may use.
const SMALL_BODY_RESERVE_DIVISOR: u64 = 8;

/// Counts the bytes that the bodies of each tenant (class and state office) hold, against one total.
///
/// Half of the total is guaranteed to the tenants in equal shares. The other half is first come, first
/// served, except for a reserve that only small bodies may use. So no tenant can keep another from its share,
/// and large bodies can't starve small ones.
#[derive(Clone, Debug)]
pub struct Budget {
    total: u64,
    used: u64,
    /// The sum, over all tenants, of what is guaranteed to a tenant and not used by it.
    unused_guarantees: u64,
    used_by_tenant: Vec<u64>,
}

impl Budget {
    /// A budget of `total` bytes for `tenants` tenants; 0 counts as 1.
    pub fn new(total: u64, tenants: usize) -> Budget {
        let mut budget =
            Budget { total, used: 0, unused_guarantees: 0, used_by_tenant: vec![0; tenants.max(1)] };
        budget.resize(total);
        budget
    }

    /// Changes the total. Bytes held beyond it stay held until they are released.
    pub fn resize(&mut self, total: u64) {
        self.total = total;
        let share = self.guaranteed_per_group();
        self.unused_guarantees = self.used_by_tenant.iter().map(|&used| share.saturating_sub(used)).sum();
    }

    /// The bytes guaranteed to each tenant.
    pub fn guaranteed_per_group(&self) -> u64 {
        self.total / 2 / self.used_by_tenant.len() as u64
    }

    /// The number of tenants.
    pub fn group_count(&self) -> usize {
        self.used_by_tenant.len()
    }

    /// The bytes that may be held altogether.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// The bytes that are held.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// The bytes that a tenant holds.
    ///
    /// # Panics
    /// `tenant` is not below [`Budget::group_count`].
    pub fn used_by(&self, tenant: usize) -> u64 {
        self.used_by_tenant[tenant]
    }

    /// Reserves `more` bytes for a body of `tenant` that holds `held` bytes already. Returns false, and
    /// reserves nothing, if the budget has no room for them.
    ///
    /// # Panics
    /// `tenant` is not below [`Budget::group_count`].
    pub fn try_reserve(&mut self, tenant: usize, held: u64, more: u64) -> bool {
        let share = self.guaranteed_per_group();
        let used_by_tenant = self.used_by_tenant[tenant];
        let guaranteed = share.saturating_sub(used_by_tenant);
        let guaranteed_to_others = self.unused_guarantees - guaranteed;
        let is_small = held.saturating_add(more) <= SMALL_BODY_BYTES;
        let reserve =
            if is_small || more <= guaranteed { 0 } else { self.total / SMALL_BODY_RESERVE_DIVISOR };
        let needed =
            self.used.saturating_add(more).saturating_add(guaranteed_to_others).saturating_add(reserve);
        if needed > self.total {
            return false;
        }
        self.used += more;
        self.used_by_tenant[tenant] = used_by_tenant + more;
        self.unused_guarantees = guaranteed_to_others + share.saturating_sub(used_by_tenant + more);
        true
    }

    /// Releases bytes that a body of `tenant` held.
    ///
    /// # Panics
    /// `tenant` is not below [`Budget::group_count`].
    pub fn release(&mut self, tenant: usize, bytes: u64) {
        let share = self.guaranteed_per_group();
        let before = self.used_by_tenant[tenant];
        let after = before.saturating_sub(bytes);
        self.used -= before - after;
        self.used_by_tenant[tenant] = after;
        self.unused_guarantees += share.saturating_sub(after) - share.saturating_sub(before);
    }
}
