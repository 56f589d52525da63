//! The list of workers, and the few of them that one dispatcher works with.

use super::*;

/// The set is chosen anew after this long: workers warm up.
const SET_KEPT: Micros = 1_000_000;
/// Beyond so many times `ZONE` a zone is large: a dispatcher sees little of what goes to its workers.
const LARGE: f64 = 2.0;
/// A kind out of all range must not claim room for all below it.
const KINDS_MOST: usize = 1023;

impl Dispatcher {
    pub(super) fn on_members(&mut self, members: WorkerListUpdate, actions: &mut Vec<Action>) {
        let (entries, full, cached) = match members {
            WorkerListUpdate::Failed => {
                let delay = self.discovery_retry.next_pause(&mut self.rng);
                return actions.push(Action::SetTimer { delay, token: WATCH });
            }
            WorkerListUpdate::Delta(entries) => (entries, false, false),
            WorkerListUpdate::Full(entries) => (entries, true, false),
            WorkerListUpdate::Cached(entries) => (entries, true, true),
        };
        if full {
            self.workers.iter_mut().for_each(|w| w.entry.lifecycle = Lifecycle::Gone);
        }
        entries.into_iter().for_each(|entry| self.on_entry(entry));
        if cached && self.settings.polls_discovery {
            actions.push(Action::WatchWorkerList);
        } else {
            self.discovery_retry.record_success();
        }
        let all = (0..self.workers.len() as u32).map(WorkerId);
        self.ready = all.filter(|&id| self.worker(id).ready()).collect();
        let own = self.ready.iter().filter(|&&id| self.worker(id).entry.zone == self.settings.zone).count();
        self.ratings = self.ready.iter().map(|&id| self.size(self.worker(id))).sum();
        self.apart = (own as f64 / ZONE).max(1.0);
        self.beyond = (self.apart - LARGE).max(0.0);
        self.near_stale = true;
    }

    pub(super) fn on_entry(&mut self, entry: WorkerEntry) {
        let classes = self.settings.classes.len();
        let draw = self.rng.f64() * self.arrivals.mean_size();
        let w = self.worker_mut(entry.worker);
        w.epc.resize(classes, Epc::default());
        w.full.resize(classes, (0, 0));
        w.wait.resize(classes, (0.0, 0));
        if entry.started_at > w.entry.started_at {
            // A fresh process: what the old one did or failed to do says nothing of it.
            w.timeouts = 0;
            w.full.fill((0, 0));
            w.cold = (draw, entry.started_at);
            w.keys = Keys::default();
        }
        w.entry = entry;
        w.entry.weight = if w.entry.weight.is_finite() { w.entry.weight.max(0.0) } else { 1.0 };
        w.entry.kind = w.entry.kind.min(KINDS_MOST);
        let (kind, rating) = (w.entry.kind, w.entry.weight);
        self.kinds.resize((kind + 1).max(self.kinds.len()), Kind::default());
        let size = if self.settings.weights_include_load { rating } else { 0.0 };
        self.kinds[kind].size = self.kinds[kind].size.max(size);
    }

    /// Looks at all workers in the list: which are the nearest to this dispatcher, and how much they weigh.
    /// Costs more the longer the list is, so it is done only when the list or N has changed, and once in
    /// [`SET_KEPT`].
    pub(super) fn look_over_list(&mut self, now: Micros) {
        let candidate = |&id: &WorkerId| Candidate {
            id,
            key: self.worker(id).entry.name_hash,
            weight: self.weight(id, now),
        };
        let candidates: Vec<Candidate> = self.ready.iter().map(candidate).collect();
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let n = self.n.min(candidates.len());
        self.per_weight = n as f64 / total.max(1e-9);
        self.snapshot = Snapshot::new(candidates);
        self.near = self.snapshot.nearest(u64::from(self.settings.instance) + 1, 3 * n);
        let runners = looked_at(self.ready.len(), self.ready.len()).max(3 * n);
        self.of_kind = (0..self.settings.classes.len()).map(|class| self.runners(class, runners)).collect();
        let known: Vec<WorkerId> = self.near.iter().chain(self.of_kind.iter().flatten()).copied().collect();
        known.into_iter().for_each(|id| self.estimate(id));
        self.set_until = now + SET_KEPT;
    }

    /// Where to go with a class that only one kind of worker runs, if the set has none of those: the nearest
    /// of that kind.
    fn runners(&self, class: usize, most: usize) -> Vec<WorkerId> {
        if self.settings.classes[class].worker_kind.is_none() {
            return Vec::new();
        }
        self.snapshot.nearest_of(u64::from(self.settings.instance) + 1, most, |&id| self.runs(id, class))
    }

    /// Chooses the workers that this dispatcher works with: the paper's top N, made narrow. Each one has
    /// its own, more of them the more a worker can do at present. Guards against stale knowledge, many
    /// connections, and all dispatchers at one cold worker. A closed worker takes no place of the N.
    pub(super) fn choose_set(&mut self, now: Micros) {
        let n = self.n.min(self.ready.len());
        let closed = |&id: &WorkerId| !self.sound(id) || self.worker(id).full.iter().any(|f| f.1 > now);
        let passed = self.near.iter().take(2 * n).filter(|id| closed(id)).count();
        self.set = self.near.iter().take(n + passed).copied().collect();
    }

    /// What a worker can do at present beside others, one in another zone less the larger the own is.
    pub(super) fn weight(&self, id: WorkerId, now: Micros) -> f64 {
        let w = self.worker(id);
        let apart = if w.entry.zone == self.settings.zone { 1.0 } else { self.apart };
        self.size(w).max(1e-3) * self.warmth(w, now) / apart
    }

    pub(super) fn worker_mut(&mut self, id: WorkerId) -> &mut Worker {
        let i = id.0 as usize;
        self.workers.resize_with(self.workers.len().max(i + 1), Worker::default);
        &mut self.workers[i]
    }

    pub(super) fn worker(&self, id: WorkerId) -> &Worker {
        &self.workers[id.0 as usize]
    }

    /// A worker's size. All would move in step with a late rating: its kind's largest stands for it.
    pub(super) fn size(&self, w: &Worker) -> f64 {
        w.entry.weight.max(self.kinds[w.entry.kind].size)
    }

    pub(super) fn kind(&self, w: &Worker) -> Kind {
        let known = self.kinds[w.entry.kind];
        Kind { slots: known.slots.max(1.0), ..known }
    }
}
