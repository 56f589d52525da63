//! The rules that every send keeps: attempts, windows of repeats, zones, draining workers.

use super::*;

impl Dispatcher {
    /// Whether the request may have a further attempt at all.
    pub(super) fn may_try_again(&self, r: &Request, now: Micros) -> bool {
        r.attempts < self.settings.limits.max_attempts.max(1) && !r.spent && now < self.repeat_until(r)
    }

    /// Until when the request may be sent; a link that comes up later must not carry it.
    pub(super) fn repeat_until(&self, r: &Request) -> Micros {
        match (self.settings.classes[r.class].idempotency, r.ran) {
            (Idempotency::NotIdempotent, Some(_)) => Micros::MIN,
            (Idempotency::Keyed { window, .. }, Some((_, at))) => at.saturating_add(window),
            _ => Micros::MAX,
        }
    }

    /// Whether this send keeps the rules. The request may still have one attempt out, to be withdrawn first.
    pub(super) fn may_send(&self, r: &Request, id: WorkerId, now: Micros) -> bool {
        let w = self.worker(id);
        if !w.ready() || !self.may_try_again(r, now) {
            return false;
        }
        if let Idempotency::Keyed { scope, .. } = self.settings.classes[r.class].idempotency
            && let Some(first) = r.ran.map(|ran| ran.0).or(r.out.map(|out| out.0))
        {
            let (f, w) = (&self.worker(first).entry, &w.entry);
            if scope == Scope::Zone && f.zone != w.zone || scope == Scope::Cell && f.cell != w.cell {
                return false;
            }
        }
        self.cold_budget(id, self.cold_cost(r), now)
    }
}
