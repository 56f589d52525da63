//! All bodies of one node.

use crate::body::{BodyRegistry, SharedBody};
use crate::body_end::BodyEnd;
use crate::disk::Disk;
use crate::plan::StorageUsage;
use crate::request_body::RequestBody;
use crate::resources::{FilePermit, SharedResources};
use crate::writer::BodyWriter;
use sorrelhaven_config::BodySettings;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// All bodies of one node.
pub struct BodyStore {
    pub(crate) resources: Rc<SharedResources>,
    pub(crate) bodies: BodyRegistry,
    min_upload_bytes_per_second: Cell<u64>,
}

impl BodyStore {
    /// A store for the bodies of `tenants` tenants (class and state office). `disk` is the directory of the
    /// settings, if there is one, and `acquire_permit` returns a descriptor of the node's budget for each
    /// file.
    pub fn new(
        settings: &BodySettings,
        tenants: usize,
        disk: Option<Arc<dyn Disk>>,
        acquire_permit: impl Fn() -> Option<FilePermit> + 'static,
    ) -> Rc<BodyStore> {
        Rc::new(BodyStore {
            resources: Rc::new(SharedResources::new(settings, tenants, disk, acquire_permit)),
            bodies: BodyRegistry::default(),
            min_upload_bytes_per_second: Cell::new(settings.slowest_bytes_per_s),
        })
    }

    /// Changes the settings. Bodies that are stored stay so, and those in memory beyond a lower limit are
    /// spilled to files if there is a disk.
    pub fn configure(&self, settings: &BodySettings, disk: Option<Arc<dyn Disk>>) {
        self.min_upload_bytes_per_second.set(settings.slowest_bytes_per_s);
        self.resources.configure(settings, disk);
    }

    /// The time by which the next byte of a body has to arrive so that its upload is fast enough: its first
    /// byte arrived at `first_byte_at`, and `received` bytes since. `grace` is allowed in any case.
    pub fn upload_deadline(&self, first_byte_at: Instant, grace: Duration, received: u64) -> Instant {
        let bytes_per_second = self.min_upload_bytes_per_second.get().max(1);
        first_byte_at + grace + Duration::from_secs_f64(received as f64 / bytes_per_second as f64)
    }

    /// The bytes that all bodies hold.
    pub fn usage(&self) -> StorageUsage {
        self.resources.plan().usage()
    }

    /// Begins to take in a body of `tenant`, whose length is known if the client declared it.
    ///
    /// # Errors
    /// How the body has ended, and the body: it is too long, or it can't be stored and such bodies are
    /// rejected.
    pub fn begin_upload(
        &self,
        tenant: usize,
        declared_length: Option<u64>,
    ) -> Result<BodyWriter, (BodyEnd, RequestBody)> {
        let now = self.resources.now();
        let registered = self.resources.plan().register(now, tenant, declared_length);
        let shared = SharedBody::new(&self.resources, &self.bodies, registered.id, declared_length);
        let writer = BodyWriter::new(shared);
        match writer.start(registered.decision) {
            Ok(()) => Ok(writer),
            Err(end) => Err((end, writer.body())),
        }
    }

    /// All counters with their names, in the order in which they are printed.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        self.resources.counters.metrics(self.usage())
    }
}
