//! The membership protocol among five processes of the program. Their datagrams pass a proxy that loses,
//! delays, duplicates, reorders or blocks them.

use sorrelhaven_test_support::{DatagramFaults, FaultProxy, Program, ScratchDir};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const NODE_COUNT: usize = 5;
/// A test fails if the expected states are not reached within this time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(25);
const ALL_ALIVE: [&str; NODE_COUNT] = ["alive"; NODE_COUNT];

/// Held while a group of processes runs. Each test polls its processes without a pause, so tests that run at
/// the same time would compete for the processors, and datagrams would miss their time limits.
static RUNNING: Mutex<()> = Mutex::new(());

/// Five nodes. Each one is reached by the others through its own address at the proxy.
struct Group {
    proxy: FaultProxy,
    scratch: ScratchDir,
    nodes: Vec<Option<Program>>,
    /// The address that each process listens on, to which the proxy forwards.
    listeners: RefCell<BTreeMap<usize, SocketAddr>>,
    /// The last field: released once the processes have ended.
    _running_alone: MutexGuard<'static, ()>,
}

impl Group {
    fn new(name: &str, seed: u64) -> Group {
        let running_alone = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let proxy =
            FaultProxy::with_address_per_process(NODE_COUNT, seed).expect("the proxy's sockets can be bound");
        let mut group = Group {
            proxy,
            scratch: ScratchDir::new(name),
            nodes: Vec::new(),
            listeners: RefCell::default(),
            _running_alone: running_alone,
        };
        group.scratch.write("key", "a key of the tests alone\n");
        for number in 0..NODE_COUNT {
            let node = group.start(number);
            group.nodes.push(Some(node));
        }
        group.wait_until("all nodes see all alive", Group::sees_all_alive);
        group
    }

    /// Starts one node. Its suspicion timeout is longer than the default, so that a node on a busy machine is
    /// not declared dead.
    fn start(&self, number: usize) -> Program {
        let address = |to| self.proxy.address(0, to).expect("the proxy has an address");
        let operator = format!(
            r#"{{"membership":{{"listen":"127.0.0.1:0","advertise":"{}","seeds":["{}","{}"],"key_file":"{}","suspicion_ms":2500}}}}"#,
            address(number),
            address(0),
            address(1),
            self.scratch.path("key").display()
        );
        let platform = format!(
            r#"{{"name":"n{number}","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"{number}","known":{{"hosts":[]}},
                "settings":{{"balancers":{NODE_COUNT},"me":{number},"ceilings":{{"maxAttempts":1}},"invariants":{{}},
                    "grades":[{{"name":"fee","aim":1,"deadline":5000000,"effect":"at_most_once"}}]}}}}"#
        );
        let operator = self.scratch.write(&format!("operator{number}.json"), &operator);
        let platform = self.scratch.write(&format!("node{number}.json"), &platform);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        command.env("RELAY_OPS", "127.0.0.1:0");
        command.env("RUST_LOG", "info,sorrelhaven_engine::discovery_watch=error");
        let node = Program::start(command, &platform, Some(&operator));
        // The proxy drops what the node has sent before this, since it does not know the sender's address
        // yet.
        let listen = listen_address(&node);
        self.proxy.register_listener(number, listen);
        self.listeners.borrow_mut().insert(number, listen);
        node
    }

    fn node(&self, number: usize) -> &Program {
        self.nodes[number].as_ref().expect("the program runs")
    }

    /// The state of each node in the member table of `observer`; empty for a node that the table does not
    /// hold.
    fn states(&self, observer: usize) -> Vec<String> {
        let table = self.node(observer).admin_command("members");
        let state_of = |member| latest_row(&table, member).map_or(String::new(), |row| row.state);
        (0..NODE_COUNT).map(state_of).collect()
    }

    /// The incarnation of `member` in the member table of `observer`.
    fn incarnation(&self, observer: usize, member: usize) -> u64 {
        let table = self.node(observer).admin_command("members");
        latest_row(&table, member).expect("the member is known").incarnation
    }

    /// Waits until `condition` holds, and returns the time that it took. Panics after [`WAIT_TIMEOUT`].
    fn wait_until(&self, what: &str, condition: impl Fn(&Group) -> bool) -> Duration {
        let begun = Instant::now();
        while !condition(self) {
            assert!(begun.elapsed() < WAIT_TIMEOUT, "not reached within {WAIT_TIMEOUT:?}: {what}");
            thread::yield_now();
        }
        begun.elapsed()
    }

    /// Whether the member table of each node has all nodes alive.
    fn sees_all_alive(&self) -> bool {
        (0..NODE_COUNT).all(|observer| self.states(observer) == ALL_ALIVE)
    }

    /// Whether the member tables of all `observers` have `member` in this state.
    fn all_see(&self, observers: &[usize], member: usize, state: &str) -> bool {
        observers.iter().all(|&observer| self.states(observer)[member] == state)
    }

    /// How often the other members have declared a node dead, so that it rejoined as its next incarnation.
    fn times_declared_dead(&self, number: usize) -> u64 {
        self.node(number).metric("node_member_declared_dead")
    }
}

/// The address of a node's membership socket, from its log.
fn listen_address(node: &Program) -> SocketAddr {
    let is_membership = |line: &&String| line.contains(" membership ");
    let line = node.startup_log().iter().find(is_membership).expect("the node logs its membership address");
    let address = line.split_whitespace().find_map(|field| field.strip_prefix("listen="));
    address.and_then(|address| address.parse().ok()).expect("the field is an address")
}

/// A row of the table that the admin command `members` returns.
struct MemberRow {
    incarnation: u64,
    state: String,
}

/// The row of a member's latest incarnation.
fn latest_row(table: &str, member: usize) -> Option<MemberRow> {
    let name = format!("n{member}");
    let rows = table.lines().filter_map(|line| {
        let columns: Vec<&str> = line.split(' ').collect();
        let [row_name, incarnation, _address, state] = columns[..] else { return None };
        (row_name == name).then(|| MemberRow {
            incarnation: incarnation.parse().expect("an incarnation is a number"),
            state: state.to_string(),
        })
    });
    rows.max_by_key(|row| row.incarnation)
}

/// All others must declare a killed node dead. After its restart they must have it alive under a higher
/// incarnation, not under the old one. No other node may be declared dead.
#[test]
fn a_killed_node_is_dead_at_all_others_and_a_new_incarnation_after_a_restart() {
    let mut group = Group::new("killed", 1);
    let incarnation = group.incarnation(0, 4);
    drop(group.nodes[4].take());
    let detected = group.wait_until("n4 is dead", |group| group.all_see(&[0, 1, 2, 3], 4, "dead"));
    println!("detected after {detected:?}");
    let restarted = group.start(4);
    group.nodes[4] = Some(restarted);
    group.wait_until("n4 is alive", |group| group.all_see(&[0, 1, 2, 3, 4], 4, "alive"));
    assert!(
        (0..4).all(|observer| group.incarnation(observer, 4) > incarnation),
        "n4 has no higher incarnation after its restart"
    );
    assert!(
        (0..4).all(|observer| group.times_declared_dead(observer) == 0),
        "another node than n4 was declared dead"
    );
}

/// A node that is paused for one or two probe periods (SIGSTOP) must neither be declared dead nor declare
/// another node dead.
#[test]
fn a_short_pause_declares_no_node_dead() {
    let group = Group::new("short-pause", 7);
    let probes = |group: &Group| group.node(0).metric("node_member_probes");
    for _ in 0..3 {
        let from = probes(&group);
        group.node(2).signal("STOP");
        group.wait_until("two more probes", |group| probes(group) >= from + 2);
        group.node(2).signal("CONT");
        group.wait_until("ten more probes", |group| probes(group) >= from + 12);
    }
    assert_eq!((0..NODE_COUNT).map(|number| group.times_declared_dead(number)).sum::<u64>(), 0);
    group.wait_until("all nodes see all alive", Group::sees_all_alive);
}

/// The others declare a node dead that is paused for longer than the suspicion timeout. After it resumes it
/// must rejoin, and must not declare the others dead, although it has not heard from them during the pause.
#[test]
fn a_long_paused_node_returns_as_a_new_incarnation_and_declares_no_other_dead() {
    let group = Group::new("long-pause", 2);
    group.node(2).signal("STOP");
    group.wait_until("n2 is dead", |group| group.all_see(&[0, 1, 3, 4], 2, "dead"));
    group.node(2).signal("CONT");
    group.wait_until("all nodes see all alive", Group::sees_all_alive);
    assert!([0, 1, 3, 4].iter().all(|&observer| group.times_declared_dead(observer) == 0));
    assert!(group.node(2).metric("node_member_pauses") > 0);
}

/// After a partition of two nodes from three ends, all nodes must see each other alive again, although
/// datagrams are lost, delayed, duplicated and reordered.
#[test]
fn a_partition_of_two_from_three_heals_under_losses() {
    let group = Group::new("partition", 3);
    group.proxy.partition(&[0, 1]);
    group.wait_until("each side sees the other dead", |group| {
        group.all_see(&[0, 1], 3, "dead") && group.all_see(&[2, 3, 4], 0, "dead")
    });
    assert!(group.all_see(&[0], 1, "alive") && group.all_see(&[2, 3], 4, "alive"));
    let millis = Duration::from_millis;
    group.proxy.set_all_faults(DatagramFaults {
        loss: 0.05,
        duplication: 0.1,
        delay: millis(2),
        jitter: millis(20),
        blocked: false,
    });
    let healed = group.wait_until("all nodes see all alive", Group::sees_all_alive);
    println!("healed after {healed:?}");
    group.wait_until("duplicates are dropped", |group| {
        (0..NODE_COUNT).map(|number| group.node(number).metric("node_member_dropped")).sum::<u64>() > 0
    });
}

/// A node that is terminated with SIGTERM must be in state `left` at the others, not `dead`.
#[test]
fn a_terminated_node_has_left() {
    let mut group = Group::new("leaves", 4);
    group.nodes[3].take().expect("the program runs").terminate();
    group.wait_until("n3 has left", |group| group.all_see(&[0, 1, 2, 4], 3, "left"));
}

/// The proxy loses a fifth of all datagrams, then two fifths of those that node 2 sends, then all from node 0
/// to node 1. No node may be declared dead, since indirect probes arrive.
#[test]
fn losses_and_a_blocked_direction_declare_no_node_dead() {
    let group = Group::new("losses", 5);
    let lossy = |loss| DatagramFaults { loss, ..DatagramFaults::default() };
    let blocked = DatagramFaults { blocked: true, ..DatagramFaults::default() };
    let probes = |group: &Group| {
        (0..NODE_COUNT).map(|number| group.node(number).metric("node_member_probes")).sum::<u64>()
    };
    for stage in 0..3 {
        group.proxy.set_all_faults(DatagramFaults::default());
        match stage {
            0 => group.proxy.set_all_faults(lossy(0.2)),
            1 => (0..NODE_COUNT).for_each(|to| group.proxy.set_faults(2, to, lossy(0.4))),
            _ => group.proxy.set_faults(0, 1, blocked),
        }
        // On average more than twelve probes by each node.
        let from = probes(&group);
        group.wait_until("probes go on", |group| probes(group) > from + 12 * NODE_COUNT as u64);
        assert_eq!(
            (0..NODE_COUNT).map(|number| group.times_declared_dead(number)).sum::<u64>(),
            0,
            "stage {stage}"
        );
    }
    group.proxy.set_all_faults(DatagramFaults::default());
    group.wait_until("all nodes see all alive", Group::sees_all_alive);
}

/// Datagrams that are unauthenticated, truncated or too long must be counted and dropped, and must not change
/// the member tables.
#[test]
fn unauthenticated_truncated_and_oversized_datagrams_are_counted_and_dropped() {
    let group = Group::new("forged", 6);
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let before = group.node(0).metric("node_member_dropped");
    let to = *group.listeners.borrow().get(&0).expect("the node has a registered listener");
    let sizes = [0, 1, 32, 33, 34, 100, 1_392, 1_393, 9_000];
    for size in sizes {
        stranger.send_to(&vec![1; size], to).expect("the datagram is sent");
    }
    group.wait_until("all are dropped", |group| {
        group.node(0).metric("node_member_dropped") >= before + sizes.len() as u64
    });
    group.wait_until("all nodes see all alive", Group::sees_all_alive);
}
