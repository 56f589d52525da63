//! Handling of updates of the worker list, and of discovery failures.

use crate::dispatcher::{DISCOVERY_TIMER, Dispatcher};
use crate::interface::{Action, Micros, WorkerEntry, WorkerListUpdate};

impl Dispatcher {
    /// Applies an update of the worker list. After a failure, sets a timer for the next watch.
    pub(super) fn on_worker_list(
        &mut self,
        now: Micros,
        update: WorkerListUpdate,
        actions: &mut Vec<Action>,
    ) {
        match update {
            WorkerListUpdate::Failed => {
                let delay = self.discovery_retry.next_delay(&mut self.rng);
                actions.push(Action::SetTimer { delay, token: DISCOVERY_TIMER });
                return;
            }
            WorkerListUpdate::Delta(entries) => {
                self.apply_entries(now, entries);
                self.discovery_retry.record_success();
            }
            WorkerListUpdate::Full(entries) => {
                self.workers.mark_all_gone();
                self.apply_entries(now, entries);
                self.discovery_retry.record_success();
            }
            WorkerListUpdate::Cached(entries) => {
                self.workers.mark_all_gone();
                self.apply_entries(now, entries);
                if self.settings.worker_list_needs_watch {
                    actions.push(Action::WatchWorkerList);
                } else {
                    self.discovery_retry.record_success();
                }
            }
        }
        self.workers.update_totals();
        self.update_throughput_weight(now);
        self.subset.invalidate_nearest();
    }

    /// Applies entries of the list. Slow start begins for each new process.
    fn apply_entries(&mut self, now: Micros, entries: Vec<WorkerEntry>) {
        for entry in entries {
            let id = entry.worker;
            if self.workers.apply(entry) {
                self.begin_slow_start(id, now);
            }
        }
    }
}
