//! Membership of five processes of the program, with a proxy that disturbs their datagrams.

use sorrelhaven_test_support::{DatagramFaults, FaultProxy, Program, ScratchDir};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const NODE_COUNT: usize = 5;
/// A state that is not reached within this time fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(25);
const ALL_ALIVE: [&str; NODE_COUNT] = ["alive"; NODE_COUNT];

/// Held while a group of processes runs. A test calls its processes without a pause, so that several at a
/// time take the processors from each other and from the datagrams that are to arrive within a time.
static RUNNING: Mutex<()> = Mutex::new(());

/// The processes, each behind its address of the proxy.
struct Group {
    proxy: FaultProxy,
    scratch: ScratchDir,
    nodes: Vec<Option<Program>>,
    /// Where each process listens, behind the proxy.
    listeners: RefCell<BTreeMap<usize, SocketAddr>>,
    /// Released once the processes have ended.
    _alone: MutexGuard<'static, ()>,
}

impl Group {
    fn new(name: &str, seed: u64) -> Group {
        let alone = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let proxy =
            FaultProxy::with_address_per_process(NODE_COUNT, seed).expect("the proxy has its sockets");
        let mut group = Group {
            proxy,
            scratch: ScratchDir::new(name),
            nodes: Vec::new(),
            listeners: RefCell::default(),
            _alone: alone,
        };
        group.scratch.write("key", "a key of the tests alone\n");
        for number in 0..NODE_COUNT {
            let node = group.start(number);
            group.nodes.push(Some(node));
        }
        group.wait_until("all nodes see all alive", Group::sees_all_alive);
        group
    }

    /// Starts one node. Its suspicion timeout is longer than the default, so that a busy machine does not
    /// declare nodes dead.
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
        // What it has sent before this registration came from an address that the proxy does not know, and is
        // lost.
        let listen = listen_address(&node);
        self.proxy.register_listener(number, listen);
        self.listeners.borrow_mut().insert(number, listen);
        node
    }

    fn node(&self, number: usize) -> &Program {
        self.nodes[number].as_ref().expect("the program runs")
    }

    /// The state of each node in the member table of `observer`, empty if it has none.
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

    /// Waits until `condition` holds, and returns how long it took.
    fn wait_until(&self, what: &str, condition: impl Fn(&Group) -> bool) -> Duration {
        let begun = Instant::now();
        while !condition(self) {
            assert!(begun.elapsed() < WAIT_TIMEOUT, "not so after {WAIT_TIMEOUT:?}: {what}");
            thread::yield_now();
        }
        begun.elapsed()
    }

    /// Whether every node sees every node alive.
    fn sees_all_alive(&self) -> bool {
        (0..NODE_COUNT).all(|observer| self.states(observer) == ALL_ALIVE)
    }

    /// Whether all of `observers` see `member` in this state.
    fn all_see(&self, observers: &[usize], member: usize, state: &str) -> bool {
        observers.iter().all(|&observer| self.states(observer)[member] == state)
    }

    /// How many members a node has declared dead.
    fn declared_dead(&self, number: usize) -> u64 {
        self.node(number).metric("node_member_declared_dead")
    }
}

/// Where the membership of a node listens, by its log.
fn listen_address(node: &Program) -> SocketAddr {
    let is_membership = |line: &&String| line.contains(" membership ");
    let line = node.startup_log().iter().find(is_membership).expect("the node logs where it listens");
    let address = line.split_whitespace().find_map(|field| field.strip_prefix("listen="));
    address.and_then(|address| address.parse().ok()).expect("the field is an address")
}

/// A row of a member table.
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

/// A killed node is dead at all others, and its stale incarnation does not return; restarted, it is a new
/// incarnation.
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
    assert!((0..4).all(|observer| group.incarnation(observer, 4) > incarnation), "a new incarnation");
    assert!((0..4).all(|observer| group.declared_dead(observer) == 0), "no other node was declared dead");
}

/// A node that is paused for a probe period or two is not declared dead, and declares no other dead.
#[test]
fn a_short_pause_declares_no_node_dead() {
    let group = Group::new("nap", 7);
    let probes = |group: &Group| group.node(0).metric("node_member_probes");
    for _ in 0..3 {
        let from = probes(&group);
        group.node(2).signal("STOP");
        group.wait_until("two more probes", |group| probes(group) >= from + 2);
        group.node(2).signal("CONT");
        group.wait_until("ten more probes", |group| probes(group) >= from + 12);
    }
    assert_eq!((0..NODE_COUNT).map(|number| group.declared_dead(number)).sum::<u64>(), 0);
    group.wait_until("all nodes see all alive", Group::sees_all_alive);
}

/// A node that is paused for longer than the suspicion timeout is dead at the others; it resumes, and does
/// not declare them dead.
#[test]
fn a_long_paused_node_returns_as_a_new_incarnation_and_declares_no_other_dead() {
    let group = Group::new("sleeper", 2);
    group.node(2).signal("STOP");
    group.wait_until("n2 is dead", |group| group.all_see(&[0, 1, 3, 4], 2, "dead"));
    group.node(2).signal("CONT");
    group.wait_until("all nodes see all alive", Group::sees_all_alive);
    assert!([0, 1, 3, 4].iter().all(|&observer| group.declared_dead(observer) == 0));
    assert!(group.node(2).metric("node_member_pauses") > 0);
}

/// A partition of two nodes from three heals, while datagrams are lost, delayed, duplicated and reordered.
#[test]
fn a_partition_of_two_from_three_heals_under_losses() {
    let group = Group::new("parted", 3);
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

/// A node that ends with SIGTERM has left, and is not dead.
#[test]
fn a_terminated_node_has_left() {
    let mut group = Group::new("leaves", 4);
    group.nodes[3].take().expect("the program runs").terminate();
    group.wait_until("n3 has left", |group| group.all_see(&[0, 1, 2, 4], 3, "left"));
}

/// A fifth of all datagrams is lost, then two fifths of what one node sends, then one direction is blocked.
/// Indirect probes keep all alive.
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
        // More than ten probes by each node.
        let from = probes(&group);
        group.wait_until("probes go on", |group| probes(group) > from + 12 * NODE_COUNT as u64);
        assert_eq!(
            (0..NODE_COUNT).map(|number| group.declared_dead(number)).sum::<u64>(),
            0,
            "stage {stage}"
        );
    }
    group.proxy.set_all_faults(DatagramFaults::default());
    group.wait_until("all nodes see all alive", Group::sees_all_alive);
}

/// Datagrams that are unauthenticated, truncated or too long are counted and dropped, and the node goes on.
#[test]
fn unauthenticated_truncated_and_oversized_datagrams_are_counted_and_dropped() {
    let group = Group::new("forged", 6);
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let before = group.node(0).metric("node_member_dropped");
    let to = *group.listeners.borrow().get(&0).expect("the node accepts");
    let sizes = [0, 1, 32, 33, 34, 100, 1_392, 1_393, 9_000];
    for size in sizes {
        stranger.send_to(&vec![1; size], to).expect("the datagram is sent");
    }
    group.wait_until("all are dropped", |group| {
        group.node(0).metric("node_member_dropped") >= before + sizes.len() as u64
    });
    group.wait_until("all nodes see all alive", Group::sees_all_alive);
}
