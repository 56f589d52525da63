//! `sorrelhaven check`: reads the platform's and the operators' file and prints their errors, or a summary of
//! the configuration.

use crate::body_directory;
use crate::environment::Environment;
use sorrelhaven_config::{BodySettings, Config, NotStoredPolicy};
use std::fmt::Write;
use std::process::ExitCode;

/// The exit status of `check` with any error, and of `run` with a malformed `--log`. It is also that of
/// `clap` for a command line that it rejects.
pub const EXIT_INVALID: u8 = 2;

/// Units of sizes, the largest first: the base-2 logarithm of the unit's bytes, and the unit's name.
const SIZE_UNITS: [(u32, &str); 3] = [(30, "GiB"), (20, "MiB"), (10, "KiB")];

/// Loads the configuration, opens the directory for bodies, and prints the errors or a summary to standard
/// output. The exit status is 0, or [`EXIT_INVALID`] with any error.
pub fn check(environment: &Environment) -> ExitCode {
    let config = match Config::load(|name| environment.get(name)) {
        Ok(config) => config,
        Err(faults) => {
            faults.iter().for_each(|fault| println!("{fault}"));
            return ExitCode::from(EXIT_INVALID);
        }
    };
    if let Err(error) = body_directory::open(&config) {
        println!("{error}");
        return ExitCode::from(EXIT_INVALID);
    }
    println!("{}", summary(&config));
    ExitCode::SUCCESS
}

/// One line with the address, the numbers of classes, tenants and known workers, and the limits on bodies.
fn summary(config: &Config) -> String {
    let BodySettings { largest_bytes, memory, files, not_stored, .. } = &config.operator.bodies;
    let mut line = format!(
        "{} listens on {}; {} classes, {} tenants, {} workers known; bodies of at most {}",
        config.name,
        config.listen,
        config.classes.len(),
        config.tenants.len(),
        config.known_workers.workers.len(),
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

/// Formats a size in the largest unit of which it is a whole multiple, or else in bytes.
fn size(bytes: u64) -> String {
    let is_multiple = |shift: u32| bytes > 0 && bytes.is_multiple_of(1 << shift);
    match SIZE_UNITS.iter().find(|(shift, _)| is_multiple(*shift)) {
        Some((shift, unit)) => format!("{} {unit}", bytes >> shift),
        None => format!("{bytes} bytes"),
    }
}
