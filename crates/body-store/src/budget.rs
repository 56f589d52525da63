//! A budget of bytes that parties share. No I/O.

/// A body that holds no more than this is small: the last of a budget is kept for small ones.
pub const SMALL: u64 = 16 * 1024;
/// One part in so many of a budget is kept from bodies that are not small, beyond what their party is promised.
const KEPT_FOR_SMALL: u64 = 8;

/// Bytes that may be held, and who holds them.
///
/// Half of the budget is promised, in equal shares, to the parties (class and state office); the other half goes to
/// whoever comes, but for an eighth that only small bodies may use. So no party can keep another from its share, and
/// large bodies can't keep small ones out.
#[derive(Clone, Debug)]
pub struct Budget {
    total: u64,
    used: u64,
    /// What is promised to a party and not used by it, over all parties.
    unused_promises: u64,
    by_party: Vec<u64>,
}

impl Budget {
    /// A budget of `total` bytes for so many parties, at least one.
    pub fn new(total: u64, parties: usize) -> Budget {
        let mut budget = Budget { total, used: 0, unused_promises: 0, by_party: vec![0; parties.max(1)] };
        budget.resize(total);
        budget
    }

    /// Another total. What is held beyond it stays held until it is given back.
    pub fn resize(&mut self, total: u64) {
        self.total = total;
        let share = self.share();
        self.unused_promises = self.by_party.iter().map(|&held| share.saturating_sub(held)).sum();
    }

    /// What each party is promised.
    pub fn share(&self) -> u64 {
        self.total / 2 / self.by_party.len() as u64
    }

    /// How many parties there are.
    pub fn parties(&self) -> usize {
        self.by_party.len()
    }

    /// The whole budget.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// What is held.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// What a party holds.
    pub fn held_by(&self, party: usize) -> u64 {
        self.by_party[party]
    }

    /// Takes `more` bytes for a body of `party` that holds `held` already; false, and nothing taken, where the
    /// budget does not have them for it.
    pub fn take(&mut self, party: usize, held: u64, more: u64) -> bool {
        let (share, mine) = (self.share(), self.by_party[party]);
        let promised = share.saturating_sub(mine);
        let others = self.unused_promises - promised;
        let small = held.saturating_add(more) <= SMALL;
        let kept = if small || more <= promised { 0 } else { self.total / KEPT_FOR_SMALL };
        let needed = [self.used, more, others, kept].into_iter().fold(0, u64::saturating_add);
        if needed > self.total {
            return false;
        }
        self.used += more;
        self.by_party[party] = mine + more;
        self.unused_promises = others + share.saturating_sub(mine + more);
        true
    }

    /// Gives back what a body of `party` held.
    pub fn give_back(&mut self, party: usize, bytes: u64) {
        let (share, mine) = (self.share(), self.by_party[party]);
        let left = mine.saturating_sub(bytes);
        self.used -= mine - left;
        self.by_party[party] = left;
        self.unused_promises += share.saturating_sub(left) - share.saturating_sub(mine);
    }
}
