//! What clients and workers receive for a request: answers, rejections, cancellation and duplicate ids.

use crate::node::{Node, config, line_chunk, open_worker, read_until};
use sorrelhaven_test_support::CHUNKED_RESPONSE_HEAD;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// After SIGTERM the node must answer admitted requests, still serve open connections for a while, and exit
/// with success.
#[test]
fn sigterm_lets_admitted_requests_finish() {
    let (listener, address) = open_worker();
    let mut node = Node::start(&config(&address, "at_most_once"), "term");
    let mut client = node.send_request("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the job is sent");
    let request = read_until(&mut job, "body");
    assert!(request.starts_with("POST /api?a=b HTTP/1.1\r\n"), "{request}");
    // The client's timeout begins when it sends the first packet of the new connection, and an answer after
    // the timeout is lost. The worker therefore gets a shorter timeout.
    let timeout = request.split("Request-Timeout: ").nth(1).and_then(|rest| rest.split("u\r\n").next());
    let timeout_micros: u64 =
        timeout.expect("the request has a timeout").parse().expect("the timeout is a number");
    assert!(timeout_micros <= 4_997_000, "{request}");
    assert!(
        request.contains("Request-Id: q-1\r\n") && request.contains("Idempotency-Key: k\r\n"),
        "{request}"
    );
    let started = line_chunk(r#"{"id":"q-1","state":"started"}"#);
    job.write_all((CHUNKED_RESPONSE_HEAD.to_string() + &started).as_bytes())
        .expect("the node reads the bytes");
    node.program.signal("USR1");
    let counters = node.program.wait_for_log_line("admitted=");
    assert!(counters.contains("admitted=1 served=0") && counters.contains("attempts=1 ok=0"), "{counters}");

    let mut idle = TcpStream::connect(&node.program.address).expect("the node accepts the connection");
    node.program.signal("TERM");
    node.program.wait_for_log_line("shutdown requested");
    idle.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").expect("an idle connection still serves");
    assert!(read_until(&mut idle, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
    assert_eq!(read_until(&mut idle, "never"), "", "the node sent more on the idle connection");
    let done = line_chunk(r#"{"id":"q-1","state":"done","result":"fine"}"#);
    job.write_all((done + "0\r\n\r\n").as_bytes()).expect("the node reads the bytes");
    let answer = read_until(&mut client, "\r\n\r\nfine");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n") && answer.contains("Connection: close"), "{answer}");
    let counters = node.program.wait_for_log_line("admitted=");
    assert!(counters.contains("admitted=1 served=1") && counters.contains("attempts=1 ok=1"), "{counters}");
    assert!(node.program.child.wait().expect("the program ends").success());
}

/// An at-most-once job whose connection is lost may have run: there must be no second attempt, and the answer
/// must be a failure without `Retry-After`.
#[test]
fn an_at_most_once_job_that_may_have_run_is_not_retried() {
    let (listener, address) = open_worker();
    let node = Node::start(&config(&address, "at_most_once"), "once");
    let mut client = node.send_request("fee", "1500m");
    let (mut job, _) = listener.accept().expect("the job is sent");
    read_until(&mut job, "body");
    drop(job);
    let answer = read_until(&mut client, "\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    assert!(!answer.contains("Retry-After"), "{answer}");
    listener.set_nonblocking(true).expect("the listener can be made non-blocking");
    assert!(listener.accept().is_err(), "the node made a second attempt");
}

/// A request that can't be served in time must be rejected at once with `Retry-After`, not at its deadline.
#[test]
fn a_rejection_is_sent_at_once_with_retry_after() {
    let (listener, address) = open_worker();
    drop(listener);
    let node = Node::start(&config(&address, "at_most_once"), "reject");
    let begun = Instant::now();
    let mut client = node.send_request("issue", "0m");
    let answer = read_until(&mut client, "\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: 2.000\r\n"), "{answer}");
    assert!(begun.elapsed() < Duration::from_secs(2));
}

/// When a client disconnects, the node must close the connection to the worker, so that the worker can end
/// the job.
#[test]
fn a_client_disconnect_cancels_the_attempt() {
    let (listener, address) = open_worker();
    let text = config(&address, "at_most_once").replace("\"maxAttempts\"", "\"cancel\":true,\"maxAttempts\"");
    let mut node = Node::start(&text, "leave");
    let client = node.send_request("issue", "60000m");
    let (mut job, _) = listener.accept().expect("the job is sent");
    read_until(&mut job, "body");
    drop(client);
    assert_eq!(
        read_until(&mut job, "never"),
        "",
        "the node sent more to the worker after the client's disconnect"
    );
    node.program.signal("USR1");
    let counters = node.program.wait_for_log_line("admitted=");
    assert!(counters.contains("client_gone=1") && counters.contains("cancelled=1"), "{counters}");
}

/// A second request with the id of one in progress must not reach a worker, which would reject it or confuse
/// the two.
#[test]
fn a_duplicate_of_an_id_in_progress_is_answered_with_409_and_the_first_goes_on() {
    let (listener, address) = open_worker();
    let node = Node::start(&config(&address, "at_most_once"), "again");
    let mut client = node.send_request("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the job is sent");
    read_until(&mut job, "body");
    for _ in 0..3 {
        let mut duplicate = node.send_request("fee", "5000m");
        assert!(read_until(&mut duplicate, "\r\n\r\n").starts_with("HTTP/1.1 409 "));
    }
    let done = CHUNKED_RESPONSE_HEAD.to_string()
        + &line_chunk(r#"{"id":"q-1","state":"done","result":"fine"}"#)
        + "0\r\n\r\n";
    job.write_all(done.as_bytes()).expect("the node reads the bytes");
    assert!(read_until(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    listener.set_nonblocking(true).expect("the listener can be made non-blocking");
    assert!(listener.accept().is_err(), "the node made a second attempt");
    // Once the first request is concluded its id is free.
    let mut client = node.send_request("issue", "0m");
    assert!(read_until(&mut client, "\r\n\r\n").starts_with("HTTP/1.1 503 "));
}
