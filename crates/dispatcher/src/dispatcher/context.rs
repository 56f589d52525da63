//! Read-only view of the dispatcher's state for predictions and checks.

use crate::dispatcher::arrival_statistics::ArrivalStatistics;
use crate::dispatcher::health::HealthTracker;
use crate::dispatcher::request::Request;
use crate::dispatcher::slow_start::capacity_fraction;
use crate::dispatcher::subset::WorkerSubset;
use crate::dispatcher::throughput::Throughput;
use crate::dispatcher::worker::Worker;
use crate::dispatcher::worker_table::WorkerTable;
use crate::interface::{Class, Micros, Settings, WorkerId};

/// Lower bound of a worker's weight before it is reduced for slow start and other zones.
const MIN_WEIGHT: f64 = 1e-3;

/// State that decisions depend on. `prediction`, `slow_start`, `permission` and `ranking` add methods.
#[derive(Clone, Copy)]
pub(super) struct DecisionContext<'a> {
    pub(super) settings: &'a Settings,
    pub(super) workers: &'a WorkerTable,
    pub(super) health: &'a HealthTracker,
    pub(super) arrivals: &'a ArrivalStatistics,
    pub(super) subset: &'a WorkerSubset,
    pub(super) throughput: &'a Throughput,
}

impl<'a> DecisionContext<'a> {
    pub(super) fn class(&self, request: &Request) -> &'a Class {
        &self.settings.classes[request.class]
    }

    /// Returns the share of all slots that this dispatcher gets if all dispatchers have the same load.
    pub(super) fn fair_share(&self) -> f64 {
        1.0 / f64::from(self.settings.instances.max(1))
    }

    /// Returns the fraction of its full capacity that a worker has at `now`; 1 outside slow start.
    pub(super) fn capacity_fraction(&self, worker: &Worker, now: Micros) -> f64 {
        capacity_fraction(&self.settings.slow_start, worker.entry.started_at, now)
    }

    /// Returns a worker's unloaded weight, reduced during slow start. The weight of a worker in another zone
    /// is divided by the size of this dispatcher's zone ([`WorkerTable::zone_groups`]).
    pub(super) fn effective_weight(&self, id: WorkerId, now: Micros) -> f64 {
        let worker = self.workers.get(id);
        let same_zone = worker.entry.zone == self.settings.zone;
        let divisor = if same_zone { 1.0 } else { self.workers.zone_groups() };
        self.workers.unloaded_weight(worker).max(MIN_WEIGHT) * self.capacity_fraction(worker, now) / divisor
    }

    /// Returns whether a worker has no more recent failures than the median worker.
    pub(super) fn is_healthy(&self, id: WorkerId) -> bool {
        self.health.is_healthy(self.workers.get(id))
    }

    /// Returns whether a worker is of a kind that runs this class.
    pub(super) fn runs_class(&self, id: WorkerId, class: usize) -> bool {
        let kind = self.workers.get(id).entry.kind;
        self.settings.classes[class].worker_kind.is_none_or(|required| required == kind)
    }

    /// Returns whether a worker runs this class and has not rejected it recently.
    pub(super) fn accepts_class(&self, id: WorkerId, class: usize, now: Micros) -> bool {
        self.runs_class(id, class) && self.workers.get(id).health.accepts(class, now)
    }
}
