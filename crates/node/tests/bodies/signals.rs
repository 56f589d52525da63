//! Reloads and SIGTERM while bodies are stored.

use crate::installation::{BodyLimits, Installation, KIB, MIB, job_result, run_alone};
use sorrelhaven_test_support::{TestRequest, WorkerBehavior, sample_bytes};
use std::thread;
use std::time::{Duration, Instant};

/// SIGHUP lowers the limits under load, an invalid file changes nothing, and SIGTERM finishes requests with open files.
#[test]
fn limits_shrink_under_load_and_sigterm_finishes_requests_with_files() {
    let _running_alone = run_alone();
    let installation = Installation::new("signals", 2);
    installation.write_operator_file(BodyLimits::new([MIB, 16 * MIB, 8 * MIB, 128 * MIB]), 8 * MIB, "stream");
    let mut node = installation.start();
    installation.workers.set_default_behavior(WorkerBehavior::PausedUntilReleased);
    let requests = (0..22).map(|number| {
        let body = sample_bytes(if number < 8 { 3 * MIB } else { 900 * KIB }, number);
        let expected = job_result(&body);
        (TestRequest::new(&format!("q-{number}"), "licence-issue", body), expected)
    });
    let mut requests = requests.collect::<Vec<_>>().into_iter();
    let address = node.address.clone();
    let client = |(request, expected): (TestRequest, String)| {
        let address = address.clone();
        thread::spawn(move || (request.send(&address).expect("the request is answered"), expected))
    };
    // Long bodies first, each complete before the next: a body that is being written to its file uses memory too, and how
    // much each of several would use is chance. The workers' answers are paused, so all bodies stay stored until the end.
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut clients = Vec::new();
    for (number, request) in requests.by_ref().take(16).enumerate() {
        clients.push(client(request));
        while installation.workers.executed_requests().len() <= number {
            assert!(Instant::now() < deadline, "body {number} has not arrived");
        }
    }
    while node.counter("memory_bytes") < 5 * MIB as u64 || node.counter("file_bytes") < 20 * MIB as u64 {
        assert!(Instant::now() < deadline, "the bodies have not arrived");
    }
    installation.scratch.write("operator.json", r#"{"bodies":{"unkept":"drop"}}"#);
    node.signal("HUP");
    assert!(node.wait_for_log_line("configuration unchanged").contains("bodies.unkept: unknown variant"));
    assert!(node.counter("memory_bytes") > 0);
    // These arrive while the limits shrink.
    clients.extend(requests.map(client));
    installation.write_operator_file(BodyLimits::new([64 * KIB, MIB, 8 * MIB, 128 * MIB]), 8 * MIB, "stream");
    node.signal("HUP");
    node.wait_for_log_line("configuration reloaded");
    while node.counter("memory_bytes") > MIB as u64 {
        assert!(Instant::now() < deadline, "bodies in memory are not spilled to files");
    }
    assert!(node.counter("bodies_spilled") >= 4);
    while node.counter("requests_sent") < 22 {
        assert!(Instant::now() < deadline, "requests that arrived during the change are not sent");
    }
    node.signal("TERM");
    assert_eq!(node.counter("in_progress"), 22, "requests go on until their answers arrive");
    installation.workers.release();
    let log = node.terminate();
    for client in clients {
        let (response, expected) = client.join().expect("the client ends");
        assert_eq!((response.status, response.body), (200, expected));
    }
    assert!(log.contains("served=22 "), "{log}");
    assert!(log.contains("memory_bytes=0 file_bytes=0"), "{log}");
}
