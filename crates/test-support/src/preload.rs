//! The fault shim (`crates/fault-shim`) as tests preload it into the program.

use crate::program::ScratchDir;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;

/// What a program under the shim meets.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// `call:error:one_in[:from_ms:to_ms]` items, separated by `;`.
    pub calls: String,
    /// `at_ms:step_ms` items, separated by `;`: steps of the wall clock.
    pub clock: String,
    /// The seed of the draws.
    pub seed: u64,
}

/// The shared library, which Cargo builds beside the tests.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("this test");
    let library = test.parent().expect("its directory").join("libsorrelhaven_fault_shim.so");
    assert!(library.exists(), "{} is missing: cargo build -p sorrelhaven-fault-shim", library.display());
    library
}

impl FaultPlan {
    /// A plan of failing calls.
    pub fn failing_calls(calls: &str) -> FaultPlan {
        FaultPlan { calls: calls.to_string(), seed: 1, ..FaultPlan::default() }
    }

    /// A wall clock that is off by so many milliseconds from the start.
    pub fn with_clock_offset(step_ms: i64) -> FaultPlan {
        FaultPlan { clock: format!("0:{step_ms}"), ..FaultPlan::default() }
    }

    /// Preloads the shim into what `command` starts; the counts go to a file in `scratch`.
    pub fn preload(&self, command: &mut Command, scratch: &ScratchDir) {
        command.env("LD_PRELOAD", library()).env("FAULT_COUNTS", scratch.at("faults"));
        command.env("FAULT_PLAN", &self.calls).env("FAULT_CLOCK", &self.clock);
        command.env("FAULT_SEED", self.seed.to_string());
    }
}

/// How often each fault was injected into a program that has ended, by call and error.
pub fn injected_faults(scratch: &ScratchDir) -> BTreeMap<String, u64> {
    let text = std::fs::read_to_string(scratch.at("faults")).expect("the program has ended");
    let line = |line: &str| {
        let (name, count) = line.rsplit_once(' ').expect("a count");
        (name.to_string(), count.parse().expect("a count"))
    };
    text.lines().map(line).collect()
}
