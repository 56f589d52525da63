//! The node processes of a soak, and the injection of faults.

use crate::crowd;
use crate::discovery::Discovery;
use crate::node_history::{EARLIEST_KILL, EndCause, NodeHistory};
use crate::plan::{Fault, Plan, Size};
use crate::proxy::Proxy;
use crate::verdict::Verdict;
use sorrelhaven_test_support::{FakeWorkers, FaultPlan, Program, ScratchDir, WorkerBehavior, workers_config};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Descriptor limit of each node, the lowest that it accepts. Each of the thousands of list entries may have
/// a connection, so that nodes run short of descriptors.
const DESCRIPTOR_LIMIT: usize = 256;
/// Memory limit of each node in megabytes.
const MEMORY_MB: u64 = 64;
/// How often a node is reloaded in a series.
const RELOADS_IN_A_ROW: usize = 5;
/// The time that a worker takes to run a job.
const JOB_MILLIS: u64 = 5;
/// Prefix of the files in the scratch directory to which the fault shim writes its counts, one file per
/// process.
const FAULT_COUNTS_PREFIX: &str = "faults-";

/// The workers, the proxies in front of them, and discovery. They outlive the nodes.
pub(crate) struct Environment {
    pub(crate) workers: FakeWorkers,
    proxies: Vec<Proxy>,
    discovery: Discovery,
}

impl Environment {
    pub(crate) fn start(size: Size) -> Environment {
        let workers = FakeWorkers::new(size.workers);
        workers.set_default_behavior(WorkerBehavior::DoneAfterMillis(JOB_MILLIS));
        let proxies: Vec<Proxy> = workers.addresses.iter().map(|address| Proxy::new(*address)).collect();
        let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.address).collect();
        let discovery = Discovery::new(&addresses, size.list_entries);
        Environment { workers, proxies, discovery }
    }

    /// The configuration of node `number` in a fleet of `node_count`.
    fn node_config(&self, number: usize, node_count: usize) -> String {
        let addresses: Vec<SocketAddr> = self.proxies.iter().map(|proxy| proxy.address).collect();
        workers_config(&addresses)
            .replace("127.0.0.1:1\"", &format!("{}\"", self.discovery.address))
            .replace("\"balancers\":1", &format!("\"balancers\":{node_count},\"me\":{number}"))
            .replace("\"sockets\":1024", &format!("\"sockets\":{DESCRIPTOR_LIMIT}"))
            .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
            .replace("\"seed\":\"1f\"", &format!("\"seed\":\"{number:x}f\""))
    }
}

/// One node of the fleet.
struct Node {
    history: Arc<NodeHistory>,
    /// The running process; `None` before the first start and after the end of the soak.
    program: Option<Program>,
    config: String,
}

/// All nodes of a running soak.
pub(crate) struct Fleet<'a> {
    program: &'a Path,
    plan: &'a Plan,
    scratch: ScratchDir,
    nodes: Vec<Node>,
    verdict: Arc<Mutex<Verdict>>,
    /// One thread for each process that was sent SIGTERM. It panics if the process does not exit with
    /// success.
    shutdowns: Vec<thread::JoinHandle<()>>,
    /// One thread for each crowd.
    crowds: Vec<thread::JoinHandle<()>>,
}

impl<'a> Fleet<'a> {
    /// Starts all nodes, as processes of the program at this path.
    pub(crate) fn start(program: &'a Path, plan: &'a Plan, environment: &Environment) -> Fleet<'a> {
        let node_count = plan.size.nodes;
        let new_node = |number| Node {
            history: Arc::default(),
            program: None,
            config: environment.node_config(number, node_count),
        };
        let mut fleet = Fleet {
            program,
            plan,
            scratch: ScratchDir::new("soak"),
            nodes: (0..node_count).map(new_node).collect(),
            verdict: Arc::default(),
            shutdowns: Vec::new(),
            crowds: Vec::new(),
        };
        (0..node_count).for_each(|number| fleet.start_node(number));
        fleet
    }

    /// The incarnations of the node `number`, shared with its clients.
    pub(crate) fn history(&self, number: usize) -> Arc<NodeHistory> {
        self.nodes[number].history.clone()
    }

    fn start_node(&mut self, number: usize) {
        let process_number = {
            let mut verdict = lock(&self.verdict);
            verdict.processes += 1;
            verdict.processes
        };
        let system_faults = &self.plan.system_faults[number];
        let shim = FaultPlan {
            calls: system_faults.calls.clone(),
            clock: format!("0:{}", system_faults.clock_offset_ms),
            seed: self.plan.seed,
        };
        let counts_file = format!("{FAULT_COUNTS_PREFIX}{process_number}");
        let mut command = Command::new(self.program);
        shim.preload(&mut command, &self.scratch);
        command.env("FAULT_COUNTS", self.scratch.path(&counts_file));
        command.env("RUST_LOG", "error,sorrelhaven=info");
        let node = &mut self.nodes[number];
        let config = self.scratch.write(&format!("node-{number}.json"), &node.config);
        let program = Program::start(command, &config, None);
        node.history.record_start(&program.address);
        node.program = Some(program);
    }

    /// Sends SIGTERM to a node. A separate thread waits for its end and checks its final counters, so that
    /// the soak continues meanwhile.
    fn terminate_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.history.record_end(EndCause::Terminated(Instant::now()));
        let Some(program) = node.program.take() else { return };
        let verdict = self.verdict.clone();
        let peak_memory = program.peak_memory_bytes();
        // Signals come in series: a reload and a second SIGTERM during the shutdown change nothing.
        ["TERM", "HUP", "TERM"].into_iter().for_each(|signal| program.signal(signal));
        self.shutdowns.push(thread::spawn(move || {
            let log = program.wait_for_end(EARLIEST_KILL);
            let mut verdict = lock(&verdict);
            if peak_memory > MEMORY_MB << 20 {
                verdict.violations.push(format!("node {number}: {peak_memory} bytes of memory were used"));
            }
            // Requests that the kill leaves without an answer are recorded by their clients.
            let Some(log) = log else { return };
            if !log.contains(" invariant_violations=0 ") {
                verdict.violations.push(format!("node {number}: an invariant was violated: {log}"));
            }
            if !log.contains(" in_progress=0 ") {
                verdict.violations.push(format!("node {number} ended with requests in progress: {log}"));
            }
        }));
    }

    fn kill_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.history.record_end(EndCause::Killed);
        // Dropping a `Program` kills the process.
        node.program = None;
    }

    /// Injects a fault. Blocks while a node is paused or a new process starts; faults of connections, workers
    /// and discovery end on their own.
    pub(crate) fn inject(&mut self, fault: Fault, environment: &Environment) {
        let Environment { workers, proxies, discovery } = environment;
        match fault {
            Fault::PauseNode { node, millis } => {
                let Some(program) = &self.nodes[node].program else { return };
                program.signal("STOP");
                thread::sleep(Duration::from_millis(millis));
                program.signal("CONT");
            }
            Fault::ReloadNode { node } => {
                let Some(program) = &self.nodes[node].program else { return };
                program.signal("HUP");
            }
            Fault::ReloadNodeRepeatedly { node } => {
                let Some(program) = &self.nodes[node].program else { return };
                (0..RELOADS_IN_A_ROW).for_each(|_| program.signal("HUP"));
            }
            Fault::Crowd { node, clients } => {
                let address = self.nodes[node].history.current().address;
                self.crowds.push(thread::spawn(move || crowd::stop_half_way(address, clients)));
            }
            Fault::RestartNode { node } => {
                self.terminate_node(node);
                self.start_node(node);
            }
            Fault::KillNode { node } => {
                self.kill_node(node);
                self.start_node(node);
            }
            Fault::DisturbConnections { worker, fault, millis } => {
                proxies[worker].set_fault(fault, Duration::from_millis(millis));
            }
            Fault::DrainWorker { worker } => discovery.drain(worker),
            Fault::RestartWorker { worker } => discovery.restart_worker(worker),
            Fault::SilenceDiscovery { millis } => discovery.silence(Duration::from_millis(millis)),
            Fault::ResetDiscovery => discovery.close_watches(),
            Fault::Release { millis } => discovery.release(Duration::from_millis(millis)),
            Fault::HangWorker { worker, millis } => hang_worker(workers, worker, millis),
            Fault::ScriptWorkers(behaviors) => workers.script(&behaviors),
        }
    }

    /// Terminates all nodes and returns the verdict on their processes: invariant violations, failed
    /// shutdowns and numbers of processes and injected faults.
    pub(crate) fn terminate(mut self) -> Verdict {
        (0..self.nodes.len()).for_each(|number| self.terminate_node(number));
        for crowd in std::mem::take(&mut self.crowds) {
            let _ = crowd.join();
        }
        let shutdowns = std::mem::take(&mut self.shutdowns);
        let failed = shutdowns.into_iter().filter_map(|shutdown| shutdown.join().err()).count();
        let mut verdict = std::mem::take(&mut *lock(&self.verdict));
        verdict.violations.extend((0..failed).map(|_| "a node did not end cleanly".to_string()));
        verdict.injected_faults = count_injected_faults(&self.scratch);
        verdict
    }
}

fn lock(verdict: &Mutex<Verdict>) -> MutexGuard<'_, Verdict> {
    verdict.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Makes a worker hang for `millis`: requests that arrive meanwhile get no response, and the connection of
/// each is reset after the same time.
fn hang_worker(workers: &FakeWorkers, worker: usize, millis: u64) {
    workers.set_worker_behavior(worker, Some(WorkerBehavior::SilentThenReset(millis)));
    let workers = workers.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(millis));
        workers.set_worker_behavior(worker, None);
    });
}

/// The number of faults that the shim injected into all processes that were not killed.
fn count_injected_faults(scratch: &ScratchDir) -> u64 {
    let names = scratch.file_names(".").into_iter().filter(|name| name.starts_with(FAULT_COUNTS_PREFIX));
    let texts = names.map(|name| std::fs::read_to_string(scratch.path(&name)).unwrap_or_default());
    texts.map(|text| sum_counts(&text)).sum()
}

/// The sum of the counts in a counts file, which are the last word of each line.
fn sum_counts(text: &str) -> u64 {
    text.lines().filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}
