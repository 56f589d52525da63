//! The operators' settings as the plan takes them.

use crate::plan::{FileLimits, Limits};
use sorrelhaven_config::BodySettings;

/// The limits that these settings make; `disk` tells whether there is a directory in use.
pub fn limits(settings: &BodySettings, disk: bool) -> Limits {
    let BodySettings { largest_bytes, memory, files, .. } = settings;
    Limits {
        largest: *largest_bytes,
        memory_each: memory.each_bytes,
        memory_total: memory.total_bytes,
        files: disk.then_some(FileLimits {
            each: files.each_bytes,
            total: files.total_bytes,
            leave_free: files.leave_free_bytes,
        }),
    }
}
