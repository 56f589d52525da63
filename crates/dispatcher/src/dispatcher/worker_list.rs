//! Handling of updates of the worker list, and of discovery failures.

use crate::dispatcher::{DISCOVERY_TIMER, Dispatcher};
use crate::interface::{Action, WorkerEntry, WorkerListUpdate};

impl Dispatcher {
    /// Applies an update of the worker list. After a failure, sets a timer for the next watch.
    pub(super) fn on_worker_list(&mut self, update: WorkerListUpdate, actions: &mut Vec<Action>) {
        match update {
            WorkerListUpdate::Failed => {
                let delay = self.discovery_retry.next_delay(&mut self.rng);
                actions.push(Action::SetTimer { delay, token: DISCOVERY_TIMER });
                return;
            }
            WorkerListUpdate::Delta(entries) => {
                self.apply_entries(entries);
                self.discovery_retry.record_success();
            }
            WorkerListUpdate::Full(entries) => {
                self.workers.mark_all_gone();
                self.apply_entries(entries);
                self.discovery_retry.record_success();
            }
            WorkerListUpdate::Cached(entries) => {
                self.workers.mark_all_gone();
                self.apply_entries(entries);
                if self.settings.worker_list_needs_watch {
                    actions.push(Action::WatchWorkerList);
                } else {
                    self.discovery_retry.record_success();
                }
            }
        }
        self.workers.update_totals();
        self.subset.invalidate_nearest();
    }

    /// Applies entries of the list. Each new process gets a random slow-start debt, which spreads the first
    /// jobs of all dispatchers over time.
    fn apply_entries(&mut self, entries: Vec<WorkerEntry>) {
        for entry in entries {
            let initial_debt = self.rng.f64() * self.arrivals.mean_size();
            self.workers.apply(entry, initial_debt);
        }
    }
}
