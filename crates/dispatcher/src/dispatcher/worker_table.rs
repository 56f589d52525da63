//! All workers that the host has named, and what is learned of their kinds of machine.

use crate::dispatcher::machine_kind::MachineKind;
use crate::dispatcher::worker::Worker;
use crate::interface::{Lifecycle, Settings, WorkerEntry, WorkerId};

/// Workers in a zone from which on dispatchers of that zone prefer them; also the unit of a zone's size.
pub(super) const ZONE_GROUP_WORKERS: f64 = 4.0;
/// A zone of more groups is large: a dispatcher sees little of what is sent to its workers.
const LARGE_ZONE_GROUPS: f64 = 2.0;
/// The highest kind of machine that is distinguished: one out of range must not claim memory for all below
/// it.
const MAX_KIND: usize = 1023;
/// The least total that a weight is divided by.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// The worker list as this dispatcher knows it.
#[derive(Default)]
pub(super) struct WorkerTable {
    /// By worker id.
    workers: Vec<Worker>,
    kinds: Vec<MachineKind>,
    ready: Vec<WorkerId>,
    /// The sum over the ready workers.
    total_weight: f64,
    /// Ready workers in the own zone, in units of [`ZONE_GROUP_WORKERS`], at least 1.
    zone_groups: f64,
    /// The request classes.
    classes: usize,
    /// The own zone.
    zone: usize,
    weights_include_load: bool,
}

impl WorkerTable {
    /// A table without workers.
    pub(super) fn new(settings: &Settings) -> Self {
        WorkerTable {
            kinds: vec![MachineKind::default(); settings.worker_kinds.max(1)],
            classes: settings.classes.len(),
            zone: settings.zone,
            weights_include_load: settings.weights_include_load,
            ..WorkerTable::default()
        }
    }

    /// The worker of this id.
    ///
    /// # Panics
    /// If the host has not named it.
    pub(super) fn get(&self, id: WorkerId) -> &Worker {
        &self.workers[id.0 as usize]
    }

    /// The worker of this id; one that the host has not named is added.
    pub(super) fn get_mut(&mut self, id: WorkerId) -> &mut Worker {
        let index = id.0 as usize;
        if index >= self.workers.len() {
            self.workers.resize_with(index + 1, Worker::default);
        }
        &mut self.workers[index]
    }

    /// The ids of all workers ever named.
    pub(super) fn ids(&self) -> impl Iterator<Item = WorkerId> {
        (0..self.workers.len() as u32).map(WorkerId)
    }

    /// The workers that take new work, by id.
    pub(super) fn ready(&self) -> &[WorkerId] {
        &self.ready
    }

    /// Marks all workers as removed, before a complete list is applied.
    pub(super) fn remove_all(&mut self) {
        for worker in &mut self.workers {
            worker.entry.lifecycle = Lifecycle::Gone;
        }
    }

    /// Applies one line of the worker list; a new process starts with this slow-start debt.
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

    /// Sums the list up again, after it was changed.
    pub(super) fn update_totals(&mut self) {
        self.ready = self.ids().filter(|&id| self.get(id).is_ready()).collect();
        self.total_weight = self.ready.iter().map(|&id| self.rated_weight(self.get(id))).sum();
        let in_zone = self.ready.iter().filter(|&&id| self.get(id).entry.zone == self.zone).count();
        self.zone_groups = (in_zone as f64 / ZONE_GROUP_WORKERS).max(1.0);
    }

    /// What the machines of a worker's kind have shown.
    pub(super) fn kind(&self, worker: &Worker) -> &MachineKind {
        &self.kinds[worker.entry.kind]
    }

    /// As [`WorkerTable::kind`], to add to it.
    pub(super) fn kind_mut(&mut self, id: WorkerId) -> &mut MachineKind {
        let kind = self.get_mut(id).entry.kind;
        &mut self.kinds[kind]
    }

    /// A worker's weight when idle: where listed weights include the load, the largest seen of its kind
    /// stands for it, since all dispatchers would move in step with weights that are late.
    pub(super) fn rated_weight(&self, worker: &Worker) -> f64 {
        worker.entry.weight.max(self.kind(worker).largest_weight())
    }

    /// The sum of the rated weights of all ready workers, above 0.
    pub(super) fn total_weight(&self) -> f64 {
        self.total_weight.max(MIN_TOTAL_WEIGHT)
    }

    /// The size of the own zone, in units of [`ZONE_GROUP_WORKERS`], at least 1.
    pub(super) fn zone_groups(&self) -> f64 {
        self.zone_groups
    }

    /// The groups by which the own zone is larger than a small one; 0 in a small zone.
    pub(super) fn excess_zone_groups(&self) -> f64 {
        (self.zone_groups - LARGE_ZONE_GROUPS).max(0.0)
    }
}
