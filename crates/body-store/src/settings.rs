//! Converts the operators' settings to the limits of the plan.

use crate::plan::{FileLimits, StorageLimits};
use sorrelhaven_config::BodySettings;

/// Without a disk, the result has no limits for files, and the plan uses memory only.
pub(crate) fn limits(settings: &BodySettings, has_disk: bool) -> StorageLimits {
    let BodySettings { largest_bytes, memory, files, .. } = settings;
    let file_limits = FileLimits {
        max_bytes_per_body: files.each_bytes,
        max_bytes: files.total_bytes,
        min_free_bytes: files.leave_free_bytes,
    };
    StorageLimits {
        max_body_bytes: *largest_bytes,
        max_memory_bytes_per_body: memory.each_bytes,
        max_memory_bytes: memory.total_bytes,
        files: has_disk.then_some(file_limits),
    }
}
