//! What all bodies of a node share: the plan, the disk, the descriptors, the thread pool, and the counters.

use crate::blocking_pool::BlockingPool;
use crate::counters::Counters;
use crate::decision::{NotStoredReason, Timestamp};
use crate::disk::Disk;
use crate::plan::{BodyId, StoragePlan};
use crate::settings;
use event_listener::Event;
use sorrelhaven_config::{BodySettings, NotStoredPolicy};
use std::any::Any;
use std::cell::{Cell, RefCell, RefMut};
use std::sync::Arc;
use std::time::Instant;
use tracing::warn;

/// A descriptor's share of the node's budget, which is returned when it is dropped.
pub type FilePermit = Box<dyn Any>;

/// Shared by the store, its writers and its readers.
pub(crate) struct SharedResources {
    plan: RefCell<StoragePlan>,
    disk: RefCell<Option<Arc<dyn Disk>>>,
    rejects_unstorable: Cell<bool>,
    acquire_permit: Box<dyn Fn() -> Option<FilePermit>>,
    pub(crate) pool: BlockingPool,
    started_at: Instant,
    /// Notified when there may be a body to spill.
    pub(crate) memory_pressure: Event,
    pub(crate) counters: Counters,
}

impl SharedResources {
    pub(crate) fn new(
        settings: &BodySettings,
        tenants: usize,
        disk: Option<Arc<dyn Disk>>,
        acquire_permit: impl Fn() -> Option<FilePermit> + 'static,
    ) -> SharedResources {
        let limits = settings::limits(settings, disk.is_some());
        SharedResources {
            plan: RefCell::new(StoragePlan::new(limits, tenants)),
            disk: RefCell::new(disk),
            rejects_unstorable: Cell::new(settings.not_stored == NotStoredPolicy::Reject),
            acquire_permit: Box::new(acquire_permit),
            pool: BlockingPool::new(),
            started_at: Instant::now(),
            memory_pressure: Event::new(),
            counters: Counters::default(),
        }
    }

    /// Changes the settings, and wakes the spiller, since a limit may be lower now.
    pub(crate) fn configure(&self, settings: &BodySettings, disk: Option<Arc<dyn Disk>>) {
        self.plan().configure(settings::limits(settings, disk.is_some()));
        *self.disk.borrow_mut() = disk;
        self.rejects_unstorable.set(settings.not_stored == NotStoredPolicy::Reject);
        self.memory_pressure.notify(1);
    }

    pub(crate) fn plan(&self) -> RefMut<'_, StoragePlan> {
        self.plan.borrow_mut()
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.started_at.elapsed()
    }

    pub(crate) fn disk(&self) -> Option<Arc<dyn Disk>> {
        self.disk.borrow().clone()
    }

    pub(crate) fn acquire_permit(&self) -> Option<FilePermit> {
        (self.acquire_permit)()
    }

    /// Whether the operators want bodies that can't be stored to be rejected rather than streamed once.
    pub(crate) fn rejects_unstorable(&self) -> bool {
        self.rejects_unstorable.get()
    }

    /// Records that the disk has failed a body, and logs the first failure since the disk last worked.
    pub(crate) fn record_disk_failure(&self, id: BodyId, reason: NotStoredReason, error: &str) {
        let failure = self.plan().record_disk_failure(self.now(), id, reason);
        if failure.is_first {
            warn!(why = ?reason, error, "body store disk disabled");
        }
    }

    /// Wakes the spiller if memory is short.
    pub(crate) fn wake_spiller(&self) {
        if self.plan().has_memory_pressure() {
            self.memory_pressure.notify(1);
        }
    }
}
