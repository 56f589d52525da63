//! The metrics of the store and their names.

use crate::body_end::BodyEnd;
use crate::decision::NotStoredReason;
use crate::plan::StorageUsage;
use std::cell::Cell;

/// A counter that is used by a single thread.
#[derive(Default)]
pub(crate) struct Counter(Cell<u64>);

impl Counter {
    pub(crate) fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Counts events since the store was created.
#[derive(Default)]
pub(crate) struct Counters {
    /// Ended uploads, in the order of [`BodyEnd::ALL`].
    ends: [Counter; BodyEnd::ALL.len()],
    /// Bodies of which nothing or only the first part was stored, in the order of [`NotStoredReason::ALL`].
    not_stored: [Counter; NotStoredReason::ALL.len()],
    pub(crate) files_created: Counter,
    /// Complete bodies that were moved from memory to a file because memory was short.
    pub(crate) bodies_spilled: Counter,
    /// Blocks whose checksum was wrong when they were read from a file.
    pub(crate) corrupt_blocks: Counter,
    /// Blocks for which a read from a file returned an error.
    pub(crate) unreadable_blocks: Counter,
}

impl Counters {
    pub(crate) fn record_end(&self, end: BodyEnd) {
        let index = BodyEnd::ALL.iter().position(|other| *other == end);
        self.ends[index.unwrap_or(0)].increment();
    }

    pub(crate) fn record_not_stored(&self, reason: NotStoredReason) {
        let index = NotStoredReason::ALL.iter().position(|other| *other == reason);
        self.not_stored[index.unwrap_or(0)].increment();
    }

    /// All metrics, as name and value, in the order in which they are printed.
    pub(crate) fn metrics(&self, usage: StorageUsage) -> Vec<(&'static str, u64)> {
        let ends = BodyEnd::ALL.iter().zip(&self.ends);
        let not_stored = NotStoredReason::ALL.iter().zip(&self.not_stored);
        let mut metrics: Vec<_> = ends.map(|(end, counter)| (end.metric_name(), counter.get())).collect();
        metrics.extend(not_stored.map(|(reason, counter)| (reason.metric_name(), counter.get())));
        metrics.extend([
            ("body_files", self.files_created.get()),
            ("bodies_spilled", self.bodies_spilled.get()),
            ("blocks_corrupt", self.corrupt_blocks.get()),
            ("blocks_unread", self.unreadable_blocks.get()),
            ("memory_bytes", usage.memory_bytes),
            ("file_bytes", usage.file_bytes),
        ]);
        metrics
    }
}
