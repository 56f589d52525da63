//! Starts a node with limits of memory and descriptors.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use sorrelhaven_test_support::{FakeWorkers, Program, ScratchDir, workers_config};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

/// The unit of `limits.memory_mb`.
pub const BYTES_PER_MB: u64 = 1 << 20;
/// The number of fake workers.
const WORKERS: usize = 6;
/// Name of the node's temporary directory in its scratch directory.
const TEMPORARY_DIRECTORY: &str = "tmp";

/// The limits in the platform's file.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: usize,
}

/// A running node, its workers and its temporary directory.
pub struct Node {
    pub program: Program,
    pub workers: FakeWorkers,
    pub limits: Limits,
    scratch: ScratchDir,
}

impl Node {
    /// Starts a node that knows [`WORKERS`] workers.
    pub fn start(limits: Limits, name: &str) -> Node {
        Node::start_with_entries(limits, WORKERS, name)
    }

    /// Starts a node whose worker list has this many entries. Several of them have the address of the same worker.
    pub fn start_with_entries(limits: Limits, entries: usize, name: &str) -> Node {
        raise_descriptor_limit();
        let workers = FakeWorkers::new(WORKERS);
        let scratch = ScratchDir::new(name);
        let addresses: Vec<SocketAddr> = workers.addresses.iter().copied().cycle().take(entries).collect();
        let config = workers_config(&addresses).replace(
            r#""sockets":1024,"memory_mb":192"#,
            &format!(r#""sockets":{},"memory_mb":{}"#, limits.sockets, limits.memory_mb),
        );
        let temporary = scratch.path(TEMPORARY_DIRECTORY);
        std::fs::create_dir(&temporary).expect("the directory can be created");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        command.env("TMPDIR", &temporary).env("RELAY_OPS", "127.0.0.1:0");
        let program = Program::start(command, &scratch.write("node.json", &config), None);
        Node { program, workers, limits, scratch }
    }

    /// The most memory that the node has used, its temporary files included.
    pub fn peak_memory_bytes(&self) -> u64 {
        self.program.peak_memory_bytes() + directory_bytes(&self.scratch.path(TEMPORARY_DIRECTORY))
    }

    /// What is wrong with the process: it has ended, or used more memory than its limit.
    pub fn faults(&mut self, after: &str) -> Vec<String> {
        if let Some(status) = self.program.child.try_wait().expect("the process can be observed") {
            return vec![format!("the process ended by itself with {status}: {after}")];
        }
        let peak = self.peak_memory_bytes() as f64 / BYTES_PER_MB as f64;
        println!("{:?}: peak {peak:.1} MB after {after}", self.limits);
        let limit = self.limits.memory_mb as f64;
        let is_over = peak > limit;
        is_over
            .then(|| format!("{peak:.1} MB of memory were used, over {limit} MB: {after}"))
            .into_iter()
            .collect()
    }
}

fn directory_bytes(directory: &Path) -> u64 {
    let entries = std::fs::read_dir(directory).into_iter().flatten().flatten();
    entries.filter_map(|entry| entry.metadata().ok()).map(|metadata| metadata.len()).sum()
}

/// Lets this process open as many descriptors as its hard limit allows: a crowd needs more than the usual soft
/// limit.
fn raise_descriptor_limit() {
    let Rlimit { maximum, .. } = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: maximum, maximum });
}
