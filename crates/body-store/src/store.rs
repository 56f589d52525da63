//! All bodies of one node, with the settings, the disk and the counters that they share.

use crate::blocking_pool::BlockingPool;
use crate::body::{RequestBody, SharedBody};
use crate::body_end::BodyEnd;
use crate::counters::Counters;
use crate::disk::Disk;
use crate::plan::{BodyId, NotStoredReason, Plan, StorageUsage, Timestamp};
use crate::settings;
use crate::writer::BodyWriter;
use event_listener::Event;
use sorrelhaven_config::{BodySettings, NotStoredPolicy};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::warn;

/// A descriptor's share of the node's budget, which is returned when it is dropped.
pub type Permit = Box<dyn Any>;

/// All bodies of one node.
pub struct BodyStore {
    pub(crate) plan: RefCell<Plan>,
    disk: RefCell<Option<Arc<dyn Disk>>>,
    rejects_unstorable: Cell<bool>,
    min_upload_bytes_per_second: Cell<u64>,
    acquire_permit: Box<dyn Fn() -> Option<Permit>>,
    pub(crate) pool: BlockingPool,
    started_at: Instant,
    /// Notified when there may be a body to spill.
    pub(crate) memory_pressure: Event,
    pub(crate) counters: Counters,
    pub(crate) bodies: RefCell<HashMap<BodyId, Weak<SharedBody>>>,
}

impl BodyStore {
    /// A store for the bodies of `tenants` tenants (class and state office). `disk` is the directory of the
    /// settings, if there is one, and `acquire_permit` returns a descriptor of the node's budget for each
    /// file.
    pub fn new(
        settings: &BodySettings,
        tenants: usize,
        disk: Option<Arc<dyn Disk>>,
        acquire_permit: impl Fn() -> Option<Permit> + 'static,
    ) -> Rc<BodyStore> {
        let limits = settings::limits(settings, disk.is_some());
        Rc::new(BodyStore {
            plan: RefCell::new(Plan::new(limits, tenants)),
            disk: RefCell::new(disk),
            rejects_unstorable: Cell::new(settings.not_stored == NotStoredPolicy::Reject),
            min_upload_bytes_per_second: Cell::new(settings.slowest_bytes_per_s),
            acquire_permit: Box::new(acquire_permit),
            pool: BlockingPool::new(),
            started_at: Instant::now(),
            memory_pressure: Event::new(),
            counters: Counters::default(),
            bodies: RefCell::default(),
        })
    }

    /// Changes the settings. Bodies that are stored stay so, and those in memory beyond a lower limit are
    /// spilled to files if there is a disk.
    pub fn configure(&self, settings: &BodySettings, disk: Option<Arc<dyn Disk>>) {
        self.plan.borrow_mut().configure(settings::limits(settings, disk.is_some()));
        *self.disk.borrow_mut() = disk;
        self.rejects_unstorable.set(settings.not_stored == NotStoredPolicy::Reject);
        self.min_upload_bytes_per_second.set(settings.slowest_bytes_per_s);
        self.memory_pressure.notify(1);
    }

    /// The time by which the next byte of a body has to arrive so that its upload is fast enough: its first
    /// byte arrived at `first_byte_at`, and `received` bytes since. `grace` is allowed in any case.
    pub fn upload_deadline(&self, first_byte_at: Instant, grace: Duration, received: u64) -> Instant {
        let bytes_per_second = self.min_upload_bytes_per_second.get().max(1);
        first_byte_at + grace + Duration::from_secs_f64(received as f64 / bytes_per_second as f64)
    }

    /// The bytes that all bodies hold.
    pub fn usage(&self) -> StorageUsage {
        self.plan.borrow().usage()
    }

    /// Begins to take in a body of `tenant`, whose length is known if the client declared it.
    ///
    /// # Errors
    /// How the body has ended, and the body: it is too long, or it can't be stored and such bodies are
    /// rejected.
    pub fn begin(
        self: &Rc<Self>,
        tenant: usize,
        declared_length: Option<u64>,
    ) -> Result<BodyWriter, (BodyEnd, RequestBody)> {
        let registered = self.plan.borrow_mut().register(self.now(), tenant, declared_length);
        let shared = Rc::new(SharedBody::new(self.clone(), registered.id, declared_length));
        self.bodies.borrow_mut().insert(registered.id, Rc::downgrade(&shared));
        let writer = BodyWriter::new(shared);
        match writer.start(registered.decision) {
            Ok(()) => Ok(writer),
            Err(end) => Err((end, writer.body())),
        }
    }

    /// All counters with their names, in the order in which they are printed.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        self.counters.metrics(self.usage())
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.started_at.elapsed()
    }

    pub(crate) fn disk(&self) -> Option<Arc<dyn Disk>> {
        self.disk.borrow().clone()
    }

    pub(crate) fn acquire_permit(&self) -> Option<Permit> {
        (self.acquire_permit)()
    }

    /// Whether the operators want bodies that can't be stored to be rejected rather than streamed once.
    pub(crate) fn rejects_unstorable(&self) -> bool {
        self.rejects_unstorable.get()
    }

    /// Records that the disk has failed a body, and logs the first failure since the disk last worked.
    pub(crate) fn record_disk_failure(&self, id: BodyId, reason: NotStoredReason, error: &str) {
        let failure = self.plan.borrow_mut().record_disk_failure(self.now(), id, reason);
        if failure.is_first {
            warn!(why = ?reason, error, "body store disk disabled");
        }
    }

    /// Wakes the spiller if memory is short.
    pub(crate) fn wake_spiller(&self) {
        if self.plan.borrow().has_memory_pressure() {
            self.memory_pressure.notify(1);
        }
    }
}
