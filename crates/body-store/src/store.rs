//! The entry point of the crate: the store of all bodies of one node.

use crate::body::{BodyRegistry, SharedBody};
use crate::body_end::BodyEnd;
use crate::disk::Disk;
use crate::plan::StorageUsage;
use crate::request_body::RequestBody;
use crate::resources::{SharedBudgets, SharedResources};
use crate::writer::BodyWriter;
use sorrelhaven_config::BodySettings;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Stores the request bodies of one node within the configured limits. Single-threaded.
pub struct BodyStore {
    pub(crate) resources: Rc<SharedResources>,
    pub(crate) bodies: BodyRegistry,
    min_upload_bytes_per_second: Cell<u64>,
}

impl BodyStore {
    /// Creates an empty store. `budget_groups` is the number of pairs of class and tenant, each of which is
    /// guaranteed an equal part of the budgets. `disk` is the configured directory, if there is one. A body
    /// without a file permit is not stored; one without memory for its window is rejected.
    pub fn new(
        settings: &BodySettings,
        budget_groups: usize,
        disk: Option<Arc<dyn Disk>>,
        budgets: SharedBudgets,
    ) -> Rc<BodyStore> {
        Rc::new(BodyStore {
            resources: Rc::new(SharedResources::new(settings, budget_groups, disk, budgets)),
            bodies: BodyRegistry::default(),
            min_upload_bytes_per_second: Cell::new(settings.slowest_bytes_per_s),
        })
    }

    /// Applies changed settings. Stored bodies stay stored; where memory is short under a lowered limit,
    /// complete bodies are spilled to files if there is a disk.
    pub fn configure(&self, settings: &BodySettings, disk: Option<Arc<dyn Disk>>) {
        self.min_upload_bytes_per_second.set(settings.slowest_bytes_per_s);
        self.resources.configure(settings, disk);
    }

    /// Changes the memory that all bodies together may use, in bytes, until the settings are applied again.
    pub fn set_memory_limit(&self, max_memory_bytes: u64) {
        self.resources.set_memory_limit(max_memory_bytes);
    }

    /// The time by which the next byte of a body must arrive: `read_started_at`, when reading the request
    /// started, plus `grace`, plus the time that the received bytes take at the configured minimum upload
    /// rate.
    pub fn upload_deadline(&self, read_started_at: Instant, grace: Duration, received_bytes: u64) -> Instant {
        let bytes_per_second = self.min_upload_bytes_per_second.get().max(1);
        read_started_at + grace + Duration::from_secs_f64(received_bytes as f64 / bytes_per_second as f64)
    }

    /// The bytes that all bodies together hold in memory and in files.
    pub fn usage(&self) -> StorageUsage {
        self.resources.plan().usage()
    }

    /// Begins the upload of a body that counts against the budgets of `budget_group`. `declared_length` is
    /// the length in bytes that the client has declared, if any.
    ///
    /// # Errors
    /// The declared length exceeds the limit, or a body of that length can't be stored and the settings
    /// reject such bodies. The upload has then ended as the returned [`BodyEnd`] says; the [`RequestBody`] is
    /// the handle of the rejected body, for its request.
    pub fn begin_upload(
        &self,
        budget_group: usize,
        declared_length: Option<u64>,
    ) -> Result<BodyWriter, (BodyEnd, RequestBody)> {
        let now = self.resources.now();
        let registered = self.resources.plan().register(now, budget_group, declared_length);
        let shared = SharedBody::new(&self.resources, &self.bodies, registered.id, declared_length);
        let writer = BodyWriter::new(shared);
        match writer.apply_initial_decision(registered.decision) {
            Ok(()) => Ok(writer),
            Err(end) => Err((end, writer.body())),
        }
    }

    /// All metrics, as name and value, in the order in which they are printed.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        self.resources.counters.metrics(self.usage())
    }
}
