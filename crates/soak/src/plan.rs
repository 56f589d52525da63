//! What happens in one soak, drawn from a seed.

use fastrand::Rng;
use sorrelhaven_test_support::WorkerBehavior;
use std::fmt;
use std::time::Duration;

/// How large a soak is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Processes of the program.
    pub nodes: usize,
    /// Executors.
    pub executors: usize,
    /// Entries of the list, each one of these executors.
    pub entries: usize,
    /// How long clients come.
    pub lasts: Duration,
    /// Troubles that overlap.
    pub troubles: usize,
}

impl Size {
    /// For continuous integration: a few seconds.
    pub const SHORT: Size =
        Size { nodes: 8, executors: 6, entries: 3_000, lasts: Duration::from_millis(3_000), troubles: 6 };
    /// On demand.
    pub const LONG: Size =
        Size { nodes: 10, executors: 12, entries: 3_000, lasts: Duration::from_millis(12_000), troubles: 24 };
}

/// What happens to the connections of one executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes take this many milliseconds more.
    Delayed(u64),
    /// No byte goes either way, and none is lost.
    Stalled,
    /// Answers are lost; requests arrive.
    CutBack,
    /// All connections are reset at the beginning, and new ones at once.
    Reset,
}

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A node is held up (SIGSTOP) for so long.
    HeldUp(usize, u64),
    /// A node is told to read its configuration again.
    Reload(usize),
    /// A node is told to end, and another is started in its place at once.
    Restart(usize),
    /// A node is killed, and another is started in its place.
    Kill(usize),
    /// The connections of an executor, for so long.
    Network(usize, Link, u64),
    /// An executor begins to drain.
    Drain(usize),
    /// An executor that drained is there again, started anew.
    Born(usize),
    /// Half of the list is replaced within this many milliseconds.
    Release(u64),
    /// An executor takes requests and says nothing for so many milliseconds, then resets the connections.
    Hang(usize, u64),
    /// Discovery says nothing to anybody, for so long.
    DiscoverySilent(u64),
    /// Discovery closes all its connections.
    DiscoveryResets,
    /// The next requests meet these acts of executors.
    Script([WorkerBehavior; 6]),
}

/// What a node's process meets from its system.
#[derive(Clone, Debug, Default)]
pub struct System {
    /// The fault shim's plan of failing calls.
    pub calls: String,
    /// Its wall clock is off by so many milliseconds.
    pub clock_ms: i64,
}

/// One soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that drew it.
    pub seed: u64,
    /// How large it is.
    pub size: Size,
    /// What happens, and how long after the beginning.
    pub timeline: Vec<(Duration, Trouble)>,
    /// The system of each node.
    pub systems: Vec<System>,
}

/// Errors that pass, call by call. Failures of `epoll_ctl` are not drawn: they are known to stop a node (docs/incidents,
/// open).
const PASSING: [&str; 10] = [
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

const ACTS: [WorkerBehavior; 12] = [
    WorkerBehavior::Done,
    WorkerBehavior::Takes(40),
    WorkerBehavior::Takes(150),
    WorkerBehavior::Failed,
    WorkerBehavior::Returned,
    WorkerBehavior::ReturnedEarly,
    WorkerBehavior::Lost,
    WorkerBehavior::Cuts,
    WorkerBehavior::Garbage,
    WorkerBehavior::OtherId,
    WorkerBehavior::BreaksBefore,
    WorkerBehavior::BreaksAfter,
];

impl Plan {
    /// The plan of this seed and size.
    pub fn draw(seed: u64, size: Size) -> Plan {
        let mut rng = Rng::with_seed(seed);
        let span = size.lasts.as_millis() as u64;
        // In clusters, so that two or three overlap: each cluster's troubles begin within 0.2 s.
        let clusters = (size.troubles / 3).max(1);
        let centres: Vec<u64> = (0..clusters).map(|_| rng.u64(span / 10..span * 7 / 10)).collect();
        let mut timeline: Vec<(Duration, Trouble)> = (0..size.troubles)
            .map(|n| {
                let at = centres[n % clusters] + rng.u64(0..200);
                (Duration::from_millis(at), trouble(&mut rng, size))
            })
            .collect();
        timeline.sort_by_key(|(at, _)| *at);
        let systems = (0..size.nodes).map(|_| system(&mut rng)).collect();
        Plan { seed, size, timeline, systems }
    }
}

fn trouble(rng: &mut Rng, size: Size) -> Trouble {
    let (node, executor) = (rng.usize(0..size.nodes), rng.usize(0..size.executors));
    match rng.u8(0..14) {
        0 => Trouble::HeldUp(node, rng.u64(20..150)),
        1 => Trouble::Reload(node),
        2 | 3 => Trouble::Restart(node),
        4 => Trouble::Kill(node),
        5 => Trouble::Network(executor, Link::Delayed(rng.u64(5..300)), rng.u64(100..1_000)),
        6 => Trouble::Network(executor, Link::Stalled, rng.u64(100..1_000)),
        7 => {
            Trouble::Network(executor, if rng.bool() { Link::CutBack } else { Link::Reset }, rng.u64(50..500))
        }
        8 => Trouble::Drain(executor),
        9 => Trouble::Born(executor),
        10 => {
            if rng.bool() {
                Trouble::DiscoverySilent(rng.u64(500..4_000))
            } else {
                Trouble::DiscoveryResets
            }
        }
        11 => Trouble::Release(rng.u64(500..4_000)),
        12 => Trouble::Hang(executor, rng.u64(500..4_000)),
        _ => Trouble::Script([(); 6].map(|()| ACTS[rng.usize(0..ACTS.len())])),
    }
}

fn system(rng: &mut Rng) -> System {
    let mut calls = Vec::new();
    for _ in 0..rng.usize(0..4) {
        calls.push(PASSING[rng.usize(0..PASSING.len())]);
    }
    let clock_ms = [0, 0, 3_600_000, -3_600_000, 5_000, -5_000][rng.usize(0..6)];
    System { calls: calls.join(";"), clock_ms }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "soak of seed {}: {:?}", self.seed, self.size)?;
        for (node, system) in self.systems.iter().enumerate().filter(|(_, s)| !s.calls.is_empty()) {
            writeln!(f, "  node {node}: {} clock {} ms", system.calls, system.clock_ms)?;
        }
        for (at, trouble) in &self.timeline {
            writeln!(f, "  {:>6} ms {trouble:?}", at.as_millis())?;
        }
        Ok(())
    }
}
