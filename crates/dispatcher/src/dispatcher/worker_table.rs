//! All workers that the host has named, and the statistics of their kinds.

use crate::dispatcher::machine_kind::MachineKind;
use crate::dispatcher::worker::Worker;
use crate::interface::{Lifecycle, Settings, WorkerEntry, WorkerId};

/// Number of workers in a group, the unit of a zone's size. The dispatchers of a zone with more workers than
/// this prefer the workers of that zone.
pub(super) const ZONE_GROUP_WORKERS: f64 = 4.0;
/// Largest size of a small zone, in groups of [`ZONE_GROUP_WORKERS`]. In a larger zone, a dispatcher sees
/// only a small part of the jobs that are sent to its workers.
const MAX_SMALL_ZONE_GROUPS: f64 = 2.0;
/// Largest index of a worker kind; a higher one is reduced to it, which bounds the memory for statistics.
const MAX_KIND: usize = 1023;
/// Lower bound of the total weight, which is used as a divisor.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// Workers and worker kinds known to this dispatcher.
#[derive(Default)]
pub(super) struct WorkerTable {
    /// Indexed by worker id.
    workers: Vec<Worker>,
    kinds: Vec<MachineKind>,
    ready: Vec<WorkerId>,
    /// Sum of the unloaded weights of the ready workers.
    total_weight: f64,
    /// Number of ready workers in this dispatcher's zone, in groups of [`ZONE_GROUP_WORKERS`]; at least 1.
    zone_groups: f64,
    /// Number of request classes.
    classes: usize,
    /// Zone of this dispatcher.
    zone: usize,
    weights_include_load: bool,
}

impl WorkerTable {
    pub(super) fn new(settings: &Settings) -> Self {
        WorkerTable {
            kinds: vec![MachineKind::default(); settings.worker_kinds.max(1)],
            classes: settings.classes.len(),
            zone: settings.zone,
            weights_include_load: settings.weights_include_load,
            ..WorkerTable::default()
        }
    }

    /// Returns the worker with this id.
    ///
    /// # Panics
    /// If the host has not named the worker.
    pub(super) fn get(&self, id: WorkerId) -> &Worker {
        &self.workers[id.0 as usize]
    }

    /// Returns the worker with this id, and adds it if the host has not named it before.
    pub(super) fn get_mut(&mut self, id: WorkerId) -> &mut Worker {
        let index = id.0 as usize;
        if index >= self.workers.len() {
            self.workers.resize_with(index + 1, Worker::default);
        }
        &mut self.workers[index]
    }

    /// Returns the ids of all workers ever named, in ascending order.
    pub(super) fn ids(&self) -> impl Iterator<Item = WorkerId> {
        (0..self.workers.len() as u32).map(WorkerId)
    }

    /// Returns the workers that accept new work, in ascending order of id.
    pub(super) fn ready(&self) -> &[WorkerId] {
        &self.ready
    }

    /// Marks all workers as gone, before a complete list is applied.
    pub(super) fn mark_all_gone(&mut self) {
        for worker in &mut self.workers {
            worker.entry.lifecycle = Lifecycle::Gone;
        }
    }

    /// Applies an entry of the worker list. Returns whether it shows a new process.
    pub(super) fn apply(&mut self, mut entry: WorkerEntry) -> bool {
        entry.weight = if entry.weight.is_finite() { entry.weight.max(0.0) } else { 1.0 };
        entry.kind = entry.kind.min(MAX_KIND);
        let (id, kind, weight) = (entry.worker, entry.kind, entry.weight);
        let classes = self.classes;
        let is_new_process = self.get_mut(id).apply(entry, classes);
        if kind >= self.kinds.len() {
            self.kinds.resize(kind + 1, MachineKind::default());
        }
        if self.weights_include_load {
            self.kinds[kind].record_weight(weight);
        }
        is_new_process
    }

    /// Recomputes the ready workers and the totals after the list has changed.
    pub(super) fn update_totals(&mut self) {
        self.ready = self.ids().filter(|&id| self.get(id).is_ready()).collect();
        self.total_weight = self.ready.iter().map(|&id| self.unloaded_weight(self.get(id))).sum();
        let in_zone = self.ready.iter().filter(|&&id| self.get(id).entry.zone == self.zone).count();
        self.zone_groups = (in_zone as f64 / ZONE_GROUP_WORKERS).max(1.0);
    }

    /// Returns the statistics of a worker's kind.
    pub(super) fn kind(&self, worker: &Worker) -> &MachineKind {
        &self.kinds[worker.entry.kind]
    }

    /// Like [`WorkerTable::kind`], but mutable.
    pub(super) fn kind_mut(&mut self, id: WorkerId) -> &mut MachineKind {
        let kind = self.get_mut(id).entry.kind;
        &mut self.kinds[kind]
    }

    /// Returns a worker's weight without its load. If listed weights include the load, that is the largest
    /// weight seen of its kind: listed weights are known with a delay, and if dispatchers followed them, all
    /// would move to the same workers at once (herding).
    pub(super) fn unloaded_weight(&self, worker: &Worker) -> f64 {
        worker.entry.weight.max(self.kind(worker).largest_weight())
    }

    /// Returns the sum of the unloaded weights of all ready workers, above 0.
    pub(super) fn total_weight(&self) -> f64 {
        self.total_weight.max(MIN_TOTAL_WEIGHT)
    }

    /// Returns the number of ready workers in this dispatcher's zone, in groups of [`ZONE_GROUP_WORKERS`]; at
    /// least 1.
    pub(super) fn zone_groups(&self) -> f64 {
        self.zone_groups
    }

    /// Returns by how many groups of [`ZONE_GROUP_WORKERS`] this dispatcher's zone exceeds
    /// [`MAX_SMALL_ZONE_GROUPS`]; 0 in a small zone.
    pub(super) fn groups_above_small_zone(&self) -> f64 {
        (self.zone_groups - MAX_SMALL_ZONE_GROUPS).max(0.0)
    }
}
