//! How long a job would take at a worker: what stands before it there, and what it costs itself.

use super::*;

/// Starts over which a kind's usual wait, to which a worker's known wait fades, is taken.
const USUAL_HISTORY: f64 = 20.0;
/// What a priced crossing of zones counts as, in mean jobs for a price of 1.
const CROSSING: f64 = 2.0;

impl Dispatcher {
    /// How long a job sent now would take: outstanding cost plus the job, over EPC, after the wait that
    /// starts tell of. The second figure leaves out what free slots can take; the last tells if any are left.
    pub(super) fn predicted(&self, r: &Request, id: WorkerId, now: Micros) -> (f64, f64, bool) {
        let w = self.worker(id);
        let c = self.penalised(w, r.class, now);
        let slots = self.kind(w).slots;
        let mut cost = 0.0;
        for a in &w.in_flight {
            let done = a.started.map_or(0.0, |at| (now - at) as f64 * c);
            cost += a.width * (a.size - done).max(a.size * 0.1);
        }
        let fetch = if r.key == 0 || w.keys.holds(r.key) { 0.0 } else { FETCH * self.arrivals.mean_size() };
        let run = r.size / c + fetch;
        let rest = cost / (c * slots) + run;
        let fits = w.out() + r.width <= slots;
        let least = w.wait_now(r.class, now, 0.0) + if fits { run } else { rest };
        (w.wait_now(r.class, now, self.usual(w, r.class, now)) + rest, least, fits)
    }

    /// The wait that a worker's kind usually has. A cold one has just started, with nothing in its queue.
    pub(super) fn usual(&self, w: &Worker, class: usize, now: Micros) -> f64 {
        if self.warmth(w, now) < 1.0 { 0.0 } else { self.kind(w).wait[class.min(3)] }
    }

    /// Whether nothing stands before a job sent now, as far as is known, or by the `usual` wait.
    pub(super) fn starts_at_once(&self, r: &Request, id: WorkerId, now: Micros, usual: f64) -> bool {
        let (_, _, fits) = self.predicted(r, id, now);
        fits && self.room(id, now) && self.worker(id).wait_now(r.class, now, usual) < START_GRACE as f64
    }

    /// Whether a job sent now would be in time, or late for no queue's sake, and by no more than a hint errs.
    pub(super) fn worth_sending(&self, r: &Request, id: WorkerId, now: Micros, alone: bool) -> bool {
        let (_, least, _) = self.predicted(r, id, now);
        let left = (r.wanted - now) as f64;
        least <= left || alone && least <= HINT_ERROR * left && self.starts_at_once(r, id, now, 0.0)
    }

    /// Whether a job sent now would likely start at once. One not yet started tells of a queue or a hang.
    pub(super) fn room(&self, id: WorkerId, now: Micros) -> bool {
        let w = self.worker(id);
        if !self.settings.reports_start {
            // Where reports tell of free slots no queue is begun: this one keeps to what others leave.
            let share = self.kind(w).share.mean(1.0 / f64::from(self.settings.instances.max(1)), PRIOR);
            let most = (self.kind(w).slots.max(self.size(w)) * share).max(1.0);
            return now >= w.trial_at
                && (self.settings.report_fields.free_slots.is_none() || w.out() + 1.0 <= most);
        }
        let running: f64 = w.in_flight.iter().filter(|a| a.started.is_some()).map(|a| a.width).sum();
        now >= w.trial_at
            && (w.unstarted().count() as f64) < (self.kind(w).slots - running).max(1.0)
            && w.unstarted().all(|a| now - a.sent < START_GRACE)
    }

    /// How long a job would wait for what others hold, as a live rating tells, as far as the one job that may
    /// always go is beyond this one's part of the slots. It is late and the same to all: for two drawn alone.
    pub(super) fn others(&self, r: &Request, id: WorkerId, now: Micros) -> f64 {
        let w = self.worker(id);
        let beyond = 1.0 - self.kind(w).slots / f64::from(self.settings.instances.max(1));
        let per_core = (self.size(w) / w.entry.weight.max(1e-6) - 1.0).max(0.0);
        per_core * beyond.max(0.0) * self.arrivals.mean_size() / self.penalised(w, r.class, now)
    }

    /// When a job sent now would end, where a crossing that has a price counts as so much time.
    pub(super) fn ends(&self, r: &Request, id: WorkerId, now: Micros) -> f64 {
        let crosses = self.worker(id).entry.zone != self.settings.zone;
        let price = if crosses {
            self.settings.penalties.cross_zone * CROSSING * self.arrivals.mean_size()
        } else {
            0.0
        };
        self.predicted(r, id, now).0 + price
    }

    /// So long a job of this class has waited at a worker, for its start or in vain.
    pub(super) fn note_wait(&mut self, now: Micros, id: WorkerId, class: usize, waited: f64) {
        let warm = self.warmth(self.worker(id), now) >= 1.0;
        let w = &mut self.workers[id.0 as usize];
        let fresh = w.fresh(class, now);
        w.wait[class] = ((w.wait[class].0 * fresh + waited) / (1.0 + fresh), now);
        let usual = &mut self.kinds[w.entry.kind].wait[class.min(3)];
        *usual += if warm { (waited - *usual) / USUAL_HISTORY } else { 0.0 };
    }
}
