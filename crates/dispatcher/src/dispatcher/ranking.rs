//! The ranking of the workers in use for each class, by penalised capacity, and when it is worked out again.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::context::DecisionContext;
use crate::dispatcher::rendezvous::{Candidate, limit_choices};
use crate::dispatcher::subset::NearestWorkers;
use crate::interface::{Micros, WorkerId};

/// The workers for each class, the fastest first.
#[derive(Default)]
pub(super) struct Ranking {
    by_class: Vec<Vec<WorkerId>>,
    stale: Vec<bool>,
}

impl Ranking {
    /// An empty ranking for each of so many classes.
    pub(super) fn new(classes: usize) -> Self {
        Ranking { by_class: vec![Vec::new(); classes], stale: vec![true; classes] }
    }

    /// The workers for a class, the fastest first.
    pub(super) fn of_class(&self, class: usize) -> &[WorkerId] {
        &self.by_class[class]
    }

    /// Something has changed that ranks the workers.
    pub(super) fn invalidate(&mut self) {
        self.stale.fill(true);
    }

    fn take_stale(&mut self, class: usize) -> bool {
        std::mem::take(&mut self.stale[class])
    }
}

impl Dispatcher {
    /// Ranks the workers for a class again, if anything that ranks them has changed.
    pub(super) fn refresh_ranking(&mut self, class: usize, now: Micros) {
        let nearest_due = self.subset.take_nearest_due(now);
        if nearest_due {
            self.look_up_nearest_workers(now);
        }
        if self.subset.take_members_due() || nearest_due {
            self.choose_subset(now);
            self.ranking.invalidate();
        }
        if !self.ranking.take_stale(class) {
            return;
        }
        let failures = self.subset.members().iter().map(|&id| self.workers.get(id).health.failures());
        self.health.update_common_failures(failures.collect());
        self.ranking.by_class[class] = self.context().rank(class, now);
    }

    /// Looks at all workers in the list: which are the nearest to this dispatcher, and how much they weigh.
    /// It costs more the longer the list is, so it is not done for every request.
    fn look_up_nearest_workers(&mut self, now: Micros) {
        let context = self.context();
        let candidate = |&id: &WorkerId| Candidate {
            id,
            name_hash: context.workers.get(id).entry.name_hash,
            weight: context.present_weight(id, now),
        };
        let candidates: Vec<Candidate> = context.workers.ready().iter().map(candidate).collect();
        let total_weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let workers = candidates.len();
        self.affinity.set_candidates(candidates);
        let limit = self.subset.lookup_size(workers);
        let for_all = self.affinity.nearest_to_instance(limit, |_| true);
        let limit_of_class = limit_choices(workers, workers).max(limit);
        let classes = 0..self.settings.classes.len();
        let by_class = classes.map(|class| self.nearest_of_class(class, limit_of_class)).collect();
        let nearest = NearestWorkers { for_all, by_class, total_weight };
        for &id in nearest.for_all.iter().chain(nearest.by_class.iter().flatten()) {
            self.capacity.estimate(&mut self.workers, id);
        }
        self.subset.set_nearest(now, workers, nearest);
    }

    /// The nearest workers that run a class, if only one kind of machine does: the subset may have none of
    /// them.
    fn nearest_of_class(&self, class: usize, limit: usize) -> Vec<WorkerId> {
        if self.settings.classes[class].worker_kind.is_none() {
            return Vec::new();
        }
        let context = self.context();
        self.affinity.nearest_to_instance(limit, |id| context.runs_class(id, class))
    }

    fn choose_subset(&mut self, now: Micros) {
        let (workers, health) = (&self.workers, &self.health);
        let is_ejected = |id| {
            let worker = workers.get(id);
            !health.is_healthy(worker) || worker.health.has_rejected(now)
        };
        self.subset.choose_members(workers.ready().len(), is_ejected);
    }
}

impl DecisionContext<'_> {
    fn rank(&self, class: usize, now: Micros) -> Vec<WorkerId> {
        let runs_class = |id: &&WorkerId| self.runs_class(**id, class);
        let members = self.subset.members();
        let has_runner = members.iter().any(|id| runs_class(&id));
        let group = if has_runner { members } else { self.subset.nearest_of_class(class) };
        let rated = |&id: &WorkerId| (self.penalised_capacity(self.workers.get(id), class, now), id);
        let mut ranked: Vec<(f64, WorkerId)> = group.iter().filter(runs_class).map(rated).collect();
        // The sort is stable. Equals stay in the order of this dispatcher's subset: ordered by id, all fresh
        // dispatchers would begin at one worker.
        ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}
