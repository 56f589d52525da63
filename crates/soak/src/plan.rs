//! The plan of one soak, drawn from a seed.

use fastrand::Rng;
use sorrelhaven_test_support::WorkerBehavior;
use std::fmt;
use std::time::Duration;

/// The size of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of nodes, each a process of the program.
    pub nodes: usize,
    /// Number of fake workers.
    pub workers: usize,
    /// Number of entries of the worker list; several entries have the address of the same worker.
    pub list_entries: usize,
    /// The time during which clients send requests.
    pub duration: Duration,
    /// Number of faults in the timeline. They come in clusters, so that faults overlap.
    pub faults: usize,
}

impl Size {
    /// The size for continuous integration, which takes a few seconds.
    pub const SHORT: Size =
        Size { nodes: 8, workers: 6, list_entries: 3_000, duration: Duration::from_millis(3_000), faults: 6 };
    /// The size for runs on demand.
    pub const LONG: Size = Size {
        nodes: 10,
        workers: 12,
        list_entries: 3_000,
        duration: Duration::from_millis(12_000),
        faults: 24,
    };
}

/// A fault of all connections to one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFault {
    /// The proxy waits this long before it forwards what it has read.
    Delay { millis: u64 },
    /// No bytes are forwarded in either direction until the fault ends; none are lost.
    Stall,
    /// Bytes from the worker are discarded; bytes to the worker are forwarded.
    LoseResponses,
    /// All connections are reset when the fault begins, and new ones as soon as they are opened.
    Reset,
}

/// One fault of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is stopped with SIGSTOP, and continued after this time.
    PauseNode { node: usize, millis: u64 },
    /// A node reloads its configuration on SIGHUP.
    ReloadNode { node: usize },
    /// A node gets SIGHUP several times in a row.
    ReloadNodeRepeatedly { node: usize },
    /// Many clients of a node stop half way through a request and stay.
    Crowd { node: usize, clients: usize },
    /// A node gets SIGTERM, and a new process is started at once while the old one shuts down.
    RestartNode { node: usize },
    /// A node is killed with SIGKILL, and a new process is started.
    KillNode { node: usize },
    /// All connections to a worker have this fault for this time.
    DisturbConnections { worker: usize, fault: ConnectionFault, millis: u64 },
    /// All entries of a worker begin to drain, unless too few workers would remain in service.
    DrainWorker { worker: usize },
    /// A draining worker is in service again, as if just started.
    RestartWorker { worker: usize },
    /// A rolling release: the first half of the list entries drains within this time, replaced by new
    /// entries.
    Release { millis: u64 },
    /// A worker sends nothing to requests that arrive within this time, and resets the connection of each
    /// after the same time.
    HangWorker { worker: usize, millis: u64 },
    /// Discovery sends nothing to any node for this time.
    SilenceDiscovery { millis: u64 },
    /// Discovery closes all watches.
    ResetDiscovery,
    /// The next requests that arrive at any worker get these behaviours, one each.
    ScriptWorkers([WorkerBehavior; 6]),
}

/// A fault and the time at which it begins.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    /// The time since the start of the soak.
    pub at: Duration,
    /// What is injected at this time.
    pub fault: Fault,
}

/// Faults of the operating system under all processes of one node, injected by the fault shim.
#[derive(Clone, Debug, Default)]
pub struct SystemFaults {
    /// The failing system calls, in the format of the shim's `FAULT_PLAN`.
    pub calls: String,
    /// The offset of the wall clock from the real time, in milliseconds.
    pub clock_offset_ms: i64,
}

/// What happens in one soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed from which this plan was drawn, and from which clients draw their requests.
    pub seed: u64,
    /// The size for which this plan was drawn.
    pub size: Size,
    /// The faults in the order in which they begin.
    pub timeline: Vec<TimedFault>,
    /// The system faults of each node, by node number.
    pub system_faults: Vec<SystemFaults>,
}

/// Transient errors of system calls, as items of the shim's `FAULT_PLAN`. Failures of `epoll_ctl` are not
/// among them: they are known to stop a node (docs/incidents, open).
const TRANSIENT_ERRORS: [&str; 10] = [
    "recv:EINTR:20",
    "send:EINTR:20",
    "read:EINTR:20",
    "accept:ECONNABORTED:10;accept:EINTR:10",
    "accept:ENFILE:20;accept:ENOBUFS:20",
    "connect:EINTR:5",
    "socket:ENOBUFS:20;connect:EADDRNOTAVAIL:20",
    "connect:ENETUNREACH:20;socket:ENFILE:20",
    "recv:SHORT:4;send:SHORT:4",
    "poll:EINTR:5;setsockopt:ENOBUFS:10",
];

const SCRIPTED_BEHAVIORS: [WorkerBehavior; 12] = [
    WorkerBehavior::Done,
    WorkerBehavior::DoneAfterMillis(40),
    WorkerBehavior::DoneAfterMillis(150),
    WorkerBehavior::Failed,
    WorkerBehavior::Rejected,
    WorkerBehavior::RejectedBeforeBody,
    WorkerBehavior::Killed,
    WorkerBehavior::Truncated,
    WorkerBehavior::Malformed,
    WorkerBehavior::WrongRequestId,
    WorkerBehavior::ResetDuringBody,
    WorkerBehavior::ResetAfterBody,
];

/// All faults of one cluster begin within this many milliseconds.
const CLUSTER_SPREAD_MS: u64 = 200;
const FAULTS_PER_CLUSTER: usize = 3;

impl Plan {
    /// Draws the plan of this seed and size. Faults come in clusters, so that two or three overlap.
    pub fn draw(seed: u64, size: Size) -> Plan {
        let mut rng = Rng::with_seed(seed);
        let duration_ms = size.duration.as_millis() as u64;
        let cluster_count = (size.faults / FAULTS_PER_CLUSTER).max(1);
        let cluster_starts: Vec<u64> =
            (0..cluster_count).map(|_| rng.u64(duration_ms / 10..duration_ms * 7 / 10)).collect();
        let mut timeline = Vec::new();
        for number in 0..size.faults {
            let at_ms = cluster_starts[number % cluster_count] + rng.u64(0..CLUSTER_SPREAD_MS);
            let fault = draw_fault(&mut rng, size);
            timeline.push(TimedFault { at: Duration::from_millis(at_ms), fault });
        }
        timeline.sort_by_key(|timed| timed.at);
        let system_faults = (0..size.nodes).map(|_| draw_system_faults(&mut rng)).collect();
        Plan { seed, size, timeline, system_faults }
    }
}

fn draw_fault(rng: &mut Rng, size: Size) -> Fault {
    let node = rng.usize(0..size.nodes);
    let worker = rng.usize(0..size.workers);
    match rng.u8(0..16) {
        0 => Fault::PauseNode { node, millis: rng.u64(20..150) },
        1 => Fault::ReloadNode { node },
        2 | 3 => Fault::RestartNode { node },
        4 => Fault::KillNode { node },
        5 => {
            let fault = ConnectionFault::Delay { millis: rng.u64(5..300) };
            Fault::DisturbConnections { worker, fault, millis: rng.u64(100..1_000) }
        }
        6 => {
            let fault = ConnectionFault::Stall;
            Fault::DisturbConnections { worker, fault, millis: rng.u64(100..1_000) }
        }
        7 => {
            let fault = if rng.bool() { ConnectionFault::LoseResponses } else { ConnectionFault::Reset };
            Fault::DisturbConnections { worker, fault, millis: rng.u64(50..500) }
        }
        8 => Fault::DrainWorker { worker },
        9 => Fault::RestartWorker { worker },
        10 if rng.bool() => Fault::SilenceDiscovery { millis: rng.u64(500..4_000) },
        10 => Fault::ResetDiscovery,
        11 => Fault::Release { millis: rng.u64(500..4_000) },
        12 => Fault::HangWorker { worker, millis: rng.u64(500..4_000) },
        13 => Fault::ReloadNodeRepeatedly { node },
        14 => Fault::Crowd { node, clients: rng.usize(100..300) },
        _ => {
            let behaviors = [(); 6].map(|()| SCRIPTED_BEHAVIORS[rng.usize(0..SCRIPTED_BEHAVIORS.len())]);
            Fault::ScriptWorkers(behaviors)
        }
    }
}

fn draw_system_faults(rng: &mut Rng) -> SystemFaults {
    let mut calls = Vec::new();
    for _ in 0..rng.usize(0..4) {
        calls.push(TRANSIENT_ERRORS[rng.usize(0..TRANSIENT_ERRORS.len())]);
    }
    let clock_offset_ms = [0, 0, 3_600_000, -3_600_000, 5_000, -5_000][rng.usize(0..6)];
    SystemFaults { calls: calls.join(";"), clock_offset_ms }
}

impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "soak of seed {}: {:?}", self.seed, self.size)?;
        for (node, system) in self.system_faults.iter().enumerate() {
            if !system.calls.is_empty() {
                writeln!(formatter, "  node {node}: {} clock {} ms", system.calls, system.clock_offset_ms)?;
            }
        }
        for timed in &self.timeline {
            writeln!(formatter, "  {:>6} ms {:?}", timed.at.as_millis(), timed.fault)?;
        }
        Ok(())
    }
}
