//! Runs processes of the program under randomly drawn faults that overlap. `crates/soak` describes which
//! faults are drawn and which rules are checked.
//!
//! `SORRELHAVEN_SOAK=from..to` runs these seeds at the large size. Without it four fixed seeds run at the
//! small size.

use sorrelhaven_soak::{Plan, Size, run};
use std::path::Path;

const FIXED_SEEDS: [u64; 4] = [11, 12, 13, 14];

#[test]
fn overlapping_faults_violate_no_rule() {
    let requested_seeds = std::env::var("SORRELHAVEN_SOAK").ok();
    let (seeds, size): (Vec<u64>, Size) = match &requested_seeds {
        None => (FIXED_SEEDS.to_vec(), Size::SHORT),
        Some(text) => {
            let (from, to) = text.split_once("..").expect("SORRELHAVEN_SOAK has the form from..to");
            (
                (from.parse().expect("a seed is a number")..to.parse().expect("a seed is a number"))
                    .collect(),
                Size::LONG,
            )
        }
    };
    let mut failed = Vec::new();
    for seed in seeds {
        let plan = Plan::draw(seed, size);
        let verdict = run(Path::new(env!("CARGO_BIN_EXE_sorrelhaven")), &plan);
        let violations = verdict.violations.len();
        println!(
            "seed {seed}: {} sent, {} served, {} processes, {} faults injected, {violations} rules violated",
            verdict.requested, verdict.served, verdict.processes, verdict.injected_faults
        );
        assert!(
            verdict.served * 4 > verdict.requested,
            "a quarter of the requests or less was served: the checks prove too little"
        );
        if violations > 0 {
            println!("{plan}{}", verdict.violations.join("\n"));
            failed.push(seed);
        }
    }
    assert_eq!(
        failed, [0; 0],
        "rules were violated; replay a seed with SORRELHAVEN_SOAK=SEED..SEED+1, or the fixed ones without it"
    );
}
