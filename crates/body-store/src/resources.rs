//! What all bodies of a node share: the plan, the disk, the file descriptors, the thread pool and the
//! counters.

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

/// Permission to keep one file descriptor open. Dropping it returns the descriptor to the node's budget.
pub type FilePermit = Box<dyn Any>;

/// Shared by the store, its bodies, its writers and its readers.
pub(crate) struct SharedResources {
    plan: RefCell<StoragePlan>,
    disk: RefCell<Option<Arc<dyn Disk>>>,
    /// Whether bodies that can't be stored are rejected, instead of being streamed to a single reader.
    rejects_unstorable: Cell<bool>,
    acquire_permit: Box<dyn Fn() -> Option<FilePermit>>,
    pub(crate) pool: BlockingPool,
    /// The start of the plan's time.
    started_at: Instant,
    /// Notified when there may be a body to spill.
    pub(crate) memory_pressure: Event,
    pub(crate) counters: Counters,
}

impl SharedResources {
    pub(crate) fn new(
        settings: &BodySettings,
        budget_groups: usize,
        disk: Option<Arc<dyn Disk>>,
        acquire_permit: impl Fn() -> Option<FilePermit> + 'static,
    ) -> SharedResources {
        let limits = settings::limits(settings, disk.is_some());
        SharedResources {
            plan: RefCell::new(StoragePlan::new(limits, budget_groups)),
            disk: RefCell::new(disk),
            rejects_unstorable: Cell::new(settings.not_stored == NotStoredPolicy::Reject),
            acquire_permit: Box::new(acquire_permit),
            pool: BlockingPool::new(),
            started_at: Instant::now(),
            memory_pressure: Event::new(),
            counters: Counters::default(),
        }
    }

    /// Applies changed settings, and wakes the spiller, since memory may be short under a lower limit.
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

    pub(crate) fn rejects_unstorable(&self) -> bool {
        self.rejects_unstorable.get()
    }

    /// Records a failure as [`StoragePlan::record_disk_failure`] does. Logs only the first failure since the
    /// last successful write, as each body in progress may report one.
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
