//! System calls that fail as Linux documents, and wall clocks that are wrong: no request is lost for either.

use sorrelhaven_test_support::{
    AT_MOST_ONCE_CLASS, Checker, FakeWorkers, FaultPlan, Program, ScratchDir, TestRequest, WorkerBehavior,
    injected_faults, workers_config,
};
use std::net::TcpStream;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A node under the shim, before two or more executors.
struct Node {
    program: Program,
    executors: FakeWorkers,
    scratch: ScratchDir,
}

impl Node {
    fn start(name: &str, plan: &FaultPlan, executors: FakeWorkers, config: &str) -> Node {
        let scratch = ScratchDir::new(name);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        plan.preload(&mut command, &scratch);
        let program = Program::start(command, &scratch.write("node.json", config), None);
        Node { program, executors, scratch }
    }

    fn healthy(name: &str, plan: &FaultPlan) -> Node {
        let executors = FakeWorkers::new(2);
        let config = workers_config(&executors.addresses);
        Node::start(name, plan, executors, &config)
    }

    /// Sends so many payments, each on a new connection and `pause` after it was opened, from eight clients; how each
    /// one ended that was not served.
    fn pay(&self, requests: u64, pause: Duration) -> (Arc<Checker>, Vec<String>) {
        let (next, checker) = (Arc::new(AtomicU64::new(0)), Arc::<Checker>::default());
        let client = |_| {
            let (next, checker, address) = (next.clone(), checker.clone(), self.program.address.clone());
            thread::spawn(move || {
                let mut unserved = Vec::new();
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= requests {
                        return unserved;
                    }
                    let ask = TestRequest::new(&format!("pay-{number}"), AT_MOST_ONCE_CLASS, vec![b'x'; 300]);
                    checker.asked(&ask);
                    let paid = TcpStream::connect(&address).and_then(|mut connection| {
                        thread::sleep(pause);
                        ask.send_on(&mut connection)
                    });
                    match paid {
                        Ok(reply) => {
                            checker.answered(&ask.id, reply.status);
                            if reply.status != 200 {
                                unserved.push(format!("{} {}", ask.id, reply.status));
                            }
                        }
                        Err(error) => unserved.push(format!("{} {error}", ask.id)),
                    }
                }
            })
        };
        let clients: Vec<_> = (0..8).map(client).collect();
        let unserved = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
        (checker, unserved)
    }

    /// Ends the node; every fault of the plan must have been injected_faults, and no rule broken.
    fn end(self, checker: &Checker) {
        self.program.end();
        let injected_faults = injected_faults(&self.scratch);
        assert!(
            injected_faults.values().all(|&count| count > 0),
            "not all calls were reached: {injected_faults:?}"
        );
        assert_eq!(checker.faults(&self.executors.runs()), [""; 0]);
    }
}

/// Interrupted reads and writes are begun again: the connection and the request on it are as before.
#[test]
fn interrupted_reads_and_writes_cost_no_request() {
    let plan = FaultPlan::calls("read:EINTR:10;recv:EINTR:10;send:EINTR:10;write:EINTR:10;poll:EINTR:10");
    let node = Node::healthy("interrupted", &plan);
    let (checker, unserved) = node.pay(400, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    node.end(&checker);
}

/// An accept that fails for a moment costs nobody a connection: neither the one that waits nor another.
#[test]
fn accepts_that_fail_for_a_moment_cost_no_request() {
    let plan = FaultPlan::calls(
        "accept:ECONNABORTED:40;accept:ENFILE:40;accept:ENOBUFS:40;accept:EINTR:40;accept:EPROTO:40",
    );
    let node = Node::healthy("accepts", &plan);
    let (checker, unserved) = node.pay(400, Duration::from_millis(3));
    assert_eq!(unserved, [""; 0]);
    node.end(&checker);
}

/// A wait for events that is interrupted is begun again.
#[test]
fn interrupted_waits_for_events_cost_no_request() {
    let node = Node::healthy("waits", &FaultPlan::calls("epoll_wait:EINTR:5"));
    let (checker, unserved) = node.pay(400, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    node.end(&checker);
}

/// What four executors were sent, of which the last has just started, by a node whose wall clock is off.
fn sent_to_the_cold_one(off_ms: i64) -> usize {
    let executors = FakeWorkers::new(4);
    executors.usual(WorkerBehavior::Takes(10));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
    let config = workers_config(&executors.addresses);
    let young = format!("{}\",\"health\"", executors.addresses[3]);
    let config =
        config.replace(&young, &format!("{}\",\"born_ms\":{now},\"health\"", executors.addresses[3]));
    let slow_start =
        r#""invariants":{"cold":20000000,"startCapacity":0.15,"fall":1000000,"overloadFactor":3.0}"#;
    let config = config.replace(r#""invariants":{}"#, slow_start);
    let node = Node::start("clock", &FaultPlan::clock_off(off_ms), executors, &config);
    let (checker, unserved) = node.pay(160, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    let cold = node.executors.runs().iter().filter(|run| run.at == 3).count();
    node.end(&checker);
    cold
}

/// Slow start counts from what the list tells and from the monotonic clock, never from the wall clock's word.
#[test]
fn a_wrong_wall_clock_skips_no_slow_start() {
    const HOUR_MS: i64 = 3_600_000;
    let sent = [0, HOUR_MS, -HOUR_MS, 10_000, -10_000].map(|off| (off, sent_to_the_cold_one(off)));
    let right = sent[0].1;
    for (off, cold) in sent {
        assert!(cold <= right + 6, "clock off by {off} ms: {sent:?}");
    }
}

/// Signals come in series while transfers are short, those of the node to itself too: none is lost, and it ends.
#[test]
fn short_transfers_lose_no_signal() {
    let plan = FaultPlan::calls("send:SHORT:2;recv:SHORT:2");
    let node = Node::healthy("signals", &plan);
    let (checker, unserved) = node.pay(60, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    assert_eq!(checker.faults(&node.executors.runs()), [""; 0]);
    for _ in 0..3 {
        node.program.signal("HUP");
        node.program.signal("USR1");
        thread::sleep(Duration::from_millis(50));
    }
    let told = Instant::now();
    let log = node.program.end();
    assert!(told.elapsed() < Duration::from_secs(5), "it ended {:?} after SIGTERM", told.elapsed());
    assert_eq!(log.matches("configuration reloaded").count(), 3, "{log}");
    assert_eq!(log.matches(" admitted=").count(), 4, "three times as asked, and the last line: {log}");
}
