//! Five processes of the program that know each other, and what lies between them.

use sorrelhaven_test_support::{FaultProxy, Faults, Program, ScratchDir};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

const COUNT: usize = 5;

/// The processes, each behind its address of the stand-in.
struct Group {
    between: FaultProxy,
    scratch: ScratchDir,
    nodes: Vec<Option<Program>>,
    listens: RefCell<BTreeMap<usize, SocketAddr>>,
}

impl Group {
    fn new(name: &str, seed: u64) -> Group {
        let between = FaultProxy::with_one_address_each(COUNT, seed).expect("addresses");
        let mut group =
            Group { between, scratch: ScratchDir::new(name), nodes: Vec::new(), listens: RefCell::default() };
        group.scratch.write("key", "a key of the tests alone\n");
        for n in 0..COUNT {
            let node = group.start(n);
            group.nodes.push(Some(node));
        }
        group.until("all know all", |g| (0..COUNT).all(|n| g.holds(n) == ["alive"; COUNT]));
        group
    }

    /// Suspects have longer than by default: a machine that is busy with other tests must not be taken for dead.
    fn start(&self, n: usize) -> Program {
        let address = |n| self.between.address(0, n).expect("an address");
        let operator = format!(
            r#"{{"membership":{{"listen":"127.0.0.1:0","advertise":"{}","seeds":["{}","{}"],"key_file":"{}","suspicion_ms":2500}}}}"#,
            address(n),
            address(0),
            address(1),
            self.scratch.at("key").display()
        );
        let platform = format!(
            r#"{{"name":"n{n}","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"{n}","known":{{"hosts":[]}},
                "settings":{{"balancers":{COUNT},"me":{n},"ceilings":{{"maxAttempts":1}},"invariants":{{}},
                    "grades":[{{"name":"fee","aim":1,"deadline":5000000,"effect":"at_most_once"}}]}}}}"#
        );
        let operator = self.scratch.write(&format!("operator{n}.json"), &operator);
        let platform = self.scratch.write(&format!("node{n}.json"), &platform);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        command.env("RELAY_OPS", "127.0.0.1:0");
        command.env("RUST_LOG", "info,sorrelhaven_engine::host_group=error");
        let node = Program::start(command, &platform, Some(&operator));
        // What it has sent until here came from nobody that the stand-in knows, and is lost.
        let line =
            node.early().iter().find(|l| l.contains(" membership ")).expect("it says where it listens");
        let field = |f: &str| f.strip_prefix("listen=").and_then(|at| at.parse().ok());
        let listen: SocketAddr = line.split_whitespace().find_map(field).expect("an address");
        self.between.listens(n, listen);
        self.listens.borrow_mut().insert(n, listen);
        node
    }

    fn node(&self, n: usize) -> &Program {
        self.nodes[n].as_ref().expect("it runs")
    }

    /// What one holds of each: its latest life under each name.
    fn holds(&self, n: usize) -> Vec<String> {
        let table = self.node(n).call("members");
        (0..COUNT).map(|of| last(&table, of).map_or(String::new(), |row| row[3].clone())).collect()
    }

    /// The life that one holds another to be in.
    fn life(&self, n: usize, of: usize) -> u64 {
        last(&self.node(n).call("members"), of).and_then(|row| row[1].parse().ok()).expect("a life")
    }

    fn until(&self, what: &str, holds: impl Fn(&Group) -> bool) -> Duration {
        let begun = Instant::now();
        while !holds(self) {
            assert!(begun.elapsed() < Duration::from_secs(25), "not so after 25 s: {what}");
            thread::yield_now();
        }
        begun.elapsed()
    }

    fn all_hold(&self, by: &[usize], of: usize, standing: &str) -> bool {
        by.iter().all(|&n| self.holds(n)[of] == standing)
    }

    fn declared_dead(&self, n: usize) -> u64 {
        self.node(n).shown("node_member_declared_dead")
    }
}

/// The row of a node's latest life: name, life, address, standing.
fn last(table: &str, of: usize) -> Option<Vec<String>> {
    let rows = table.lines().map(|l| l.split(' ').map(String::from).collect::<Vec<_>>());
    let own = rows.filter(|row| row.len() == 4 && row[0] == format!("n{of}"));
    own.max_by_key(|row| row[1].parse::<u64>().unwrap_or(0))
}

/// One is killed: all others mark it dead, and its ghost stays away; it starts again and is another.
#[test]
fn a_killed_one_is_dead_at_all_others_and_a_restarted_one_is_another() {
    let mut group = Group::new("killed", 1);
    let life = group.life(0, 4);
    drop(group.nodes[4].take());
    let known = group.until("n4 is dead", |g| g.all_hold(&[0, 1, 2, 3], 4, "dead"));
    println!("the death was known after {known:?}");
    let again = group.start(4);
    group.nodes[4] = Some(again);
    group.until("n4 is alive", |g| g.all_hold(&[0, 1, 2, 3, 4], 4, "alive"));
    assert!((0..4).all(|n| group.life(n, 4) > life), "it is another");
    assert!((0..4).all(|n| group.declared_dead(n) == 0), "and no one else was taken for dead");
}

/// One that is asleep for a probe period or two is not taken for dead, and takes no one for dead.
#[test]
fn a_short_pause_kills_no_one() {
    let group = Group::new("nap", 7);
    let probes = |g: &Group| g.node(0).shown("node_member_probes");
    for _ in 0..3 {
        let from = probes(&group);
        group.node(2).signal("STOP");
        group.until("two more probes", |g| probes(g) >= from + 2);
        group.node(2).signal("CONT");
        group.until("ten more probes", |g| probes(g) >= from + 12);
    }
    assert_eq!((0..COUNT).map(|n| group.declared_dead(n)).sum::<u64>(), 0);
    group.until("all know all", |g| (0..COUNT).all(|n| g.holds(n) == ["alive"; COUNT]));
}

/// One that is asleep for longer than its suspicion is dead at the others; it wakes, and does not hold them for dead.
#[test]
fn a_sleeper_comes_back_as_another_life_and_accuses_no_one() {
    let group = Group::new("sleeper", 2);
    group.node(2).signal("STOP");
    group.until("n2 is dead", |g| g.all_hold(&[0, 1, 3, 4], 2, "dead"));
    group.node(2).signal("CONT");
    group.until("all know all", |g| (0..COUNT).all(|n| g.holds(n) == ["alive"; COUNT]));
    assert!([0, 1, 3, 4].iter().all(|&n| group.declared_dead(n) == 0));
    assert!(group.node(2).shown("node_member_pauses") > 0);
}

/// Two against three, and then one again; with a fifth of all datagrams lost meanwhile, late and twice.
#[test]
fn two_that_were_parted_from_three_become_one_again() {
    let group = Group::new("parted", 3);
    group.between.part(&[0, 1]);
    group.until("each side holds the other for dead", |g| {
        g.all_hold(&[0, 1], 3, "dead") && g.all_hold(&[2, 3, 4], 0, "dead")
    });
    assert!(group.all_hold(&[0], 1, "alive") && group.all_hold(&[2, 3], 4, "alive"));
    let ms = Duration::from_millis;
    group.between.set_all(Faults { loss: 0.05, twice: 0.1, delay: ms(2), jitter: ms(20), cut: false });
    let healed = group.until("all know all", |g| (0..COUNT).all(|n| g.holds(n) == ["alive"; COUNT]));
    println!("one again after {healed:?}");
    group.until("what comes twice is dropped", |g| {
        (0..COUNT).map(|n| g.node(n).shown("node_member_dropped")).sum::<u64>() > 0
    });
}

/// One that ends as it is told to has left, and is not dead.
#[test]
fn one_that_is_told_to_end_says_goodbye() {
    let mut group = Group::new("leaves", 4);
    group.nodes[3].take().expect("it runs").end();
    group.until("n3 has left", |g| g.all_hold(&[0, 1, 2, 4], 3, "left"));
}

/// A fifth of all datagrams is lost both ways, then two fifths of what one sends; then one does not hear another. The
/// probes through others keep all alive.
#[test]
fn losses_and_a_cut_in_one_direction_kill_no_one() {
    let group = Group::new("losses", 5);
    let lossy = |loss| Faults { loss, ..Faults::default() };
    let cut = Faults { cut: true, ..Faults::default() };
    let still = |g: &Group| (0..COUNT).map(|n| g.node(n).shown("node_member_probes")).sum::<u64>();
    for stage in 0..3 {
        group.between.set_all(Faults::default());
        match stage {
            0 => group.between.set_all(lossy(0.2)),
            1 => (0..COUNT).for_each(|to| group.between.set(2, to, lossy(0.4))),
            _ => group.between.set(0, 1, cut),
        }
        // Each probes ten others and more.
        let from = still(&group);
        group.until("probes go on", |g| still(g) > from + 12 * COUNT as u64);
        assert_eq!((0..COUNT).map(|n| group.declared_dead(n)).sum::<u64>(), 0, "stage {stage}");
    }
    group.between.set_all(Faults::default());
    group.until("all know all", |g| (0..COUNT).all(|n| g.holds(n) == ["alive"; COUNT]));
}

/// What is not sealed with the key, cut, or too long is counted and dropped, and the node goes on.
#[test]
fn forged_cut_and_oversized_datagrams_are_counted_and_dropped() {
    let group = Group::new("forged", 6);
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let before = group.node(0).shown("node_member_dropped");
    let to = *group.listens.borrow().get(&0).expect("it listens");
    let sizes = [0, 1, 32, 33, 34, 100, 1_392, 1_393, 9_000];
    for size in sizes {
        stranger.send_to(&vec![1; size], to).expect("sent");
    }
    group.until("all are dropped", |g| g.node(0).shown("node_member_dropped") >= before + sizes.len() as u64);
    group.until("all know all", |g| (0..COUNT).all(|n| g.holds(n) == ["alive"; COUNT]));
}
