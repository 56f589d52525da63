//! Checks of a request at the time scheduled for it.

use crate::dispatcher::attempt::{AttemptId, START_GRACE};
use crate::dispatcher::{ATTEMPT_TIMER, Dispatcher};
use crate::interface::{Action, Idempotency, Micros, RequestId};

/// Interval between two checks of an attempt that has not started.
const RECHECK_INTERVAL: Micros = 3 * START_GRACE;

impl Dispatcher {
    /// Checks a request whose scheduled time has come.
    pub(super) fn on_attempt_timer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_streaming) else { return };
        match request.outstanding {
            // The host ends an outstanding attempt by its own timeout, soon after the deadline.
            Some(_) if now >= request.deadline => {}
            Some(attempt) => self.check_attempt(now, attempt, actions),
            None if now >= request.deadline => self.reject_or_fail(id, actions),
            None => self.check_pending(now, id, actions),
        }
    }

    fn check_pending(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let latest_start = self.latest_start(id);
        if now >= latest_start {
            self.reject_or_fail(id, actions);
        } else {
            self.timers.schedule(id, latest_start);
        }
    }

    /// Cancels an attempt that has not started in time, if its request can be sent to another worker. If the
    /// worker was active after the send, it is only slow, and the attempt is not cancelled. After the value
    /// deadline, answers the request instead.
    fn check_attempt(&mut self, now: Micros, id: AttemptId, actions: &mut Vec<Action>) {
        if !self.may_cancel_for_retry(now, id) {
            return;
        }
        let Some(request) = self.requests.get(&id.request) else { return };
        let value_deadline = request.value_deadline;
        if now >= value_deadline {
            return self.reject_or_fail(id.request, actions);
        }
        let worker = self.workers.get(id.worker);
        let Some(attempt) = worker.unstarted().find(|attempt| attempt.id == id) else { return };
        let is_active = worker.health.was_active_after(attempt.sent_at);
        let other = if is_active { None } else { self.choose_worker(id.request, now) };
        if other.is_some_and(|other| other != id.worker) && self.retry_budget.try_spend() {
            self.cancel_for_retry(id, actions);
        } else {
            let recheck_at = (now + RECHECK_INTERVAL).min(value_deadline).max(now + 1);
            self.timers.schedule(id.request, recheck_at);
        }
    }

    /// Returns whether an attempt may be cancelled so that its request can be sent to another worker.
    fn may_cancel_for_retry(&self, now: Micros, id: AttemptId) -> bool {
        let Some(request) = self.requests.get(&id.request) else { return false };
        let context = self.context();
        let not_started = self.workers.get(id.worker).unstarted().any(|attempt| attempt.id == id);
        self.settings.limits.cancel
            && self.settings.workers_report_start
            && !request.cancel_requested
            && context.class(request).idempotency != Idempotency::NotIdempotent
            && context.may_start_attempt(request, now)
            && not_started
    }

    fn cancel_for_retry(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        request.cancel_requested = true;
        actions.push(Action::Cancel { request: id.request, attempt: id.number });
    }

    /// Requests a host timer for the earliest check, unless one is set that expires no later.
    pub(super) fn arm_next_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if let Some(delay) = self.timers.arm(now, self.settings.min_timer_delay) {
            actions.push(Action::SetTimer { delay, token: ATTEMPT_TIMER });
        }
    }
}
