//! Bodies that are too long, bodies that can't be stored, and `Expect: 100-continue`.

use crate::installation::{BodyLimits, Installation, KIB, MIB, job_result, run_alone};
use sorrelhaven_test_support::{TestRequest, TestResponse, sample_bytes};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// With `unkept` set to `refuse`, a request whose body can't be stored must be rejected with `Retry-After`
/// before anything is sent to a worker.
#[test]
fn a_body_that_cannot_be_stored_is_rejected_if_unkept_is_refuse() {
    let _running_alone = run_alone();
    let installation = Installation::new("refuse", 1);
    // A sixth of the files' total is reserved for each of three tenants.
    let limits =
        BodyLimits { memory_each: 16 * KIB, memory_total: MIB, file_each: 256 * KIB, file_total: 256 * KIB };
    installation.write_operator_file(limits, 256 * KIB, "refuse");
    let mut node = installation.start();
    for (length, status) in [(100 * KIB, 200), (250 * KIB, 503)] {
        for chunked in [false, true] {
            let id = format!("q-{length}-{chunked}");
            let mut request = TestRequest::new(&id, "fee-charge", sample_bytes(length, 1));
            request.chunked = chunked;
            let response = request.send(&node.address).expect("the request is answered");
            assert_eq!(response.status, status, "{id}");
            assert_eq!(response.retry_after, (status == 503).then_some(2.0));
            assert!(response.elapsed < Duration::from_millis(700));
            assert_eq!(installation.workers.executions_of(&id).len(), usize::from(status == 200), "{id}");
        }
    }
    assert_eq!((node.counter("body_budget_exhausted"), node.counter("rejected")), (2, 2));
}

/// A body that is too long must be answered with 413 at once: by its `Content-Length`, or as soon as its
/// chunks exceed the limit.
#[test]
fn a_body_that_is_too_long_is_answered_at_once() {
    let _running_alone = run_alone();
    let installation = Installation::new("long", 1);
    installation.write_operator_file(BodyLimits::DEFAULT, MIB, "stream");
    let mut node = installation.start();
    let mut stream = TcpStream::connect(&node.address).expect("the node accepts the connection");
    let head =
        TestRequest::new("q-1", "fee-charge", Vec::new()).head().replace("Length: 0", "Length: 1048577");
    stream.write_all(head.as_bytes()).expect("the node reads the bytes");
    let response = TestResponse::read(&mut stream, Instant::now()).expect("the request is answered");
    assert_eq!(response.status, 413);
    let mut request = TestRequest::new("q-2", "fee-charge", sample_bytes(2 * MIB, 1));
    request.chunked = true;
    // The client is still sending when the node answers. A close with unread bytes would reset the connection
    // and could lose the answer, so the node reads on for a while before it closes.
    assert!(request.send(&node.address).is_ok_and(|response| response.status == 413));
    thread::sleep(Duration::from_millis(50));
    assert_eq!(installation.workers.executed_requests(), []);
    assert_eq!(node.counter("body_too_large"), 2);
}

/// A request with `Expect: 100-continue` must get 100 if its body is accepted, and otherwise only its answer:
/// 413 if the body is too long, 503 if it can't be stored.
#[test]
fn expect_continue_is_answered_with_100_only_if_the_body_is_accepted() {
    let _running_alone = run_alone();
    let installation = Installation::new("expect", 1);
    installation.write_operator_file(BodyLimits::DEFAULT, MIB, "stream");
    let mut node = installation.start();
    for length in [4 * KIB, 100 * KIB, 400 * KIB] {
        let body = sample_bytes(length, 5);
        let mut request = TestRequest::new(&format!("q-{length}"), "fee-charge", body.clone());
        request.expect_continue = true;
        let response = request.send(&node.address).expect("the request is answered");
        assert_eq!((response.status, response.body), (200, job_result(&body)), "{length}");
    }
    installation.write_operator_file(BodyLimits::DEFAULT, MIB, "refuse");
    installation.scratch.write(
        "operator.json",
        &std::fs::read_to_string(installation.scratch.path("operator.json"))
            .expect("the file can be read")
            .replace("\"largest_bytes\":1048576", "\"largest_bytes\":262144")
            .replace("\"total_bytes\":67108864", "\"total_bytes\":262144"),
    );
    node.signal("HUP");
    node.wait_for_log_line("configuration reloaded");
    for (length, status) in [(2 * MIB, 413), (250 * KIB, 503)] {
        let mut request = TestRequest::new("q-long", "fee-charge", sample_bytes(length, 5));
        request.expect_continue = true;
        assert_eq!(request.send(&node.address).expect("the request is answered").status, status);
    }
    assert_eq!(installation.workers.executed_requests().len(), 3);
}
