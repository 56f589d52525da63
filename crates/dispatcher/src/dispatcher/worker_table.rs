//! All workers that the host has named, and what is known of their kinds of machine.

use crate::dispatcher::machine_kind::MachineKind;
use crate::dispatcher::worker::Worker;
use crate::interface::{Lifecycle, Settings, WorkerEntry, WorkerId};

/// The unit of a zone's size. In a zone with more workers than this, dispatchers prefer their own zone.
pub(super) const ZONE_GROUP_WORKERS: f64 = 4.0;
/// A zone of more groups is large: a dispatcher sees only a small part of what is sent to its workers.
const MAX_SMALL_ZONE_GROUPS: f64 = 2.0;
/// Higher kinds of machine count as this one, which bounds the memory for them.
const MAX_KIND: usize = 1023;
/// Lower bound of a total weight that is divided by.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// The workers and kinds of machine that this dispatcher knows.
#[derive(Default)]
pub(super) struct WorkerTable {
    /// By worker id.
    workers: Vec<Worker>,
    kinds: Vec<MachineKind>,
    ready: Vec<WorkerId>,
    /// The sum of the rated weights of the ready workers.
    total_weight: f64,
    /// Ready workers in the own zone, in units of [`ZONE_GROUP_WORKERS`], at least 1.
    zone_groups: f64,
    /// The number of request classes.
    classes: usize,
    /// The zone of this dispatcher.
    zone: usize,
    weights_include_load: bool,
}

impl WorkerTable {
    /// Creates a table without workers.
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
    /// If the host has not named it.
    pub(super) fn get(&self, id: WorkerId) -> &Worker {
        &self.workers[id.0 as usize]
    }

    /// Returns the worker with this id; one that the host has not named is added.
    pub(super) fn get_mut(&mut self, id: WorkerId) -> &mut Worker {
        let index = id.0 as usize;
        if index >= self.workers.len() {
            self.workers.resize_with(index + 1, Worker::default);
        }
        &mut self.workers[index]
    }

    /// Returns the ids of all workers ever named.
    pub(super) fn ids(&self) -> impl Iterator<Item = WorkerId> {
        (0..self.workers.len() as u32).map(WorkerId)
    }

    /// Returns the workers that accept new work, in order of id.
    pub(super) fn ready(&self) -> &[WorkerId] {
        &self.ready
    }

    /// Marks all workers as gone, before a complete list is applied.
    pub(super) fn mark_all_gone(&mut self) {
        for worker in &mut self.workers {
            worker.entry.lifecycle = Lifecycle::Gone;
        }
    }

    /// Applies an entry of the worker list; a new process starts with this slow-start debt.
    pub(super) fn apply(&mut self, mut entry: WorkerEntry, initial_debt: f64) {
        entry.weight = if entry.weight.is_finite() { entry.weight.max(0.0) } else { 1.0 };
        entry.kind = entry.kind.min(MAX_KIND);
        let (id, kind, weight) = (entry.worker, entry.kind, entry.weight);
        let classes = self.classes;
        self.get_mut(id).apply(entry, classes, initial_debt);
        if kind >= self.kinds.len() {
            self.kinds.resize(kind + 1, MachineKind::default());
        }
        if self.weights_include_load {
            self.kinds[kind].record_weight(weight);
        }
    }

    /// Recomputes the ready workers and the totals after the list has changed.
    pub(super) fn update_totals(&mut self) {
        self.ready = self.ids().filter(|&id| self.get(id).is_ready()).collect();
        self.total_weight = self.ready.iter().map(|&id| self.unloaded_weight(self.get(id))).sum();
        let in_zone = self.ready.iter().filter(|&&id| self.get(id).entry.zone == self.zone).count();
        self.zone_groups = (in_zone as f64 / ZONE_GROUP_WORKERS).max(1.0);
    }

    /// Returns the statistics of a worker's kind of machine.
    pub(super) fn kind(&self, worker: &Worker) -> &MachineKind {
        &self.kinds[worker.entry.kind]
    }

    /// Like [`WorkerTable::kind`], for updates.
    pub(super) fn kind_mut(&mut self, id: WorkerId) -> &mut MachineKind {
        let kind = self.get_mut(id).entry.kind;
        &mut self.kinds[kind]
    }

    /// Returns a worker's weight without its load. Where listed weights include the load, it is the largest
    /// weight seen of its kind: listed weights are late, and all dispatchers would move together with them.
    pub(super) fn unloaded_weight(&self, worker: &Worker) -> f64 {
        worker.entry.weight.max(self.kind(worker).largest_weight())
    }

    /// Returns the sum of the rated weights of all ready workers, above 0.
    pub(super) fn total_weight(&self) -> f64 {
        self.total_weight.max(MIN_TOTAL_WEIGHT)
    }

    /// Returns the size of the own zone, in units of [`ZONE_GROUP_WORKERS`], at least 1.
    pub(super) fn zone_groups(&self) -> f64 {
        self.zone_groups
    }

    /// Returns by how many groups the own zone exceeds a small one; 0 in a small zone.
    pub(super) fn groups_above_small_zone(&self) -> f64 {
        (self.zone_groups - MAX_SMALL_ZONE_GROUPS).max(0.0)
    }
}
