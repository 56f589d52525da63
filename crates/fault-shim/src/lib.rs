//! Fault injection with `LD_PRELOAD`: configured system calls fail with configured errors, and the wall clock
//! is stepped.
//!
//! The library is loaded into the program under test and configured by its environment variables:
//!
//! | variable | meaning |
//! | --- | --- |
//! | `FAULT_PLAN` | `call:error:one_in[:from_ms:to_ms]` items, separated by `;` (see `plan.rs`) |
//! | `FAULT_SEED` | seed of the draws, a number; equal seeds and call sequences give equal faults |
//! | `FAULT_CLOCK` | `at_ms:step_ms` items, separated by `;`: steps of `CLOCK_REALTIME`, from the start of the process |
//! | `FAULT_COUNTS` | file to which `call errno count` lines are written when the process exits normally |
//!
//! This is the only crate with `unsafe` code, because it replaces functions of the C library. It is never
//! part of the product.

mod calls;
mod plan;

use plan::{Fault, Plan};
use std::io::Write;
use std::sync::OnceLock;

/// The plan of this process, parsed from its environment at the first intercepted call.
fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| Plan::from_environment(|name| std::env::var(name).ok()))
}

/// The fault to inject into the next call with this name in plans, if any.
fn draw_fault(call: &str) -> Option<Fault> {
    plan().draw(call)
}

/// Writes the counts of injected faults. The dynamic linker calls this when the process exits normally.
extern "C" fn write_counts() {
    let Ok(path) = std::env::var("FAULT_COUNTS") else { return };
    if let Ok(mut file) = std::fs::File::create(path) {
        for line in plan().counts() {
            let _ = writeln!(file, "{line}");
        }
    }
}

#[used]
#[unsafe(link_section = ".fini_array")]
static WRITE_COUNTS_AT_EXIT: extern "C" fn() = write_counts;
