//! Retries, by where the body is stored and how the first attempt ended.

use crate::installation::{BodyLimits, Installation, KIB, MIB, SOCKET_TIMEOUT_SLACK, job_result, run_alone};
use sorrelhaven_test_support::{TestRequest, WorkerBehavior, sample_bytes, workers_config};
use std::net::TcpListener;
use std::time::Duration;

/// A `licence-issue` request has a body of 8 MiB, which is stored in a file. The first worker resets the
/// connection after the last byte; the retry must send the same bytes to another worker.
#[test]
fn a_long_body_is_retried_from_its_file() {
    let _running_alone = run_alone();
    let installation = Installation::new("again", 2);
    let limits = BodyLimits {
        memory_each: 64 * KIB,
        memory_total: 8 * MIB,
        file_each: 16 * MIB,
        file_total: 64 * MIB,
    };
    installation.write_operator_file(limits, 16 * MIB, "stream");
    let mut node = installation.start();
    installation.workers.script(&[WorkerBehavior::ResetAfterBody]);
    let body = sample_bytes(8 * MIB, 3);
    for chunked in [false, true] {
        let mut request =
            TestRequest::new(if chunked { "q-2" } else { "q-1" }, "licence-issue", body.clone());
        request.chunked = chunked;
        let response = request.send(&node.address).expect("the request is answered");
        assert_eq!((response.status, response.body), (200, job_result(&body)));
    }
    let runs = installation.workers.executions_of("q-1");
    assert!(
        runs.len() == 2 && runs[0].worker != runs[1].worker && runs[0].body_checksum == runs[1].body_checksum,
        "{runs:?}"
    );
    assert_eq!(
        (node.counter("body_in_file"), node.counter("file_bytes")),
        (2, 0),
        "a body was not stored in a file, or its file was not freed"
    );
    assert_eq!(
        installation.scratch.file_names("spool"),
        [""; 0],
        "a body file still has a name in the directory"
    );
}

/// A `fee-charge` request whose body is not stored, with each way in which a worker can end an attempt. There
/// must be at most one run and one answer, at once unless the worker is silent, and a rejection only without
/// a run.
#[test]
fn an_at_most_once_request_without_a_stored_body_runs_at_most_once() {
    let _running_alone = run_alone();
    let cases = [
        (WorkerBehavior::Done, "ok", 200),
        (WorkerBehavior::Failed, "error", 502),
        (WorkerBehavior::Malformed, "error", 502),
        (WorkerBehavior::WrongRequestId, "error", 502),
        (WorkerBehavior::ResponseTooLarge, "error", 502),
        (WorkerBehavior::Rejected, "worker_rejected", 503),
        (WorkerBehavior::RejectedBeforeBody, "worker_rejected", 503),
        (WorkerBehavior::InvalidRequest, "invalid_request", 502),
        (WorkerBehavior::Killed, "reset", 502),
        (WorkerBehavior::ResetAfterBody, "reset", 502),
        (WorkerBehavior::Truncated, "reset", 502),
        (WorkerBehavior::ResetDuringBody, "connect_failed", 503),
        (WorkerBehavior::StopsReading, "connect_failed", 503),
        (WorkerBehavior::Silent, "timeout", 502),
    ];
    // Longer than the system's socket buffers, so that the node is still sending when the worker resets.
    let body = sample_bytes(12 * MIB, 7);
    for (behavior, outcome, status) in cases {
        let installation = Installation::new("payment", 2);
        let limits = BodyLimits {
            memory_each: 16 * KIB,
            memory_total: 8 * MIB,
            file_each: 16 * KIB,
            file_total: 8 * MIB,
        };
        installation.write_operator_file(limits, 40 * MIB, "stream");
        let mut node = installation.start();
        installation.workers.script(&[behavior]);
        let mut request = TestRequest::new("q-1", "fee-charge", body.clone());
        let is_silent = matches!(behavior, WorkerBehavior::Silent | WorkerBehavior::StopsReading);
        request.timeout = Duration::from_millis(if is_silent { 1_500 } else { 8_000 });
        let response = request.send(&node.address).expect("the request is answered");
        assert_eq!(response.status, status, "{behavior:?}");
        assert!(
            response.elapsed < request.timeout + SOCKET_TIMEOUT_SLACK
                && (is_silent || response.elapsed < Duration::from_secs(2)),
            "{behavior:?}"
        );
        assert_eq!((node.counter("attempts"), node.counter(outcome)), (1, 1), "{behavior:?}: {outcome}");
        let runs = installation.workers.executions_of("q-1").len();
        assert!(runs <= 1 && (status != 503 || runs == 0), "{behavior:?}: {runs} runs");
    }
}

/// A worker rejects the request when it has read only the head. The node must receive the rejection although
/// it is still sending the body, and send the stored body to another worker.
#[test]
fn a_worker_that_rejects_before_the_body_is_retried_elsewhere() {
    let _running_alone = run_alone();
    let installation = Installation::new("early", 2);
    let limits =
        BodyLimits { memory_each: MIB, memory_total: 8 * MIB, file_each: 16 * MIB, file_total: 64 * MIB };
    installation.write_operator_file(limits, 16 * MIB, "stream");
    let mut node = installation.start();
    installation.workers.script(&[WorkerBehavior::RejectedBeforeBody]);
    let body = sample_bytes(12 * MIB, 1);
    let response = TestRequest::new("q-1", "fee-charge", body.clone())
        .send(&node.address)
        .expect("the request is answered");
    assert_eq!((response.status, response.body), (200, job_result(&body)));
    assert_eq!((node.counter("worker_rejected"), node.counter("connect_failed")), (1, 0));
    assert_eq!(installation.workers.executions_of("q-1").len(), 1);
}

/// A refused connection consumes no byte of the body, so another worker must be tried even if the body is not
/// stored.
#[test]
fn a_body_that_is_not_stored_is_retried_until_a_byte_is_consumed() {
    let _running_alone = run_alone();
    let installation = Installation::new("elsewhere", 1);
    let closed =
        TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port is free");
    installation.scratch.write("node.json", &workers_config(&[closed, installation.workers.addresses[0]]));
    installation.write_operator_file(BodyLimits::DEFAULT, MIB, "stream");
    let node = installation.start();
    for number in 0..12 {
        let body = sample_bytes(400 * KIB, number);
        let mut request = TestRequest::new(&format!("q-{number}"), "fee-charge", body.clone());
        request.chunked = number % 2 == 1;
        let response = request.send(&node.address).expect("the request is answered");
        assert_eq!((response.status, response.body), (200, job_result(&body)), "request {number}");
    }
}
