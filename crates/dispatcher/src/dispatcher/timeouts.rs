//! When a request is looked at again, and what follows where its attempt has not started in time.

use super::*;

/// Timer tokens: one for the checks, one for the list.
const CHECK: u64 = 0;

impl Dispatcher {
    /// Looks at a request again at the time set for it.
    pub(super) fn check(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
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
            return if now >= at { self.give_up(id, actions) } else { self.check_at(id, at) };
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
        if other.is_some_and(|o| o != worker) && self.repeats >= 1.0 {
            self.repeats -= 1.0;
            r.cancelled = true;
            actions.push(Action::Cancel { request: id, attempt: number });
        } else {
            let at = (now + 3 * START_GRACE).min(r.wanted).max(now + 1);
            self.check_at(id, at);
        }
    }

    pub(super) fn check_at(&mut self, id: RequestId, at: Micros) {
        if let Some(r) = self.requests.get_mut(&id) {
            self.checks.remove(&(r.check, id));
            r.check = at;
            self.checks.insert((at, id));
        }
    }

    /// Keeps one timer set for the earliest check.
    pub(super) fn arm(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if let Some(&(at, _)) = self.checks.first().filter(|c| c.0 < self.armed) {
            self.armed = at;
            let delay = (at - now).clamp(self.settings.tick.max(1), 3_600_000_000);
            actions.push(Action::SetTimer { delay, token: CHECK });
        }
    }
}
