//! The processes of a soak, what happens to them, and the verdict.

use crate::client::{self, Shared};
use crate::discovery::Discovery;
use crate::plan::{Plan, Trouble};
use crate::proxy::Proxy;
use fastrand::Rng;
use sorrelhaven_test_support::{
    Checker, FakeWorkers, FaultPlan, Program, ScratchDir, WorkerBehavior, workers_config,
};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Clients of each node.
const CLIENTS: usize = 3;

/// Descriptors of each node, the least that it has to do with: entries by the thousand have a connection each, so that
/// nodes run short of them.
const SOCKETS: usize = 256;

/// One process in a node's place.
#[derive(Clone)]
pub struct Life {
    /// Where it listens.
    pub address: SocketAddr,
    number: usize,
}

/// How a process's life was ended from outside.
#[derive(Clone, Copy)]
enum Ended {
    Told(Instant),
    Killed,
}

#[derive(Default)]
struct Lives {
    current: Option<Life>,
    ended: Vec<Option<Ended>>,
}

/// A node's place in the fleet, in which one process follows another.
#[derive(Default)]
pub struct Place(Mutex<Lives>);

impl Place {
    fn lives(&self) -> MutexGuard<'_, Lives> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The process that takes clients now.
    pub fn life(&self) -> Life {
        self.lives().current.clone().expect("a process")
    }

    fn begin(&self, address: &str) {
        let mut lives = self.lives();
        let number = lives.ended.len();
        lives.ended.push(None);
        lives.current = Some(Life { address: address.parse().expect("its address"), number });
    }

    fn end(&self, ended: Ended) {
        let mut lives = self.lives();
        let number = lives.current.as_ref().expect("a process").number;
        lives.ended[number] = Some(ended);
    }

    /// Whether this process was killed.
    pub fn was_killed(&self, life: &Life) -> bool {
        matches!(self.lives().ended[life.number], Some(Ended::Killed))
    }

    /// Whether a process may have closed a connection without an answer on which a request was begun then: it was killed,
    /// or told to end `door` before.
    pub fn may_close(&self, life: &Life, begun: Instant, door: Duration) -> bool {
        match self.lives().ended[life.number] {
            Some(Ended::Killed) => true,
            Some(Ended::Told(at)) => begun > at + door,
            None => false,
        }
    }
}

/// What a soak came to.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Each broken rule, a line each.
    pub faults: Vec<String>,
    /// Requests asked.
    pub asked: usize,
    /// Requests served.
    pub served: usize,
    /// Processes that were started.
    pub processes: usize,
    /// Faults that the shim injected_faults into processes that ended by themselves.
    pub injected_faults: u64,
}

/// The fleet while it runs.
struct Fleet<'a> {
    program: &'a Path,
    plan: &'a Plan,
    scratch: ScratchDir,
    places: Vec<Arc<Place>>,
    nodes: Vec<Option<Program>>,
    configs: Vec<String>,
    verdict: Arc<Mutex<Verdict>>,
    endings: Vec<thread::JoinHandle<()>>,
}

impl Fleet<'_> {
    fn start(&mut self, node: usize) {
        let number = {
            let mut verdict = self.verdict.lock().unwrap_or_else(PoisonError::into_inner);
            verdict.processes += 1;
            verdict.processes
        };
        let system = &self.plan.systems[node];
        let shim = FaultPlan {
            calls: system.calls.clone(),
            clock: format!("0:{}", system.clock_ms),
            seed: self.plan.seed,
        };
        let mut command = Command::new(self.program);
        shim.preload(&mut command, &self.scratch);
        command.env("FAULT_COUNTS", self.scratch.at(&format!("faults-{number}")));
        command.env("RUST_LOG", "error,sorrelhaven=info");
        let config = self.scratch.write(&format!("node-{node}.json"), &self.configs[node]);
        let program = Program::start(command, &config, None);
        self.places[node].begin(&program.address);
        self.nodes[node] = Some(program);
    }

    /// Has a process that was told to end run to its end beside everything else, and judges its last words.
    fn let_end(&mut self, node: usize) {
        self.places[node].end(Ended::Told(Instant::now()));
        let Some(program) = self.nodes[node].take() else { return };
        let verdict = self.verdict.clone();
        program.signal("TERM");
        self.endings.push(thread::spawn(move || {
            let log = program.end();
            let mut verdict = verdict.lock().unwrap_or_else(PoisonError::into_inner);
            if !log.contains(" invariant_violations=0 ") {
                verdict.faults.push(format!("node {node}: an invariant was violated: {log}"));
            }
            if !log.contains(" in_progress=0 ") {
                verdict.faults.push(format!("node {node} ended with requests in progress: {log}"));
            }
        }));
    }

    fn meet(&mut self, trouble: Trouble, executors: &FakeWorkers, proxies: &[Proxy], discovery: &Discovery) {
        match trouble {
            Trouble::HeldUp(node, ms) => {
                let Some(program) = &self.nodes[node] else { return };
                program.signal("STOP");
                thread::sleep(Duration::from_millis(ms));
                program.signal("CONT");
            }
            Trouble::Reload(node) => self.nodes[node].iter().for_each(|program| program.signal("HUP")),
            Trouble::Restart(node) => {
                self.let_end(node);
                self.start(node);
            }
            Trouble::Kill(node) => {
                self.places[node].end(Ended::Killed);
                // Dropping it kills it.
                self.nodes[node] = None;
                self.start(node);
            }
            Trouble::Network(executor, link, ms) => proxies[executor].set(link, Duration::from_millis(ms)),
            Trouble::Drain(executor) => discovery.drain(executor),
            Trouble::Born(executor) => discovery.born(executor),
            Trouble::DiscoverySilent(ms) => discovery.silent(Duration::from_millis(ms)),
            Trouble::DiscoveryResets => discovery.reset(),
            Trouble::Release(ms) => discovery.release(Duration::from_millis(ms)),
            Trouble::Hang(executor, ms) => hang(executors, executor, Duration::from_millis(ms)),
            Trouble::Script(acts) => executors.script(&acts),
        }
    }
}

/// An executor says nothing for so long to the requests that it takes, and resets their connections then.
fn hang(executors: &FakeWorkers, executor: usize, lasts: Duration) {
    let silent = WorkerBehavior::SilentThenReset(lasts.as_millis() as u64);
    executors.usual_at(executor, Some(silent));
    let executors = executors.clone();
    thread::spawn(move || {
        thread::sleep(lasts);
        executors.usual_at(executor, None);
    });
}

/// The settings of one node of the fleet.
fn config(number: usize, nodes: usize, proxies: &[Proxy], discovery: SocketAddr) -> String {
    let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.address).collect();
    workers_config(&addresses)
        .replace("127.0.0.1:1\"", &format!("{discovery}\""))
        .replace("\"balancers\":1", &format!("\"balancers\":{nodes},\"me\":{number}"))
        .replace("\"sockets\":1024", &format!("\"sockets\":{SOCKETS}"))
        .replace("\"seed\":\"1f\"", &format!("\"seed\":\"{number:x}f\""))
}

/// Plays a plan with the program at this path, and judges it.
pub fn run(program: &Path, plan: &Plan) -> Verdict {
    let size = plan.size;
    let executors = FakeWorkers::new(size.executors);
    executors.usual(WorkerBehavior::Takes(5));
    let proxies: Vec<Proxy> = executors.addresses.iter().map(|address| Proxy::new(*address)).collect();
    let discovery =
        Discovery::new(&proxies.iter().map(|proxy| proxy.address).collect::<Vec<_>>(), size.entries);
    let configs = (0..size.nodes).map(|n| config(n, size.nodes, &proxies, discovery.address)).collect();
    let mut fleet = Fleet {
        program,
        plan,
        scratch: ScratchDir::new("soak"),
        places: (0..size.nodes).map(|_| Arc::default()).collect(),
        nodes: (0..size.nodes).map(|_| None).collect(),
        configs,
        verdict: Arc::default(),
        endings: Vec::new(),
    };
    (0..size.nodes).for_each(|node| fleet.start(node));
    let begun = Instant::now();
    let shared =
        Arc::new(Shared { checker: Checker::default(), lost: Mutex::default(), until: begun + size.lasts });
    let clients: Vec<_> = (0..size.nodes * CLIENTS)
        .map(|number| {
            let (place, shared) = (fleet.places[number % size.nodes].clone(), shared.clone());
            let rng = Rng::with_seed(plan.seed ^ ((number as u64) << 32));
            thread::spawn(move || client::run(number, &place, &shared, rng))
        })
        .collect();
    for (at, trouble) in &plan.timeline {
        thread::sleep((begun + *at).saturating_duration_since(Instant::now()));
        fleet.meet(*trouble, &executors, &proxies, &discovery);
    }
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    (0..size.nodes).for_each(|node| fleet.let_end(node));
    let endings = std::mem::take(&mut fleet.endings);
    let crashed = endings.into_iter().filter_map(|ending| ending.join().err()).count();
    let mut verdict = std::mem::take(&mut *fleet.verdict.lock().unwrap_or_else(PoisonError::into_inner));
    verdict.faults.extend((0..crashed).map(|_| "a node did not end cleanly".to_string()));
    verdict.faults.extend(shared.checker.faults(&executors.runs()));
    verdict.faults.append(&mut shared.lost.lock().unwrap_or_else(PoisonError::into_inner));
    (verdict.asked, verdict.served) = shared.checker.counts();
    verdict.injected_faults = injected_faults(&fleet.scratch);
    verdict
}

/// All faults that the shim injected_faults into processes that ended by themselves.
fn injected_faults(scratch: &ScratchDir) -> u64 {
    let names = scratch.names(".").into_iter().filter(|name| name.starts_with("faults-"));
    let counts = names.map(|name| std::fs::read_to_string(scratch.at(&name)).unwrap_or_default());
    let of = |text: String| -> u64 {
        text.lines().filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    };
    counts.map(of).sum()
}
