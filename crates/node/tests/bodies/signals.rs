//! Reloads (SIGHUP) and SIGTERM while bodies are stored.

use crate::installation::{BodyLimits, Installation, KIB, MIB, job_result, run_alone};
use sorrelhaven_test_support::{Program, TestRequest, TestResponse, WorkerBehavior, sample_bytes};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const REQUEST_COUNT: u64 = 22;
/// Requests that are sent before the limits are lowered.
const REQUESTS_BEFORE_RELOAD: usize = 16;

/// A request that is not sent yet, and the result that its client expects.
struct PreparedRequest {
    request: TestRequest,
    expected: String,
}

impl PreparedRequest {
    /// A request with a body of 3 MiB, or of 900 KiB from the ninth request on.
    fn new(number: u64) -> PreparedRequest {
        let length = if number < 8 { 3 * MIB } else { 900 * KIB };
        let body = sample_bytes(length, number);
        let expected = job_result(&body);
        PreparedRequest { request: TestRequest::new(&format!("q-{number}"), "licence-issue", body), expected }
    }

    fn send(self, node: &Program) -> WaitingClient {
        let PreparedRequest { request, expected } = self;
        let address = node.address.clone();
        let response = thread::spawn(move || request.send(&address).expect("the request is answered"));
        WaitingClient { response, expected }
    }
}

/// A client that waits for its answer.
struct WaitingClient {
    response: JoinHandle<TestResponse>,
    expected: String,
}

/// A reload with an invalid file must change nothing. A reload that lowers the limits under load must move
/// bodies from memory to files until the new limits hold. After SIGTERM, requests whose bodies are in files
/// must be answered.
#[test]
fn limits_shrink_under_load_and_sigterm_finishes_requests_with_files() {
    let _running_alone = run_alone();
    let installation = Installation::new("signals", 2);
    let limits =
        BodyLimits { memory_each: MIB, memory_total: 16 * MIB, file_each: 8 * MIB, file_total: 128 * MIB };
    installation.write_operator_file(limits, 8 * MIB, "stream");
    let mut node = installation.start();
    installation.workers.set_default_behavior(WorkerBehavior::PausedUntilReleased);
    // Prepared before the first request is sent, since generating the bodies takes long.
    let requests: Vec<PreparedRequest> = (0..REQUEST_COUNT).map(PreparedRequest::new).collect();
    let mut requests = requests.into_iter();
    // Long bodies are sent first, each after the one before it has arrived: a body that is being written to
    // its file uses memory too, and with several at a time it would be random how much. The workers'
    // responses are paused, so all bodies stay stored until the end.
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut clients = Vec::new();
    for (number, request) in requests.by_ref().take(REQUESTS_BEFORE_RELOAD).enumerate() {
        clients.push(request.send(&node));
        while installation.workers.executed_requests().len() <= number {
            assert!(Instant::now() < deadline, "body {number} has not arrived within 5 s of the first");
        }
    }
    while node.counter("memory_bytes") < 5 * MIB as u64 || node.counter("file_bytes") < 20 * MIB as u64 {
        assert!(Instant::now() < deadline, "the bodies are not stored within 5 s");
    }
    installation.scratch.write("operator.json", r#"{"bodies":{"unkept":"drop"}}"#);
    node.signal("HUP");
    assert!(node.wait_for_log_line("configuration unchanged").contains("bodies.unkept: unknown variant"));
    assert!(node.counter("memory_bytes") > 0);
    // These requests arrive while the limits are lowered.
    clients.extend(requests.map(|request| request.send(&node)));
    let limits =
        BodyLimits { memory_each: 64 * KIB, memory_total: MIB, file_each: 8 * MIB, file_total: 128 * MIB };
    installation.write_operator_file(limits, 8 * MIB, "stream");
    node.signal("HUP");
    node.wait_for_log_line("configuration reloaded");
    while node.counter("memory_bytes") > MIB as u64 {
        assert!(Instant::now() < deadline, "bodies in memory are not spilled to files");
    }
    assert!(node.counter("bodies_spilled") >= 4);
    while node.counter("requests_sent") < REQUEST_COUNT {
        assert!(Instant::now() < deadline, "requests that arrived during the reload are not sent");
    }
    node.signal("TERM");
    assert_eq!(node.counter("in_progress"), REQUEST_COUNT, "SIGTERM ended requests in progress");
    installation.workers.release();
    let log = node.terminate();
    for client in clients {
        let response = client.response.join().expect("the client thread does not panic");
        assert_eq!((response.status, response.body), (200, client.expected));
    }
    assert!(log.contains("served=22 "), "{log}");
    assert!(log.contains("memory_bytes=0 file_bytes=0"), "{log}");
}
