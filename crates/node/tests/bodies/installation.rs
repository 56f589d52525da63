//! The workers, the spool directory and the configuration files of a node under test.

use sorrelhaven_test_support::{FakeWorkers, Program, ScratchDir, checksum, workers_config};
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub const KIB: usize = 1024;
pub const MIB: usize = 1024 * KIB;
/// A time limit on a socket may be exceeded by this much, since all tests together may have only one core.
pub const SOCKET_TIMEOUT_SLACK: Duration = Duration::from_millis(50);

/// The limits on stored bodies in the operators' file, in bytes.
#[derive(Clone, Copy)]
pub struct BodyLimits {
    /// One body in memory.
    pub memory_each: usize,
    /// All bodies in memory.
    pub memory_total: usize,
    /// One body in a file.
    pub file_each: usize,
    /// All bodies in files.
    pub file_total: usize,
}

impl BodyLimits {
    pub const DEFAULT: BodyLimits = BodyLimits {
        memory_each: 16 * KIB,
        memory_total: 8 * MIB,
        file_each: 256 * KIB,
        file_total: 64 * MIB,
    };
}

/// The workers and the directory of a node under test, which holds its configuration files and `spool`.
pub struct Installation {
    pub scratch: ScratchDir,
    pub workers: FakeWorkers,
}

impl Installation {
    pub fn new(name: &str, worker_count: usize) -> Installation {
        let installation =
            Installation { scratch: ScratchDir::new(name), workers: FakeWorkers::new(worker_count) };
        std::fs::create_dir(installation.scratch.path("spool")).expect("the directory can be created");
        installation.scratch.write("node.json", &workers_config(&installation.workers.addresses));
        installation
    }

    /// Writes the operators' file. `largest` is the length of the longest body that is accepted, in bytes;
    /// `not_stored` is the policy for bodies that can't be stored, `stream` or `refuse`.
    pub fn write_operator_file(&self, limits: BodyLimits, largest: usize, not_stored: &str) {
        let BodyLimits { memory_each, memory_total, file_each, file_total } = limits;
        let spool = self.scratch.path("spool").display().to_string();
        self.scratch.write(
            "operator.json",
            &format!(
                r#"{{"bodies":{{"largest_bytes":{largest},"unkept":"{not_stored}",
                    "memory":{{"each_bytes":{memory_each},"total_bytes":{memory_total}}},
                    "files":{{"directory":"{spool}","each_bytes":{file_each},"total_bytes":{file_total},
                        "leave_free_bytes":0}}}}}}"#
            ),
        );
    }

    pub fn start(&self) -> Program {
        self.start_with(Command::new(env!("CARGO_BIN_EXE_sorrelhaven")))
    }

    /// Starts the node with `command`, which has to run the program.
    pub fn start_with(&self, command: Command) -> Program {
        Program::start(command, &self.scratch.path("node.json"), Some(&self.scratch.path("operator.json")))
    }
}

/// Waits until no other of these tests runs, and keeps others waiting until the guard is dropped. The tests
/// measure times, which the load of another test would change.
pub fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The result that a fake worker returns for this body: its length and checksum.
pub fn job_result(body: &[u8]) -> String {
    format!("{} {:x}", body.len(), checksum(body))
}
