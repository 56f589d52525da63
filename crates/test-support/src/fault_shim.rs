//! Preloads the fault shim (`crates/fault-shim`) into a program under test.

use crate::scratch_dir::ScratchDir;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;

/// Name of the file in the scratch directory to which the shim writes its counts.
const COUNTS_FILE: &str = "faults";

/// The faults that the shim injects into a program, in the terms of its environment variables.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// `FAULT_PLAN`, the failing system calls: `call:error:one_in[:from_ms:to_ms]` items, separated by `;`.
    pub calls: String,
    /// `FAULT_CLOCK`, the steps of the wall clock: `at_ms:step_ms` items, separated by `;`.
    pub clock: String,
    /// `FAULT_SEED`, the seed that determines which calls fail.
    pub seed: u64,
}

/// The path of the shim, which Cargo builds into the directory of the test binaries.
fn library_path() -> PathBuf {
    let test = std::env::current_exe().expect("the path of this test is known");
    let library = test.parent().expect("the test is in a directory").join("libsorrelhaven_fault_shim.so");
    assert!(library.exists(), "{} is missing: cargo build -p sorrelhaven-fault-shim", library.display());
    library
}

impl FaultPlan {
    /// A plan in which these system calls fail, drawn with seed 1.
    pub fn failing_calls(calls: &str) -> FaultPlan {
        FaultPlan { calls: calls.to_string(), seed: 1, ..FaultPlan::default() }
    }

    /// A plan in which the wall clock is off by `step_ms` milliseconds from the start of the process.
    pub fn with_clock_offset(step_ms: i64) -> FaultPlan {
        FaultPlan { clock: format!("0:{step_ms}"), ..FaultPlan::default() }
    }

    /// Preloads the shim into the program that `command` starts. The shim writes its counts to a file in
    /// `scratch`.
    ///
    /// # Panics
    /// If the shim has not been built.
    pub fn preload(&self, command: &mut Command, scratch: &ScratchDir) {
        command.env("LD_PRELOAD", library_path()).env("FAULT_COUNTS", scratch.path(COUNTS_FILE));
        command.env("FAULT_PLAN", &self.calls).env("FAULT_CLOCK", &self.clock);
        command.env("FAULT_SEED", self.seed.to_string());
    }
}

/// How often each fault was injected into a program that has ended. The key is `call error`, as in the counts
/// file.
///
/// # Panics
/// If the program has written no counts, because it was killed or has not ended.
pub fn injected_faults(scratch: &ScratchDir) -> BTreeMap<String, u64> {
    let text =
        std::fs::read_to_string(scratch.path(COUNTS_FILE)).expect("the program has written its counts");
    let parse_line = |line: &str| {
        let (fault, count) = line.rsplit_once(' ').expect("a fault and its count");
        (fault.to_string(), count.parse().expect("a count"))
    };
    text.lines().map(parse_line).collect()
}
