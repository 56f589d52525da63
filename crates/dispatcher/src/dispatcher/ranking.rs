//! Ranking of the workers in use by penalised capacity, for each class.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::context::DecisionContext;
use crate::interface::{Micros, WorkerId};

/// Workers by class, the fastest first, and a flag for each class that must be ranked again.
#[derive(Default)]
pub(super) struct Ranking {
    by_class: Vec<Vec<WorkerId>>,
    stale: Vec<bool>,
}

impl Ranking {
    pub(super) fn new(classes: usize) -> Self {
        Ranking { by_class: vec![Vec::new(); classes], stale: vec![true; classes] }
    }

    /// Returns the workers for a class, the fastest first.
    pub(super) fn of_class(&self, class: usize) -> &[WorkerId] {
        &self.by_class[class]
    }

    /// Marks all classes to be ranked again, after a capacity or the subset has changed.
    pub(super) fn invalidate(&mut self) {
        self.stale.fill(true);
    }

    fn take_stale(&mut self, class: usize) -> bool {
        std::mem::take(&mut self.stale[class])
    }
}

impl Dispatcher {
    /// Updates the subset if it is outdated, and the ranking of a class if a capacity or the subset has
    /// changed.
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
        self.health.update_median_failures(failures.collect());
        self.ranking.by_class[class] = self.context().rank(class, now);
    }
}

impl DecisionContext<'_> {
    fn rank(&self, class: usize, now: Micros) -> Vec<WorkerId> {
        let runs_class = |id: &&WorkerId| self.runs_class(**id, class);
        let members = self.subset.members();
        let has_runner = members.iter().any(|id| runs_class(&id));
        let group = if has_runner { members } else { self.subset.nearest_of_class(class) };
        let scored = |&id: &WorkerId| (self.penalised_capacity(self.workers.get(id), class, now), id);
        let mut ranked: Vec<(f64, WorkerId)> = group.iter().filter(runs_class).map(scored).collect();
        // The sort is stable: workers of equal capacity stay in the order of this dispatcher's subset. Sorted
        // by id, all dispatchers that have just started would send their first jobs to the same worker.
        ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}
