//! System calls that fail as Linux documents, and wrong wall clocks: neither loses a request.

use sorrelhaven_test_support::{
    AT_MOST_ONCE_CLASS, DeliveryChecker, FakeWorkers, FaultPlan, Program, ScratchDir, TestRequest,
    TestResponse, WorkerBehavior, injected_faults, workers_config,
};
use std::io;
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CLIENT_COUNT: usize = 8;

/// At-most-once requests from several clients.
struct Load {
    address: String,
    /// Requests of all clients together.
    count: u64,
    /// The time between the opening of a connection and the request on it.
    pause: Duration,
    next_number: AtomicU64,
    checker: DeliveryChecker,
}

impl Load {
    /// Sends requests, each on a new connection, and returns how each one ended that was not served.
    fn run_client(&self) -> Vec<String> {
        let mut unserved = Vec::new();
        loop {
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            if number >= self.count {
                return unserved;
            }
            let id = format!("pay-{number}");
            let request = TestRequest::new(&id, AT_MOST_ONCE_CLASS, vec![b'x'; 300]);
            self.checker.record_request(&request);
            match self.send(&request) {
                Ok(response) => {
                    self.checker.record_response(&id, response.status);
                    if response.status != 200 {
                        unserved.push(format!("{id} {}", response.status));
                    }
                }
                Err(error) => unserved.push(format!("{id} {error}")),
            }
        }
    }

    fn send(&self, request: &TestRequest) -> io::Result<TestResponse> {
        let mut connection = TcpStream::connect(&self.address)?;
        thread::sleep(self.pause);
        request.send_on(&mut connection)
    }
}

/// The outcome of a load.
struct LoadResult {
    checker: DeliveryChecker,
    /// How each request ended that was not served, a line each.
    unserved: Vec<String>,
}

/// A node under the fault shim, with its workers.
struct Node {
    program: Program,
    workers: FakeWorkers,
    scratch: ScratchDir,
}

impl Node {
    fn start(name: &str, plan: &FaultPlan, workers: FakeWorkers, config: &str) -> Node {
        let scratch = ScratchDir::new(name);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        plan.preload(&mut command, &scratch);
        let program = Program::start(command, &scratch.write("node.json", config), None);
        Node { program, workers, scratch }
    }

    fn with_two_workers(name: &str, plan: &FaultPlan) -> Node {
        let workers = FakeWorkers::new(2);
        let config = workers_config(&workers.addresses);
        Node::start(name, plan, workers, &config)
    }

    /// Sends `count` at-most-once requests from several clients, each on a new connection and `pause` after
    /// it was opened.
    fn send_requests(&self, count: u64, pause: Duration) -> LoadResult {
        let load = Load {
            address: self.program.address.clone(),
            count,
            pause,
            next_number: AtomicU64::new(0),
            checker: DeliveryChecker::default(),
        };
        let unserved = thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENT_COUNT).map(|_| scope.spawn(|| load.run_client())).collect();
            clients.into_iter().flat_map(|client| client.join().expect("the client ends")).collect()
        });
        LoadResult { checker: load.checker, unserved }
    }

    /// Ends the node. Every fault of the plan must have been injected, and no delivery rule violated.
    fn terminate(self, checker: &DeliveryChecker) {
        self.program.terminate();
        let injected_faults = injected_faults(&self.scratch);
        assert!(
            injected_faults.values().all(|&count| count > 0),
            "not all calls were reached: {injected_faults:?}"
        );
        assert_eq!(checker.violations(&self.workers.executed_requests()), [""; 0]);
    }
}

/// Interrupted reads and writes are repeated; the connection and its request go on.
#[test]
fn interrupted_reads_and_writes_cost_no_request() {
    let plan =
        FaultPlan::failing_calls("read:EINTR:10;recv:EINTR:10;send:EINTR:10;write:EINTR:10;poll:EINTR:10");
    let node = Node::with_two_workers("interrupted", &plan);
    let LoadResult { checker, unserved } = node.send_requests(400, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    node.terminate(&checker);
}

/// An accept that fails once costs neither the connection that waits nor another.
#[test]
fn transient_accept_failures_cost_no_request() {
    let plan = FaultPlan::failing_calls(
        "accept:ECONNABORTED:40;accept:ENFILE:40;accept:ENOBUFS:40;accept:EINTR:40;accept:EPROTO:40",
    );
    let node = Node::with_two_workers("accepts", &plan);
    let LoadResult { checker, unserved } = node.send_requests(400, Duration::from_millis(3));
    assert_eq!(unserved, [""; 0]);
    node.terminate(&checker);
}

/// An interrupted wait for events is repeated.
#[test]
fn interrupted_waits_for_events_cost_no_request() {
    let node = Node::with_two_workers("waits", &FaultPlan::failing_calls("epoll_wait:EINTR:5"));
    let LoadResult { checker, unserved } = node.send_requests(400, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    node.terminate(&checker);
}

/// How many requests a newly started worker, the last of four, gets from a node whose wall clock is off.
fn requests_to_new_worker(clock_offset_ms: i64) -> usize {
    let workers = FakeWorkers::new(4);
    workers.set_default_behavior(WorkerBehavior::DoneAfterMillis(10));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
    let config = workers_config(&workers.addresses);
    let entry = format!("{}\",\"health\"", workers.addresses[3]);
    let config = config.replace(&entry, &format!("{}\",\"born_ms\":{now},\"health\"", workers.addresses[3]));
    let slow_start =
        r#""invariants":{"cold":20000000,"startCapacity":0.15,"fall":1000000,"overloadFactor":3.0}"#;
    let config = config.replace(r#""invariants":{}"#, slow_start);
    let node = Node::start("clock", &FaultPlan::with_clock_offset(clock_offset_ms), workers, &config);
    let LoadResult { checker, unserved } = node.send_requests(160, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    let executed = node.workers.executed_requests().iter().filter(|run| run.worker == 3).count();
    node.terminate(&checker);
    executed
}

/// Slow start follows from the worker list and the monotonic clock, never from the wall clock alone.
#[test]
fn a_wrong_wall_clock_skips_no_slow_start() {
    const HOUR_MS: i64 = 3_600_000;
    let sent = [0, HOUR_MS, -HOUR_MS, 10_000, -10_000]
        .map(|offset_ms| (offset_ms, requests_to_new_worker(offset_ms)));
    let with_right_clock = sent[0].1;
    for (offset_ms, executed) in sent {
        assert!(executed <= with_right_clock + 6, "clock off by {offset_ms} ms: {sent:?}");
    }
}

/// With short transfers, also on the node's own wake-up channel, no signal of a series is lost, and the node
/// ends.
#[test]
fn short_transfers_lose_no_signal() {
    let plan = FaultPlan::failing_calls("send:SHORT:2;recv:SHORT:2");
    let node = Node::with_two_workers("signals", &plan);
    let LoadResult { checker, unserved } = node.send_requests(60, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    assert_eq!(checker.violations(&node.workers.executed_requests()), [""; 0]);
    for _ in 0..3 {
        node.program.signal("HUP");
        node.program.signal("USR1");
        thread::sleep(Duration::from_millis(50));
    }
    let signalled_at = Instant::now();
    let log = node.program.terminate();
    assert!(
        signalled_at.elapsed() < Duration::from_secs(5),
        "the node ended {:?} after SIGTERM",
        signalled_at.elapsed()
    );
    assert_eq!(log.matches("configuration reloaded").count(), 3, "{log}");
    assert_eq!(log.matches(" admitted=").count(), 4, "three times on SIGUSR1, and once at the end: {log}");
}
