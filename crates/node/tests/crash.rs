//! A node that is killed at random times while it stores bodies in files. The next start must find no file
//! that looks complete, and no at-most-once request may run twice.
//!
//! `SORRELHAVEN_KILLS` sets the number of kills (12 by default). Their times come from a fixed seed.

use sorrelhaven_test_support::{
    AT_MOST_ONCE_CLASS, DeliveryChecker, FakeWorkers, Program, RequestTotals, ScratchDir, TestRequest,
    workers_config,
};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const DEFAULT_KILLS: u64 = 12;
const CLIENT_COUNT: u64 = 8;
const SEED: u64 = 0x2545_f491_4f6c_dd1d;
/// A body file of another node, named `n01`, which a start of node `n0` must not delete.
const OTHER_NODES_FILE: &str = "sorrelhaven-body.n01.1.0.part";
/// A body file of this node, as a kill leaves it between the file's creation and its unlink.
const OWN_LEFTOVER: &str = "sorrelhaven-body.n0.1.7.part";

/// A body of one of four sizes, so that bodies are stored in memory, stored in files and not stored at all.
fn body(seed: u64) -> Vec<u8> {
    let length = [2_000, 90_000, 300_000, 900_000][seed as usize % 4] + seed as usize % 977;
    (0..length as u64).map(|index| (index.wrapping_mul(seed | 1) >> 7) as u8).collect()
}

/// The time from each start of the node to its kill, 2 ms to 122 ms, by an xorshift generator.
struct KillTimes {
    state: u64,
}

impl KillTimes {
    fn next(&mut self) -> Duration {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        Duration::from_micros(2_000 + self.state % 120_000)
    }
}

/// The state that clients share across all starts of the node.
#[derive(Default)]
struct Clients {
    next_number: AtomicU64,
    checker: DeliveryChecker,
}

impl Clients {
    /// Starts [`CLIENT_COUNT`] threads, each of which sends requests until `stop` is set or a request fails.
    fn spawn(self: &Arc<Clients>, address: &str, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
        let spawn_client = |_| {
            let (clients, address, stop) = (self.clone(), address.to_string(), stop.clone());
            thread::spawn(move || clients.run(&address, &stop))
        };
        (0..CLIENT_COUNT).map(spawn_client).collect()
    }

    fn run(&self, address: &str, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let request = TestRequest::new(&format!("pay-{number}"), AT_MOST_ONCE_CLASS, body(number));
            self.checker.record_request(&request);
            match request.send(address) {
                Ok(response) => self.checker.record_response(&request.id, response.status),
                Err(_) => return,
            }
        }
    }
}

/// Writes the operators' file, with limits on bodies that make the node use memory, files and neither.
fn write_operator_file(scratch: &ScratchDir) -> PathBuf {
    let spool = scratch.path("spool").display().to_string();
    scratch.write(
        "operator.json",
        &format!(
            r#"{{"bodies":{{"largest_bytes":1048576,"memory":{{"each_bytes":16384,"total_bytes":1048576}},
                "files":{{"directory":"{spool}","each_bytes":524288,"leave_free_bytes":0}}}}}}"#
        ),
    )
}

#[test]
fn a_killed_node_leaves_no_complete_file_and_runs_no_request_twice() {
    let kills = std::env::var("SORRELHAVEN_KILLS").ok().and_then(|count| count.parse().ok());
    let kills = kills.unwrap_or(DEFAULT_KILLS);
    let scratch = ScratchDir::new("crash");
    let workers = FakeWorkers::new(4);
    std::fs::create_dir(scratch.path("spool")).expect("the directory can be created");
    let config = scratch.write("node.json", &workers_config(&workers.addresses));
    let operator = write_operator_file(&scratch);
    scratch.write(&format!("spool/{OTHER_NODES_FILE}"), "another's");
    let clients = Arc::<Clients>::default();
    let mut kill_times = KillTimes { state: SEED };
    let mut files_left = 0;
    let mut files_removed = 0;
    for _ in 0..kills {
        let command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        let mut node = Program::start(command, &config, Some(&operator));
        let files = scratch.file_names("spool");
        assert_eq!(
            files,
            [OTHER_NODES_FILE],
            "the start left a file of this node, or removed one of another node"
        );
        files_removed += node.leftover_files_deleted();
        let stop = Arc::new(AtomicBool::new(false));
        let running = clients.spawn(&node.address, &stop);
        thread::sleep(kill_times.next());
        node.child.kill().expect("the program runs");
        node.child.wait().expect("the program has ended");
        stop.store(true, Ordering::Relaxed);
        running.into_iter().for_each(|client| client.join().expect("the client thread does not panic"));
        files_left += scratch.file_names("spool").len() - 1;
        scratch.write(&format!("spool/{OWN_LEFTOVER}"), "half a bo");
    }
    let runs = workers.executed_requests();
    assert_eq!(clients.checker.violations(&runs), [""; 0]);
    let RequestTotals { requested, served } = clients.checker.totals();
    assert!(served as u64 > kills && runs.len() >= served);
    println!(
        "{kills} kills: {requested} requests sent, {} run, {served} served, none twice; \
         {files_left} files left by kills, {files_removed} removed",
        runs.len()
    );
}
