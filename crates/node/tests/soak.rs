//! Real processes under faults that overlap; `crates/soak` says what is drawn and how it is judged.
//!
//! `SORRELHAVEN_SOAK=from..to` plays these seeds at the large size; without it two fixed seeds run at the small one.

use sorrelhaven_soak::{Plan, Size, run};
use std::path::Path;

const FIXED: [u64; 2] = [11, 12];

#[test]
fn overlapping_faults_break_no_promise() {
    let asked = std::env::var("SORRELHAVEN_SOAK").ok();
    let (seeds, size): (Vec<u64>, Size) = match &asked {
        None => (FIXED.to_vec(), Size::SHORT),
        Some(text) => {
            let (from, to) = text.split_once("..").expect("from..to");
            ((from.parse().expect("a seed")..to.parse().expect("a seed")).collect(), Size::LONG)
        }
    };
    let mut broken = Vec::new();
    for seed in seeds {
        let plan = Plan::draw(seed, size);
        let verdict = run(Path::new(env!("CARGO_BIN_EXE_sorrelhaven")), &plan);
        let faults = verdict.faults.len();
        println!(
            "seed {seed}: {} asked, {} served, {} processes, {} faults injected_faults, {faults} rules broken",
            verdict.asked, verdict.served, verdict.processes, verdict.injected_faults
        );
        assert!(verdict.served * 4 > verdict.asked, "too little is served to prove anything");
        if faults > 0 {
            println!("{plan}{}", verdict.faults.join("\n"));
            broken.push(seed);
        }
    }
    assert_eq!(broken, [0; 0], "play one again: SORRELHAVEN_SOAK=SEED..SEED+1, or as here without it");
}
