//! What all bodies of a node share: the plan, the disk, the file descriptors, the thread pool and the
//! counters.

use crate::blocking_pool::BlockingPool;
use crate::counters::Counters;
use crate::decision::{NotStoredReason, Timestamp};
use crate::disk::Disk;
use crate::plan::{BodyId, StorageLimits, StoragePlan};
use crate::settings;
use event_listener::Event;
use sorrelhaven_config::{BodySettings, NotStoredPolicy};
use sorrelhaven_wire::{BufferBudget, BufferReservation};
use std::any::Any;
use std::cell::{Cell, RefCell, RefMut};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tracing::warn;

/// Permission to keep one file descriptor open. Dropping it returns the descriptor to the node's budget.
pub type FilePermit = Box<dyn Any>;

/// The budgets of the node that bodies share with its connections.
pub struct SharedBudgets {
    /// Grants a permit for a file descriptor; `None` if the budget of descriptors is used up. Called before a file
    /// is created.
    pub file_permits: Box<dyn Fn() -> Option<FilePermit>>,
    /// The memory for the part of a body that is in memory although the body is in a file or not stored.
    pub windows: Rc<BufferBudget>,
}

impl SharedBudgets {
    /// Budgets without a limit.
    pub fn unlimited() -> SharedBudgets {
        SharedBudgets { file_permits: Box::new(|| Some(Box::new(()))), windows: BufferBudget::unlimited() }
    }
}

/// Shared by the store, its bodies, its writers and its readers.
pub(crate) struct SharedResources {
    plan: RefCell<StoragePlan>,
    disk: RefCell<Option<Arc<dyn Disk>>>,
    /// Whether bodies that can't be stored are rejected, instead of being streamed to a single reader.
    rejects_unstorable: Cell<bool>,
    budgets: SharedBudgets,
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
        budgets: SharedBudgets,
    ) -> SharedResources {
        let limits = settings::limits(settings, disk.is_some());
        SharedResources {
            plan: RefCell::new(StoragePlan::new(limits, budget_groups)),
            disk: RefCell::new(disk),
            rejects_unstorable: Cell::new(settings.not_stored == NotStoredPolicy::Reject),
            budgets,
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

    /// Changes the memory that all bodies together may use, and wakes the spiller.
    pub(crate) fn set_memory_limit(&self, max_memory_bytes: u64) {
        let limits = StorageLimits { max_memory_bytes, ..self.plan().limits().clone() };
        self.plan().configure(limits);
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

    pub(crate) fn acquire_file_permit(&self) -> Option<FilePermit> {
        (self.budgets.file_permits)()
    }

    /// A reservation of no bytes for a body that is in a file or not stored.
    pub(crate) fn new_window(&self) -> BufferReservation {
        self.budgets.windows.reservation()
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
