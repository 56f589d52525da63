//! Fault injection by preloading: chosen system calls fail with chosen errors, and the wall clock is stepped.
//!
//! The library is loaded into the program under test with `LD_PRELOAD` and configured from its environment:
//!
//! | variable | meaning |
//! | --- | --- |
//! | `FAULT_PLAN` | `call:error:one_in[:from_ms:to_ms]` items, separated by `;` (see [`plan`]) |
//! | `FAULT_SEED` | seed of the draws, a number; equal seeds and call sequences give equal faults |
//! | `FAULT_CLOCK` | `at_ms:step_ms` items, separated by `;`: steps of `CLOCK_REALTIME`, from the start of the process |
//! | `FAULT_COUNTS` | file to which `call errno count` lines are written when the process exits normally |
//!
//! This is the one crate with `unsafe` code: it stands between a program and the C library. It is never part of the
//! product.

mod calls;
mod plan;

use plan::{Fault, Plan};
use std::io::Write;
use std::sync::OnceLock;

/// The plan of this process, read from its environment at the first intercepted call.
fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| Plan::from_environment(|name| std::env::var(name).ok()))
}

/// The fault to inject into this call, if one is due.
fn due(call: &str) -> Option<Fault> {
    plan().draw(call)
}

/// Writes the counts of injected faults when the process exits.
extern "C" fn report() {
    let Ok(path) = std::env::var("FAULT_COUNTS") else { return };
    if let Ok(mut file) = std::fs::File::create(path) {
        for line in plan().counts() {
            let _ = writeln!(file, "{line}");
        }
    }
}

#[used]
#[unsafe(link_section = ".fini_array")]
static REPORT: extern "C" fn() = report;
