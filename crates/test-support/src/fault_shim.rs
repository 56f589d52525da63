//! Preloads the fault shim (`crates/fault-shim`) into a program under test.

use crate::scratch_dir::ScratchDir;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;

/// The file, in the scratch directory, to which the shim writes its counts.
const COUNTS_FILE: &str = "faults";

/// The faults that the shim injects into a program.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Failing system calls: `call:error:one_in[:from_ms:to_ms]` items, separated by `;`.
    pub calls: String,
    /// Steps of the wall clock: `at_ms:step_ms` items, separated by `;`.
    pub clock: String,
    /// The seed of the draws.
    pub seed: u64,
}

/// The shared library, which Cargo builds beside the tests.
fn library_path() -> PathBuf {
    let test = std::env::current_exe().expect("the path of this test is known");
    let library = test.parent().expect("the test is in a directory").join("libsorrelhaven_fault_shim.so");
    assert!(library.exists(), "{} is missing: cargo build -p sorrelhaven-fault-shim", library.display());
    library
}

impl FaultPlan {
    /// A plan of failing system calls.
    pub fn failing_calls(calls: &str) -> FaultPlan {
        FaultPlan { calls: calls.to_string(), seed: 1, ..FaultPlan::default() }
    }

    /// A wall clock that is off by `step_ms` milliseconds from the start.
    pub fn with_clock_offset(step_ms: i64) -> FaultPlan {
        FaultPlan { clock: format!("0:{step_ms}"), ..FaultPlan::default() }
    }

    /// Preloads the shim into the program that `command` starts; its counts go to a file in `scratch`.
    ///
    /// # Panics
    /// If the shim's library has not been built.
    pub fn preload(&self, command: &mut Command, scratch: &ScratchDir) {
        command.env("LD_PRELOAD", library_path()).env("FAULT_COUNTS", scratch.path(COUNTS_FILE));
        command.env("FAULT_PLAN", &self.calls).env("FAULT_CLOCK", &self.clock);
        command.env("FAULT_SEED", self.seed.to_string());
    }
}

/// How often each fault was injected into a program that has ended, by `call:error`.
///
/// # Panics
/// If the program has left no counts, as when it was killed.
pub fn injected_faults(scratch: &ScratchDir) -> BTreeMap<String, u64> {
    let text =
        std::fs::read_to_string(scratch.path(COUNTS_FILE)).expect("the program has written its counts");
    let parse_line = |line: &str| {
        let (fault, count) = line.rsplit_once(' ').expect("a fault and its count");
        (fault.to_string(), count.parse().expect("a count"))
    };
    text.lines().map(parse_line).collect()
}
