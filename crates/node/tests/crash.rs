//! The node killed with bodies half written, at random points: the next start finds nothing that looks whole, and no
//! payment runs twice.
//!
//! `SORRELHAVEN_KILLS` sets how often it is killed (12 where it is not set); the points come from a fixed seed.

use sorrelhaven_test_support::{
    AT_MOST_ONCE_CLASS, Checker, FakeWorkers, Program, ScratchDir, TestRequest, workers_config,
};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const KILLS: u64 = 12;
const CLIENTS: u64 = 8;

fn body(seed: u64) -> Vec<u8> {
    let length = [2_000, 90_000, 300_000, 900_000][seed as usize % 4] + seed as usize % 977;
    (0..length as u64).map(|i| (i.wrapping_mul(seed | 1) >> 7) as u8).collect()
}

#[test]
fn a_killed_node_leaves_nothing_that_looks_whole_and_runs_nothing_twice() {
    let kills = std::env::var("SORRELHAVEN_KILLS").ok().and_then(|k| k.parse().ok()).unwrap_or(KILLS);
    let scratch = ScratchDir::new("crash");
    let boxes = FakeWorkers::new(4);
    std::fs::create_dir(scratch.at("spool")).expect("a directory");
    let config = scratch.write("node.json", &workers_config(&boxes.addresses));
    let operator = scratch.write(
        "operator.json",
        &format!(
            r#"{{"bodies":{{"largest_bytes":1048576,"memory":{{"each_bytes":16384,"total_bytes":1048576}},
                "files":{{"directory":"{}","each_bytes":524288,"leave_free_bytes":0}}}}}}"#,
            scratch.at("spool").display()
        ),
    );
    // Another node's, which must live through all of it.
    scratch.write("spool/sorrelhaven-body.n01.1.0.part", "another's");
    let next = Arc::new(AtomicU64::new(0));
    let checker = Arc::<Checker>::default();
    let (mut random, mut left, mut swept) = (0x2545_f491_4f6c_dd1d_u64, 0, 0);
    for _ in 0..kills {
        let mut node =
            Program::start(Command::new(env!("CARGO_BIN_EXE_sorrelhaven")), &config, Some(&operator));
        assert_eq!(
            scratch.names("spool"),
            ["sorrelhaven-body.n01.1.0.part"],
            "a start sweeps its own and no other"
        );
        swept += node.swept();
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (address, next, checker, stop) =
                    (node.address.clone(), next.clone(), checker.clone(), stop.clone());
                thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        let n = next.fetch_add(1, Ordering::Relaxed);
                        let ask = TestRequest::new(&format!("pay-{n}"), AT_MOST_ONCE_CLASS, body(n));
                        checker.asked(&ask);
                        match ask.send(&address) {
                            Ok(reply) => checker.answered(&ask.id, reply.status),
                            Err(_) => return,
                        }
                    }
                })
            })
            .collect();
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        thread::sleep(Duration::from_micros(2_000 + random % 120_000));
        node.child.kill().expect("it runs");
        node.child.wait().expect("it has ended");
        stop.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|c| c.join().expect("a client"));
        left += scratch.names("spool").len() - 1;
        // A file that was made and not yet unlinked, half written: what a kill between the two steps leaves.
        scratch.write("spool/sorrelhaven-body.n0.1.7.part", "half a bo");
    }
    let runs = boxes.runs();
    assert_eq!(checker.faults(&runs), [""; 0]);
    let (sent, served) = checker.counts();
    assert!(served as u64 > kills && runs.len() >= served);
    println!(
        "{kills} kills: {sent} payments sent, {} run, {} served, none twice; {left} names left by kills, {swept} swept",
        runs.len(),
        served
    );
}
