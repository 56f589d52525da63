//! Conditions for every send: number of attempts, window and scope of an idempotency key, draining, slow
//! start.

use crate::dispatcher::context::DecisionContext;
use crate::dispatcher::request::Request;
use crate::interface::{DedupScope, Idempotency, Micros, Outcome, WorkerId};

impl DecisionContext<'_> {
    /// Returns whether a further attempt of a request is permitted, regardless of the worker.
    pub(super) fn may_start_attempt(&self, request: &Request, now: Micros) -> bool {
        request.attempts < self.settings.limits.max_attempts.max(1)
            && !request.body_consumed
            && now < self.send_by(request)
    }

    /// Returns the time from which a request must not be sent any more. The host checks it when the
    /// connection is ready, since connecting may take longer than the time left.
    pub(super) fn send_by(&self, request: &Request) -> Micros {
        match (self.class(request).idempotency, request.first_execution) {
            (Idempotency::NotIdempotent, Some(_)) => Micros::MIN,
            (Idempotency::Keyed { window, .. }, Some(first)) => first.sent_at.saturating_add(window),
            _ => Micros::MAX,
        }
    }

    /// Returns whether the job of an attempt with this outcome may have been executed.
    pub(super) fn may_have_run(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::ConnectFailed | Outcome::NotSent => false,
            Outcome::Rejected => self.settings.limits.rejection_may_have_run,
            _ => true,
        }
    }

    /// Returns whether a request may be sent to this worker. It may have one outstanding attempt, which has
    /// to be cancelled first.
    pub(super) fn may_send(&self, request: &Request, id: WorkerId, now: Micros) -> bool {
        self.workers.get(id).is_ready()
            && self.may_start_attempt(request, now)
            && self.is_within_scope(request, id)
            && self.has_slow_start_budget(id, self.slow_start_cost(request), now)
    }

    /// Returns whether a request may be repeated at this worker: if it has an idempotency key, the worker
    /// must be in the scope of the key, which is determined by the worker that received the request first.
    fn is_within_scope(&self, request: &Request, id: WorkerId) -> bool {
        let Idempotency::Keyed { scope, .. } = self.class(request).idempotency else { return true };
        let executed = request.first_execution.map(|first| first.worker);
        let Some(first) = executed.or(request.outstanding.map(|attempt| attempt.worker)) else { return true };
        let (first, entry) = (&self.workers.get(first).entry, &self.workers.get(id).entry);
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => first.zone == entry.zone,
            DedupScope::Cell => first.cell == entry.cell,
        }
    }
}
