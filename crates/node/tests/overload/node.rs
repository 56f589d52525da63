//! Starts a node with limits of memory and descriptors.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use sorrelhaven_test_support::{FakeWorkers, Program, ScratchDir, open_listener, workers_config};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::process::{Command, Stdio};

/// The unit in which the system counts the space of a file.
const BLOCK_BYTES: u64 = 512;
/// The unit of `limits.memory_mb`.
pub const BYTES_PER_MB: u64 = 1 << 20;
/// The number of fake workers.
const WORKERS: usize = 6;
/// Name of the platform's file in the scratch directory.
const CONFIG_FILE: &str = "node.json";
/// Name of the node's temporary directory in its scratch directory.
const TEMPORARY_DIRECTORY: &str = "tmp";

/// The limits in the platform's file.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: usize,
}

/// A node, its workers and its temporary directory.
pub struct Node {
    pub program: Program,
    pub workers: FakeWorkers,
    pub limits: Limits,
    /// The process of an upgrade that runs beside `program`.
    upgraded: Option<Program>,
    scratch: ScratchDir,
}

impl Node {
    /// Starts a node that knows [`WORKERS`] workers.
    pub fn start(limits: Limits, name: &str) -> Node {
        Node::start_with_entries(limits, WORKERS, name)
    }

    /// Starts a node whose worker list has this many entries. Several of them have the address of the same worker.
    pub fn start_with_entries(limits: Limits, entries: usize, name: &str) -> Node {
        let (workers, scratch) = prepare(limits, entries, name);
        let program = start_process(&scratch, Command::new(env!("CARGO_BIN_EXE_sorrelhaven")));
        Node { program, workers, limits, upgraded: None, scratch }
    }

    /// Starts two processes of a node, which accept clients from the same socket, and the address of that.
    pub fn start_upgrade(limits: Limits, name: &str) -> (Node, String) {
        let (workers, scratch) = prepare(limits, WORKERS, name);
        let (listener, address) = open_listener();
        let start = || {
            let mut command = Command::new("sh");
            command.args(["-c", "exec \"$0\" 5<&0 0</dev/null", env!("CARGO_BIN_EXE_sorrelhaven")]);
            let listener = listener.try_clone().expect("the listening socket can be duplicated");
            command.env("RELAY_FD", "5").stdin(Stdio::from(OwnedFd::from(listener)));
            start_process(&scratch, command)
        };
        let mut program = start();
        let upgraded = Some(start());
        program.wait_for_log_line("process count changed");
        (Node { program, workers, limits, upgraded, scratch }, address.to_string())
    }

    /// The most memory that the node has used, its temporary files included. The pages of the program that two
    /// processes share count once.
    pub fn peak_memory_bytes(&self) -> u64 {
        let unshared = |program: &Program| program.peak_memory_bytes() - program.file_memory_bytes();
        let upgraded = self.upgraded.as_ref().map_or(0, unshared);
        self.program.peak_memory_bytes() + upgraded + directory_bytes(&self.scratch.path(TEMPORARY_DIRECTORY))
    }

    /// The bytes of bodies that all processes of the node hold in memory now.
    pub fn body_memory_bytes(&mut self) -> u64 {
        let upgraded = self.upgraded.as_mut().map_or(0, |program| program.counter("memory_bytes"));
        self.program.counter("memory_bytes") + upgraded
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

/// Starts the workers, and writes the configuration of a node.
fn prepare(limits: Limits, entries: usize, name: &str) -> (FakeWorkers, ScratchDir) {
    raise_descriptor_limit();
    let workers = FakeWorkers::new(WORKERS);
    let scratch = ScratchDir::new(name);
    let addresses: Vec<SocketAddr> = workers.addresses.iter().copied().cycle().take(entries).collect();
    let config = workers_config(&addresses).replace(
        r#""sockets":1024,"memory_mb":192"#,
        &format!(r#""sockets":{},"memory_mb":{}"#, limits.sockets, limits.memory_mb),
    );
    scratch.write(CONFIG_FILE, &config);
    std::fs::create_dir(scratch.path(TEMPORARY_DIRECTORY)).expect("the directory can be created");
    (workers, scratch)
}

fn start_process(scratch: &ScratchDir, mut command: Command) -> Program {
    command.env("TMPDIR", scratch.path(TEMPORARY_DIRECTORY)).env("RELAY_OPS", "127.0.0.1:0");
    Program::start(command, &scratch.path(CONFIG_FILE), None)
}

fn directory_bytes(directory: &Path) -> u64 {
    let entries = std::fs::read_dir(directory).into_iter().flatten().flatten();
    entries.filter_map(|entry| entry.metadata().ok()).map(|metadata| metadata.blocks() * BLOCK_BYTES).sum()
}

/// Lets this process open as many descriptors as its hard limit allows: a crowd needs more than the usual soft
/// limit.
fn raise_descriptor_limit() {
    let Rlimit { maximum, .. } = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: maximum, maximum });
}
