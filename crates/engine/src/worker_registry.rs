//! The workers that discovery's lists have named: their ids, their addresses, and whether they accept work.

use crate::start_times::StartTimes;
use sorrelhaven_config::{ConfigError, DiscoveryHost, DiscoveryList, ZoneAndKindNames};
use sorrelhaven_dispatcher::{Lifecycle, Micros, WorkerEntry, WorkerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;
use tracing::warn;

/// Every worker that any list has named since the node started.
pub struct WorkerRegistry {
    names: ZoneAndKindNames,
    known: RefCell<KnownWorkers>,
}

#[derive(Default)]
struct KnownWorkers {
    start_times: StartTimes,
    ids: HashMap<String, WorkerId>,
    /// Indexed by the number of the [`WorkerId`].
    workers: Vec<KnownWorker>,
}

struct KnownWorker {
    address: Option<SocketAddr>,
    /// When a list first reported that the worker accepts no work; `None` while it accepts work.
    draining_since: Option<Instant>,
}

impl KnownWorker {
    fn set_accepts_work(&mut self, accepts_work: bool) {
        if accepts_work {
            self.draining_since = None;
        } else if self.draining_since.is_none() {
            self.draining_since = Some(Instant::now());
        }
    }
}

impl WorkerRegistry {
    /// Creates an empty registry. `names`: the names of zones and worker kinds in the settings.
    pub fn new(names: ZoneAndKindNames) -> WorkerRegistry {
        WorkerRegistry { names, known: RefCell::default() }
    }

    /// The last address that a list gave for a worker, if any.
    pub fn address(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.known.borrow().get(worker)?.address
    }

    /// Whether a worker is known and, according to the last list, accepts work.
    pub fn accepts_work(&self, worker: WorkerId) -> bool {
        self.known.borrow().get(worker).is_some_and(|known| known.draining_since.is_none())
    }

    /// When a list first reported that a worker accepts no work; `None` if it accepts work or is unknown.
    pub fn draining_since(&self, worker: WorkerId) -> Option<Instant> {
        self.known.borrow().get(worker)?.draining_since
    }

    /// Applies a list that was read at `now`, and returns its entries for the dispatcher.
    ///
    /// An invalid entry is logged and skipped, so that it does not block the list's other entries.
    pub fn apply(&self, list: &DiscoveryList, now: Micros) -> Vec<WorkerEntry> {
        let known = &mut *self.known.borrow_mut();
        let reported_starts = list.workers.iter().map(|host| host.started_ms.saturating_mul(1_000));
        known.start_times.begin_list(reported_starts, now);
        let mut entries = Vec::new();
        for host in &list.workers {
            match known.apply_host(host, &self.names, now) {
                Ok(entry) => entries.push(entry),
                Err(error) => warn!(host = host.name, %error, "worker list entry ignored"),
            }
        }
        known.start_times.end_list(now);
        if list.complete {
            known.mark_unlisted_draining(&entries);
        }
        entries
    }
}

impl KnownWorkers {
    fn get(&self, worker: WorkerId) -> Option<&KnownWorker> {
        self.workers.get(worker.0 as usize)
    }

    /// Applies one entry of a list, and gives its worker an id if it is new.
    fn apply_host(
        &mut self,
        host: &DiscoveryHost,
        names: &ZoneAndKindNames,
        now: Micros,
    ) -> Result<WorkerEntry, ConfigError> {
        let next_id = WorkerId(self.workers.len() as u32);
        let id = self.ids.get(&host.name).copied().unwrap_or(next_id);
        let mut entry = host.entry(id, names)?;
        entry.started_at = self.start_times.started_at(id, entry.started_at, now);
        if id == next_id {
            self.ids.insert(host.name.clone(), id);
            self.workers.push(KnownWorker { address: None, draining_since: None });
        }
        let worker = &mut self.workers[id.0 as usize];
        // The entry of a worker that is gone may omit the address.
        worker.address = host.address.or(worker.address);
        worker.set_accepts_work(entry.lifecycle == Lifecycle::Ready);
        Ok(entry)
    }

    /// Marks the workers that a complete list does not name as accepting no work.
    fn mark_unlisted_draining(&mut self, entries: &[WorkerEntry]) {
        let mut is_listed = vec![false; self.workers.len()];
        for entry in entries {
            is_listed[entry.worker.0 as usize] = true;
        }
        for (worker, is_listed) in self.workers.iter_mut().zip(is_listed) {
            if !is_listed {
                worker.set_accepts_work(false);
            }
        }
    }
}
