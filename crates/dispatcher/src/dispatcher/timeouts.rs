//! When a request is looked at again, and what follows where its attempt has not started in time.

use super::*;

/// Timer tokens: one for the checks, one for the list.
const CHECK: u64 = 0;

impl Dispatcher {
    /// Looks at a request again at the time set for it.
    pub(super) fn on_attempt_timer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.streaming) else { return };
        if now >= r.due {
            // An outstanding attempt is answered by its own time-out, which comes within the slack.
            if r.out.is_none() {
                self.give_up(id, actions);
            }
            return;
        }
        let Some((worker, number)) = r.out else {
            let at = self.latest_start(id);
            return if now >= at { self.give_up(id, actions) } else { self.timers.schedule(id, at) };
        };
        let safe = self.settings.classes[r.class].idempotency != Idempotency::NotIdempotent;
        let may = self.settings.limits.cancel && self.settings.reports_start && !r.cancelled;
        let (again, w) = (may && safe && self.may_try_again(r, now), self.worker(worker));
        let out = w.unstarted().find(|a| a.request == id && a.number == number);
        let Some(a) = out.filter(|_| again) else { return };
        if now >= r.wanted {
            return self.give_up(id, actions);
        }
        // Not started in time T: this worker has timed out, unless it has shown life and is only behind.
        let other = if w.alive > a.sent { None } else { self.pick(id, now) };
        let Some(r) = self.requests.get_mut(&id) else { return };
        if other.is_some_and(|o| o != worker) && self.retry_budget.try_spend() {
            r.cancelled = true;
            actions.push(Action::Cancel { request: id, attempt: number });
        } else {
            let at = (now + 3 * START_GRACE).min(r.wanted).max(now + 1);
            self.timers.schedule(id, at);
        }
    }

    /// Keeps one timer set for the earliest check.
    pub(super) fn arm_next_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if let Some(delay) = self.timers.arm(now, self.settings.tick) {
            actions.push(Action::SetTimer { delay, token: CHECK });
        }
    }
}
