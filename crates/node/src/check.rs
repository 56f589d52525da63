//! `sorrelhaven check`: both files read, and what holds said on one line.

use sorrelhaven_config::{BodySettings, Config, NotStoredPolicy};
use std::fmt::Write;

/// A line for people of what a node with this configuration would do.
pub fn summary(config: &Config) -> String {
    let BodySettings { largest_bytes, memory, files, not_stored, .. } = &config.operator.bodies;
    let mut line = format!(
        "{} listens on {}; {} classes, {} tenants, {} boxes known; bodies of at most {}",
        config.name,
        config.listen,
        config.classes.len(),
        config.tenants.len(),
        config.known.hosts.len(),
        size(*largest_bytes),
    );
    let _ = write!(line, ", in memory {} each, {} in all", size(memory.each_bytes), size(memory.total_bytes));
    let _ = match &files.directory {
        Some(directory) => write!(
            line,
            ", in files under {} {} each, {} in all",
            directory.display(),
            size(files.each_bytes),
            size(files.total_bytes)
        ),
        None => write!(line, ", in no files"),
    };
    line += match not_stored {
        NotStoredPolicy::Stream => ", else passed through",
        NotStoredPolicy::Reject => ", else refused",
    };
    line
}

/// A size in the largest unit that leaves it whole.
fn size(bytes: u64) -> String {
    let units = [(30, "GiB"), (20, "MiB"), (10, "KiB")];
    match units.iter().find(|(shift, _)| bytes > 0 && bytes.is_multiple_of(1 << shift)) {
        Some((shift, unit)) => format!("{} {unit}", bytes >> shift),
        None => format!("{bytes} bytes"),
    }
}
