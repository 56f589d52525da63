//! What the end of an attempt says of its worker, and whether a worker may be used.

use super::*;

/// The most time-outs that count against a worker: a long outage must not take as long to forgive.
const R_MAX: u32 = 4;
/// The first pause before a failed worker is tried again; it doubles with each further time-out.
const TRIAL_PAUSE: Micros = 250_000;
/// Doublings of that pause where a trial that finds the worker full still costs the job.
const LOSSY_TRIALS: u32 = 3;
/// What a worker showed within this time counts: one that lives is not dead for a connection that breaks.
const LIFE: Micros = 1_000_000;

impl Dispatcher {
    /// Counts what an attempt's end says of its worker.
    pub(super) fn learn(&mut self, now: Micros, id: WorkerId, a: &Attempt, outcome: Outcome, took: Micros) {
        // A cold worker seen to be slower than its warmth explains is slow, and its record says so.
        let warmth = self.warmth(self.worker(id), now);
        match outcome {
            Outcome::Ok => {
                let known = self.epc(self.worker(id), a.class);
                let most = if warmth < 1.0 { known } else { 4.0 * known };
                let ratio = (a.size / took.max(1) as f64 / warmth).min(most);
                let w = self.worker_mut(id);
                w.alive = now;
                let kind = w.entry.kind;
                w.epc.get_mut(a.class).into_iter().for_each(|e| e.add(ratio, HISTORY));
                w.full.get_mut(a.class).into_iter().for_each(|f| f.0 = f.0.saturating_sub(1));
                let cleared = now <= a.wanted && std::mem::take(&mut w.timeouts) > 0;
                self.set_stale |= cleared;
                if warmth >= 1.0 {
                    self.fleet.add(ratio, 4.0 * HISTORY);
                    self.kinds[kind].epc.add(ratio, 2.0 * HISTORY);
                }
                self.estimate(id);
                self.stale.fill(true);
            }
            Outcome::NotSent | Outcome::InvalidRequest => {}
            // A connection has broken, not a worker that lives: of one that has died the next connect tells.
            Outcome::Reset if self.worker(id).alive > now - LIFE => {}
            // The answer was lost, not the job: the worker has shown life after it should have ended.
            Outcome::Timeout
                if a.started.is_some_and(|at| self.worker(id).alive > at + 3 * a.size as Micros) => {}
            // Withdrawn before it started, the job may well be queued there still.
            Outcome::Cancelled if a.started.is_some() || now - a.sent < 3 * START_GRACE => {}
            // A worker that has shown life since is not at fault: its queue is as long as the job waited.
            Outcome::Cancelled if self.worker(id).alive > a.sent => {
                let w = self.worker_mut(id);
                w.wait[a.class] = (w.wait_now(a.class, now, 0.0).max((now - a.sent) as f64), now);
            }
            Outcome::Rejected => {
                let effect = self.settings.classes[a.class].idempotency;
                let lossy =
                    self.settings.limits.rejection_may_have_run && effect == Idempotency::NotIdempotent;
                // A full queue is taken to be longer than this job could have waited, fast as the answer was.
                let w = self.worker_mut(id);
                let longest = a.wanted.saturating_sub(now) as f64;
                w.wait[a.class] = (w.wait_now(a.class, now, 0.0).max(longest), now);
                // It may turn away one class alone: that class stays away, longer where this cost the job.
                if let Some(f) = w.full.get_mut(a.class) {
                    let doublings = f.0 + 1 + LOSSY_TRIALS * u32::from(lossy);
                    *f = ((f.0 + 1).min(R_MAX), now + (TRIAL_PAUSE << doublings));
                }
                self.set_stale = true;
            }
            _ => {
                // Where many share a worker, few starts are seen, and only those of jobs that had their turn.
                if self.beyond > 0.0 && outcome == Outcome::Timeout && a.started.is_none() {
                    self.note_wait(now, id, a.class, (now - a.sent) as f64);
                }
                let shared = self.shared_timeouts;
                self.set_stale = true;
                let w = self.worker_mut(id);
                w.timeouts = (w.timeouts + 1).min(R_MAX);
                w.trial_at = now + (TRIAL_PAUSE << w.timeouts.saturating_sub(shared));
            }
        }
    }

    pub(super) fn sound(&self, id: WorkerId) -> bool {
        self.excess(self.worker(id)) == 0
    }

    /// Whether a worker is of the kind that runs this class.
    pub(super) fn runs(&self, id: WorkerId, class: usize) -> bool {
        self.settings.classes[class].worker_kind.is_none_or(|k| k == self.worker(id).entry.kind)
    }

    /// Whether a worker runs this class and has not turned it away of late.
    pub(super) fn takes(&self, id: WorkerId, class: usize, now: Micros) -> bool {
        self.runs(id, class) && self.worker(id).full.get(class).is_none_or(|f| f.1 <= now)
    }

    /// Whether one job may try a worker that has failed: nothing else would show that it is back.
    pub(super) fn trial_due(&self, r: &Request, id: WorkerId, now: Micros) -> bool {
        let w = self.worker(id);
        let left = r.wanted.saturating_sub(now) as f64 - r.size / self.epc(w, r.class);
        self.excess(w) > 0
            && now >= w.trial_at
            && w.in_flight.is_empty()
            && w.wait_now(r.class, now, 0.0) <= left.max(0.0)
    }
}
