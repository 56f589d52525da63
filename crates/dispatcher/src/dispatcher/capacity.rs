//! What a worker can do (Estimated Processing Capacity, EPC), and the ranking by it.

use super::*;

/// The top N is so many times the jobs running at once: a queue known for longer than that has changed.
const N_PER_JOB: f64 = 3.0;
/// The paper's α: one time-out halves a worker's EPC.
const ALPHA: f64 = 1.0;

impl Dispatcher {
    /// Follows the work that arrives, and N with it.
    pub(super) fn note_arrival(&mut self, now: Micros, size: f64) {
        self.arrivals.record(now, size);
        let n = (N_PER_JOB * self.arrivals.mean_size() / self.arrivals.mean_gap()).max(N_LEAST).ceil();
        if n > 1.3 * self.n as f64 || n < 0.7 * self.n as f64 {
            self.n = n as usize;
            self.near_stale = true;
        }
    }

    /// Works out a worker's EPC when warm, from its record in each class, in all, its kind's and its rating.
    pub(super) fn estimate(&mut self, id: WorkerId) {
        let w = self.worker(id);
        let rated = self.size(w) * self.ready.len() as f64 / self.ratings.max(1e-9);
        let by_rating = self.fleet.mean(1.0, PRIOR) * rated.sqrt().clamp(0.5, 2.0);
        let by_kind = self.kind(w).epc.mean(by_rating, PRIOR);
        let (sum, n) = w.epc.iter().fold((0.0, 0.0), |a, e| (a.0 + e.sum, a.1 + e.n));
        let own = Epc { sum, n }.mean(by_kind, PRIOR);
        let c = w.epc.iter().map(|e| e.mean(own, PRIOR).max(1e-3)).collect();
        self.workers[id.0 as usize].c = c;
    }

    pub(super) fn epc(&self, w: &Worker, class: usize) -> f64 {
        w.c.get(class).copied().unwrap_or(1.0)
    }

    /// The share of its capacity that a starting worker has at least.
    pub(super) fn warmth(&self, w: &Worker, now: Micros) -> f64 {
        let rules = &self.settings.slow_start;
        let age = now - w.entry.started_at;
        if w.entry.started_at <= 0 || age >= rules.duration {
            return 1.0;
        }
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age.max(0) as f64 / rules.duration as f64)
            .clamp(0.01, 1.0)
    }

    /// Time-outs beyond those that the middle of the fleet has: a trouble that all share is no one's fault.
    pub(super) fn excess(&self, w: &Worker) -> u32 {
        w.timeouts.saturating_sub(self.shared_timeouts)
    }

    /// c' = c/(1+α·R), where jobs far over their time count as time-outs until the worker shows life.
    pub(super) fn penalised(&self, w: &Worker, class: usize, now: Micros) -> f64 {
        let c = self.epc(w, class) * self.warmth(w, now);
        let overdue = w.in_flight.iter().filter(|a| {
            let end = a.started.map(|at| at + (3.0 * a.size / c) as Micros + START_GRACE);
            end.is_some_and(|end| now > end && w.alive <= end)
        });
        c / (1.0 + ALPHA * (self.excess(w) as f64 + overdue.count() as f64))
    }

    /// Ranks the workers for a class again if anything that ranks them has changed.
    pub(super) fn rank(&mut self, class: usize, now: Micros) {
        let look_over = std::mem::take(&mut self.near_stale) || now >= self.set_until;
        if look_over {
            self.look_over_list(now);
        }
        if std::mem::take(&mut self.set_stale) || look_over {
            self.choose_set(now);
            self.stale.fill(true);
        }
        if !std::mem::take(&mut self.stale[class]) {
            return;
        }
        let mut r: Vec<u32> = self.set.iter().map(|&id| self.worker(id).timeouts).collect();
        r.sort_unstable();
        self.shared_timeouts = r.get(r.len() / 2).copied().unwrap_or(0);
        let fits = |id: &&WorkerId| self.runs(**id, class);
        let group = if self.set.iter().any(|id| fits(&id)) { &self.set } else { &self.of_kind[class] };
        let rated = |&id: &WorkerId| (self.penalised(self.worker(id), class, now), id);
        let mut ranked: Vec<(f64, WorkerId)> = group.iter().filter(fits).map(rated).collect();
        // Equals stay in this one's own order: by number, fresh dispatchers would all have one lane worker.
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.order[class] = ranked.into_iter().map(|(_, id)| id).collect();
    }

    /// Takes a late report in: how many slots there are, and the share others leave, fair where none is free.
    pub(super) fn on_report(&mut self, id: WorkerId, report: &[f64]) {
        let free = self.settings.report_fields.free_slots.and_then(|i| report.get(i));
        let Some(free) = free.filter(|f| (0.0..=1024.0).contains(*f)) else { return };
        let fair = 1.0 / f64::from(self.settings.instances.max(1));
        let w = self.worker_mut(id);
        let (kind, out) = (w.entry.kind, w.out());
        let kind = &mut self.kinds[kind];
        kind.slots = kind.slots.max(free.round()).max(1.0);
        let left = if *free < 0.5 { fair } else { ((free + out) / kind.slots).min(1.0) };
        kind.share.add(left, HISTORY / 2.0);
    }
}
