//! Handling of requests: arrival, attempts, the end of attempts, and the final answer.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::attempt::{Attempt, AttemptId, AttemptResult, START_GRACE};
use crate::dispatcher::health::MAX_FAILURES;
use crate::dispatcher::request::{FirstExecution, Request};
use crate::interface::{Action, Arrival, DedupScope, Idempotency, Micros, Outcome, RequestId, WorkerId};

/// Fraction of T_init by which each excess failure of a worker shortens the start timeout (the paper's β).
/// With [`MAX_FAILURES`] failures, at least half of T_init remains.
const FAILURE_TIMEOUT_REDUCTION: f64 = 0.125;
const _: () = assert!(FAILURE_TIMEOUT_REDUCTION * MAX_FAILURES as f64 <= 0.5);
/// T_init as a fraction of a request's slack: the start timeout at a worker without excess failures.
const SLACK_SHARE: f64 = 0.5;
/// Lower bound of the time after which an attempt that has not started is checked.
const MIN_START_TIMEOUT: Micros = 3 * START_GRACE;
/// Upper bound of a job's size, in microseconds on a standard core; a larger work hint is reduced to it.
const MAX_SIZE: f64 = 1e12;
/// Upper bound of the slots of a job; a larger number is reduced to it.
const MAX_SLOTS: f64 = 1024.0;

impl Dispatcher {
    /// Handles an arriving request: sends it, queues it or answers it.
    pub(super) fn on_arrival(&mut self, now: Micros, arrival: &Arrival, actions: &mut Vec<Action>) {
        let request = self.create_request(now, arrival);
        let size = request.size;
        self.requests.insert(arrival.request, request);
        self.affinity.record_arrival(arrival.affinity_key);
        self.arrivals.record(now, size);
        self.subset.resize_for_load(&self.arrivals);
        self.retry_budget.record_arrival();
        self.send_or_enqueue(now, arrival.request, actions);
    }

    /// Creates the state of an arriving request, with defaults for missing values: without a work hint, its
    /// size is S_max.
    fn create_request(&mut self, now: Micros, arrival: &Arrival) -> Request {
        let class = arrival.class.min(self.settings.classes.len() - 1);
        let hint = arrival.work_hint.filter(|&hint| hint > 0).map(|hint| hint as f64);
        let size = hint.unwrap_or(self.arrivals.size_quantile().max(1.0)).min(MAX_SIZE);
        let first_sent_at = self.estimate_first_send(now, arrival, class);
        let class_settings = &self.settings.classes[class];
        let objective_deadline = first_sent_at
            .saturating_add(class_settings.latency_objective)
            .saturating_add((class_settings.objective_stretch * size) as Micros)
            .min(arrival.deadline);
        let value_deadline =
            if class_settings.late_value_fraction > 0.0 { arrival.deadline } else { objective_deadline };
        Request {
            class,
            size,
            has_work_hint: hint.is_some(),
            slots: if arrival.slots.is_finite() { arrival.slots.clamp(0.0, MAX_SLOTS) } else { 1.0 },
            affinity_key: arrival.affinity_key,
            deadline: arrival.deadline,
            objective_deadline,
            value_deadline,
            body_consumed: !arrival.body_sendable,
            ..Request::default()
        }
    }

    /// Estimates when the client sent the request for the first time, which is when its latency objective
    /// starts. For a request that may be a retry, that is its deadline minus the longest timeout that clients
    /// have used in its class.
    fn estimate_first_send(&mut self, now: Micros, arrival: &Arrival, class: usize) -> Micros {
        let longest_timeout =
            self.arrivals.record_client_timeout(class, arrival.deadline.saturating_sub(now));
        let is_first = self.settings.clients_mark_retries && !arrival.is_retry;
        if is_first { now } else { now.min(arrival.deadline.saturating_sub(longest_timeout)) }
    }

    /// Sends a request, queues it, or answers it if its deadline has passed or no further attempt is
    /// permitted.
    fn send_or_enqueue(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if now >= request.deadline || !self.context().may_start_attempt(request, now) {
            self.reject_or_fail(id, actions);
        } else if let Some(worker) = self.choose_worker(id, now) {
            self.send(now, id, worker, actions);
        } else {
            self.enqueue(now, id);
            self.timers.schedule(id, self.latest_start(id));
        }
    }

    /// Sends a request to a worker and schedules the check of its start.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        worker_id: WorkerId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let context = self.context();
        let check_at = self.start_timeout_at(now, request, worker_id);
        let send_by = context.send_by(request);
        let slow_start_cost = context.slow_start_cost(request);
        let slow_start_budget = context.slow_start_budget(worker_id, now);
        let slots = self.workers.kind(self.workers.get(worker_id)).slots();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = begin_attempt(now, id, request, worker_id);
        let key = request.affinity_key;
        let worker = self.workers.get_mut(worker_id);
        worker.record_send(attempt, key, slots);
        if let Some(budget) = slow_start_budget {
            worker.slow_start_usage.record(now, slow_start_cost, &budget);
        }
        actions.push(Action::Send { request: id, worker: worker_id, timeout: 0, send_by });
        self.timers.schedule(id, check_at);
    }

    /// Returns the time at which an attempt is checked if it has not started: T = T_init − β·R from now,
    /// within bounds. The slack of a request is the time that would be left before its value deadline if the
    /// job started now. T_init is half of the slack, so that another worker can still respond in time.
    fn start_timeout_at(&self, now: Micros, request: &Request, worker_id: WorkerId) -> Micros {
        let context = self.context();
        let worker = self.workers.get(worker_id);
        let run = request.size / context.penalised_capacity(worker, request.class, now);
        let slack = request.value_deadline.saturating_sub(now) as f64 - run;
        let reduction = FAILURE_TIMEOUT_REDUCTION * self.health.excess_failures(worker) as f64;
        let timeout = (slack * SLACK_SHARE * (1.0 - reduction)) as Micros;
        (now + timeout.max(MIN_START_TIMEOUT)).min(request.deadline)
    }

    /// Handles the end of an attempt: records what it shows about the worker, then retries or answers the
    /// request, unless it is concluded.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Micros,
        id: AttemptId,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        if let Some(attempt) = self.workers.get_mut(id.worker).take_attempt(id) {
            self.record_attempt_end(now, &attempt, result.outcome, result.elapsed);
        }
        let may_have_run = self.context().may_have_run(result.outcome);
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        let was_outstanding = request.outstanding.take_if(|outstanding| *outstanding == id).is_some();
        if result.request_concluded {
            return self.remove_request(id.request, actions);
        }
        if !was_outstanding {
            return;
        }
        if may_have_run {
            let execution = FirstExecution { worker: id.worker, sent_at: now - result.elapsed };
            request.first_execution.get_or_insert(execution);
        }
        let retry_is_useless = matches!(result.outcome, Outcome::NotSent | Outcome::InvalidRequest);
        if retry_is_useless || now >= request.deadline {
            self.reject_or_fail(id.request, actions);
        } else {
            self.send_or_enqueue(now, id.request, actions);
        }
    }

    /// Answers a request that no worker has served. Rejects it if it never ran, or if a repeat is harmless
    /// and its body can still be sent; otherwise fails it.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let repeat_is_harmless = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        let never_ran = request.outstanding.is_none() && request.first_execution.is_none();
        // A request that must not or cannot be sent again is rejected only if it never ran.
        let answer = if repeat_is_harmless && !request.body_consumed || never_ran {
            Action::Reject { request: id, retry_after: self.settings.limits.max_retry_after }
        } else {
            Action::Fail { request: id }
        };
        actions.push(answer);
        self.remove_request(id, actions);
    }

    /// Removes a request that has its final answer or whose client has disconnected. Cancels its outstanding
    /// attempt if attempts may be cancelled, unless the response is being streamed.
    pub(super) fn remove_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.timers.cancel(id);
        self.pending.remove(id);
        let may_cancel = self.settings.limits.cancel && !request.is_streaming && !request.cancel_requested;
        if may_cancel && let Some(attempt) = request.outstanding {
            actions.push(Action::Cancel { request: id, attempt: attempt.number });
        }
    }
}

/// Adds the next attempt to a request and returns it.
fn begin_attempt(now: Micros, id: RequestId, request: &mut Request, worker: WorkerId) -> Attempt {
    let attempt_id = AttemptId { request: id, number: request.attempts, worker };
    request.attempts += 1;
    request.outstanding = Some(attempt_id);
    request.cancel_requested = false;
    request.tried.push(worker);
    Attempt {
        id: attempt_id,
        class: request.class,
        size: request.size,
        slots: request.slots,
        sent_at: now,
        value_deadline: request.value_deadline,
        started_at: None,
    }
}
