//! The life of a request: its arrival, its attempts and their ends, its one final answer.

use super::*;

/// β as a share of T_init. With `R_MAX` it leaves half of T_init, so a time-out never shrinks to nothing.
const BETA: f64 = 0.125;
/// The keys that a worker is taken to keep for each slot.
const KEPT_PER_SLOT: f64 = 1.3;

impl Dispatcher {
    pub(super) fn on_arrival(&mut self, now: Micros, a: Arrival, actions: &mut Vec<Action>) {
        let class = a.class.min(self.settings.classes.len() - 1);
        let spec = &self.settings.classes[class];
        let hint = a.work_hint.filter(|&h| h > 0).map(|h| h as f64);
        let size = hint.unwrap_or(self.arrivals.largest_lane_size().max(1.0)).min(1e12);
        // A client's further tries count from its first, by `due`; one that marks none may be in a hurry.
        let patience = self.arrivals.record_patience(class, a.deadline.saturating_sub(now));
        let first = self.settings.marks_retry && !a.is_retry;
        let origin = if first { now } else { now.min(a.deadline.saturating_sub(patience)) };
        let aim = origin
            .saturating_add(spec.latency_objective)
            .saturating_add((spec.objective_stretch * size) as Micros)
            .min(a.deadline);
        let wanted = if spec.late_fraction > 0.0 { a.deadline } else { aim };
        let request = Request {
            class,
            size,
            key: a.affinity_key,
            hinted: hint.is_some(),
            width: if a.slots.is_finite() { a.slots.clamp(0.0, 1024.0) } else { 1.0 },
            due: a.deadline,
            aim,
            wanted,
            spent: !a.body_sendable,
            ..Request::default()
        };
        self.requests.insert(a.request, request);
        self.recent.push_back(a.affinity_key);
        self.recent.drain(..self.recent.len().saturating_sub(SHARE_HISTORY));
        self.note_arrival(now, size);
        self.retry_budget.record_arrival();
        self.place(now, a.request, actions);
    }

    /// Sends a request on, or holds it.
    pub(super) fn place(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if now >= r.due || !self.may_try_again(r, now) {
            self.give_up(id, actions);
        } else if let Some(worker) = self.pick(id, now) {
            self.send(now, id, worker, actions);
        } else {
            self.enqueue(now, id);
            self.timers.schedule(id, self.latest_start(id));
        }
    }

    pub(super) fn send(&mut self, now: Micros, id: RequestId, worker: WorkerId, actions: &mut Vec<Action>) {
        let w = self.worker(worker);
        let Some(r) = self.requests.get(&id) else { return };
        // T = T_init − β·R: half of the slack this job has, so that another worker can still be in time.
        let slack = r.wanted.saturating_sub(now) as f64 - r.size / self.penalised(w, r.class, now);
        let t = (slack / 2.0 * (1.0 - BETA * self.excess(w) as f64)) as Micros;
        let check = (now + t.max(3 * START_GRACE)).min(r.due);
        let (cold, before) = (self.warmth(w, now) < 1.0, self.repeat_until(r));
        let debt = if cold { self.cold_debt(worker, now).max(0.0) + self.cold_cost(r) } else { 0.0 };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let (request, number, started) = (id, r.attempts, None);
        let Request { class, size, width, wanted, key, .. } = *r;
        r.attempts += 1;
        r.out = Some((worker, number));
        r.cancelled = false;
        r.tried.push(worker);
        let kept = (KEPT_PER_SLOT * self.kind(self.worker(worker)).slots).ceil() as usize;
        let w = &mut self.workers[worker.0 as usize];
        w.keys.sent(key, kept);
        w.in_flight.push(Attempt { request, number, class, size, width, sent: now, wanted, started });
        w.cold = (debt, now);
        actions.push(Action::Send { request, worker, timeout: 0, send_by: before });
        self.timers.schedule(id, check);
    }

    pub(super) fn attempt(&mut self, (request, number, worker): Sent) -> Option<&mut Attempt> {
        self.worker_mut(worker).in_flight.iter_mut().find(|a| a.request == request && a.number == number)
    }

    pub(super) fn on_started(&mut self, now: Micros, sent: Sent) {
        let worker = sent.2;
        self.worker_mut(worker).alive = now;
        let Some(a) = self.attempt(sent) else { return };
        if a.started.is_none() {
            a.started = Some(now);
            let (class, waited) = (a.class, (now - a.sent) as f64);
            self.note_wait(now, worker, class, waited);
        }
        let w = self.worker_mut(worker);
        let running: f64 = w.in_flight.iter().filter(|a| a.started.is_some()).map(|a| a.width).sum();
        let kind = w.entry.kind;
        self.kinds[kind].slots = self.kinds[kind].slots.max(running);
    }

    pub(super) fn on_outcome(
        &mut self,
        now: Micros,
        sent: Sent,
        end: (Outcome, Micros, bool),
        to: &mut Vec<Action>,
    ) {
        let ((id, number, worker), (outcome, took, closed)) = (sent, end);
        let w = self.worker_mut(worker);
        if let Some(i) = w.in_flight.iter().position(|a| a.request == id && a.number == number) {
            let attempt = w.in_flight.swap_remove(i);
            self.learn(now, worker, &attempt, outcome, took);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        let last = r.out.take_if(|out| *out == (worker, number)).is_some();
        if closed {
            return self.forget(id, to);
        }
        let Some(r) = self.requests.get_mut(&id).filter(|_| last) else { return };
        let unseen = matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
        let never_ran =
            unseen || outcome == Outcome::Rejected && !self.settings.limits.rejection_may_have_run;
        r.ran = r.ran.or((!never_ran).then_some((worker, now - took)));
        if matches!(outcome, Outcome::NotSent | Outcome::InvalidRequest) || now >= r.due {
            self.give_up(id, to);
        } else {
            self.place(now, id, to);
        }
    }

    /// Ends a request without an answer from a worker: a refusal where that is harmless, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let effect = self.settings.classes[r.class].idempotency;
        // What can't be sent again is refused only where it never ran, so that a failure is told as one.
        let again = matches!(effect, Idempotency::Idempotent | Idempotency::Keyed { scope: Scope::All, .. })
            && !r.spent;
        let refuse = again || r.out.is_none() && r.ran.is_none();
        let (request, retry_after) = (id, self.settings.limits.max_retry_after);
        actions.push(if refuse { Action::Reject { request, retry_after } } else { Action::Fail { request } });
        self.forget(id, actions);
    }

    /// Drops a request that has its final answer, and stops the work still outstanding for it.
    pub(super) fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.timers.cancel(id);
        self.pending.remove(id);
        let may = self.settings.limits.cancel && !r.streaming && !r.cancelled;
        actions.extend(r.out.filter(|_| may).map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }
}
