//! System calls that fail in ways that Linux documents, and wall clocks that are wrong: the node must lose no
//! request by either. A preloaded library injects the faults.

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
    /// The number of requests of all clients together.
    count: u64,
    /// The time from opening a connection to sending the request on it.
    pause: Duration,
    next_number: AtomicU64,
    checker: DeliveryChecker,
}

impl Load {
    /// Sends requests, each on a new connection. Returns the id and the status or error of each request that
    /// was not served.
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
    /// The id and the status or error of each request that was not served.
    unserved: Vec<String>,
}

/// A node with the fault shim preloaded, and its workers.
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

    /// Sends `count` at-most-once requests from [`CLIENT_COUNT`] clients, each on a new connection and
    /// `pause` after the connection was opened.
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
            clients
                .into_iter()
                .flat_map(|client| client.join().expect("the client thread does not panic"))
                .collect()
        });
        LoadResult { checker: load.checker, unserved }
    }

    /// Terminates the node. Checks that every fault of the plan was injected and that the requests violate no
    /// rule of the checker.
    fn terminate(self, checker: &DeliveryChecker) {
        self.program.terminate();
        let injected_faults = injected_faults(&self.scratch);
        assert!(
            injected_faults.values().all(|&count| count > 0),
            "the node did not make all calls that the plan has fail: {injected_faults:?}"
        );
        assert_eq!(checker.violations(&self.workers.executed_requests()), [""; 0]);
    }
}

/// Reads, writes and polls that fail with `EINTR` must be repeated: the request on the connection is served.
#[test]
fn interrupted_reads_and_writes_lose_no_request() {
    let plan =
        FaultPlan::failing_calls("read:EINTR:10;recv:EINTR:10;send:EINTR:10;write:EINTR:10;poll:EINTR:10");
    let node = Node::with_two_workers("interrupted", &plan);
    let LoadResult { checker, unserved } = node.send_requests(400, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    node.terminate(&checker);
}

/// An accept that fails once must lose neither the connection at the head of the queue nor another one.
#[test]
fn transient_accept_failures_lose_no_request() {
    let plan = FaultPlan::failing_calls(
        "accept:ECONNABORTED:40;accept:ENFILE:40;accept:ENOBUFS:40;accept:EINTR:40;accept:EPROTO:40",
    );
    let node = Node::with_two_workers("accepts", &plan);
    let LoadResult { checker, unserved } = node.send_requests(400, Duration::from_millis(3));
    assert_eq!(unserved, [""; 0]);
    node.terminate(&checker);
}

/// An `epoll_wait` that fails with `EINTR` must be repeated.
#[test]
fn interrupted_waits_for_events_lose_no_request() {
    let node = Node::with_two_workers("waits", &FaultPlan::failing_calls("epoll_wait:EINTR:5"));
    let LoadResult { checker, unserved } = node.send_requests(400, Duration::ZERO);
    assert_eq!(unserved, [""; 0]);
    node.terminate(&checker);
}

/// The number of requests that a newly started worker, the last of four, gets from a node whose wall clock is
/// wrong by `clock_offset_ms`.
fn requests_to_new_worker(clock_offset_ms: i64) -> usize {
    let workers = FakeWorkers::new(4);
    workers.set_default_behavior(WorkerBehavior::DoneAfterMillis(10));
    let now =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after the Unix epoch").as_millis();
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

/// A wrong wall clock must not make a new worker seem old and so end its slow start: its age follows from the
/// worker list and the monotonic clock, not from the wall clock alone.
#[test]
fn a_wrong_wall_clock_skips_no_slow_start() {
    const HOUR_MS: i64 = 3_600_000;
    let sent = [0, HOUR_MS, -HOUR_MS, 10_000, -10_000]
        .map(|offset_ms| (offset_ms, requests_to_new_worker(offset_ms)));
    let with_correct_clock = sent[0].1;
    for (offset_ms, executed) in sent {
        assert!(executed <= with_correct_clock + 6, "clock off by {offset_ms} ms: {sent:?}");
    }
}

/// With short transfers, also on the channel that wakes the event loop, no signal of a series may be lost,
/// and SIGTERM must end the node.
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
    assert_eq!(
        log.matches(" admitted=").count(),
        4,
        "the counters were not printed once for each of three SIGUSR1 and once before the exit: {log}"
    );
}
