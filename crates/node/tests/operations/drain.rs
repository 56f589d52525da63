//! Drain and resume.

use crate::node::{connect, read_to_end, request, start};
use sorrelhaven_test_support::{FakeWorkers, Program, WorkerBehavior};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// The answer to a readiness probe.
fn probe_ready(node: &Program) -> String {
    let mut stream = connect(node);
    stream
        .write_all(b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        .expect("the bytes are written");
    read_to_end(&mut stream)
}

/// Whether the node has served the request and closes the connection.
fn is_served_and_closed(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200 ") && response.contains("\r\nConnection: close\r\n")
}

/// A drain answers requests that have begun and closes their connections, closes idle connections in time,
/// and lets a long job go on; `resume` takes effect at once.
#[test]
fn a_drain_closes_every_client_connection_and_resume_accepts_again() {
    let workers = FakeWorkers::new(1);
    workers.script(&[WorkerBehavior::Done, WorkerBehavior::DoneAfterMillis(4_500)]);
    let (node, _scratch) = start(&workers, "drain");
    assert_eq!(node.admin_command("ready"), "SUCCESS serving\n");
    assert!(probe_ready(&node).starts_with("HTTP/1.1 200 "));
    let mut idle = connect(&node);
    assert_eq!(request("idle").send_on(&mut idle).expect("the request is answered").status, 200);
    let mut used = idle.try_clone().expect("the socket can be set up");
    let mut silent = connect(&node);
    let address = node.address.clone();
    let long = thread::spawn(move || request("long").send(&address).expect("the request is answered"));
    while node.metric("node_in_progress") == 0 {
        thread::yield_now();
    }
    let mut pieces = connect(&node);
    let text = request("pieces").head() + "body";
    pieces.write_all(&text.as_bytes()[..40]).expect("the bytes are written");

    let begun = Instant::now();
    assert_eq!(node.admin_command("drain"), "SUCCESS drained\n");
    assert_eq!(node.admin_command("ready"), "FAILURE drained\n");
    assert_eq!(node.admin_command("drain"), "SUCCESS drained already\n");
    assert!(probe_ready(&node).starts_with("HTTP/1.1 503 "), "the probe fails at once");
    // A client that connects before the load balancer has seen the probe fail is served, and its connection
    // closed.
    let mut late = connect(&node);
    late.write_all((request("late").head() + "body").as_bytes()).expect("the bytes are written");
    let received = read_to_end(&mut late);
    assert!(is_served_and_closed(&received), "{received}");
    // So is one whose request was half read, and one that uses its open connection.
    pieces.write_all(&text.as_bytes()[40..]).expect("the bytes are written");
    let received = read_to_end(&mut pieces);
    assert!(is_served_and_closed(&received), "{received}");
    assert_eq!(request("used").send_on(&mut used).expect("the request is answered").status, 200);
    assert_eq!(read_to_end(&mut idle), "");
    // A silent connection is closed without an answer, before a job on it would count as late.
    assert_eq!(read_to_end(&mut silent), "");
    let ended = begun.elapsed();
    assert!(ended >= Duration::from_secs(1) && ended < Duration::from_secs(2), "{ended:?}");
    assert_eq!(node.metric("node_in_progress"), 1, "the long job goes on");

    assert_eq!(node.admin_command("resume"), "SUCCESS serving\n");
    assert!(probe_ready(&node).starts_with("HTTP/1.1 200 "));
    let mut again = connect(&node);
    for id in ["again-1", "again-2"] {
        assert_eq!(request(id).send_on(&mut again).expect("the connection stays").status, 200);
    }
    assert_eq!(long.join().expect("the client ends").status, 200);
    assert_eq!(node.metric("node_passed"), 7);
    assert_eq!(node.metric("node_upstream_tries"), 7);
    node.terminate();
}

/// The node does not wait for a half-read request until its job would count as late.
#[test]
fn a_request_that_stalls_ends_with_the_drain() {
    let workers = FakeWorkers::new(1);
    let (node, _scratch) = start(&workers, "stall");
    let mut served = connect(&node);
    assert_eq!(request("first").send_on(&mut served).expect("the request is answered").status, 200);
    let begun = Instant::now();
    node.admin_command("drain");
    // Late enough that the request's own time limit would end after the drain's.
    thread::sleep(Duration::from_millis(900));
    let (head, body) = (request("head").head(), request("body").head());
    let mut stalled = connect(&node);
    stalled.write_all(&head.as_bytes()[..head.len() - 9]).expect("the bytes are written");
    served.write_all((body + "bo").as_bytes()).expect("the bytes are written");
    for connection in [&mut stalled, &mut served] {
        assert!(read_to_end(connection).starts_with("HTTP/1.1 408 "));
    }
    assert!(begun.elapsed() < Duration::from_millis(2_600), "{:?}", begun.elapsed());
    assert!(workers.executions_of("head").is_empty() && workers.executions_of("body").is_empty());
    node.terminate();
}

/// Signals during a drain: a reload does not end it; SIGTERM ends the node, and admitted requests are
/// answered.
#[test]
fn a_drain_survives_a_reload_and_sigterm_ends_the_node() {
    let workers = FakeWorkers::new(1);
    workers.script(&[WorkerBehavior::DoneAfterMillis(1_500)]);
    let (mut node, _scratch) = start(&workers, "drain-term");
    let address = node.address.clone();
    let long = thread::spawn(move || request("long").send(&address).expect("the request is answered"));
    while node.metric("node_in_progress") == 0 {
        thread::yield_now();
    }
    node.admin_command("drain");
    node.signal("HUP");
    node.wait_for_log_line("configuration reloaded");
    assert_eq!(node.admin_command("ready"), "FAILURE drained\n");
    node.signal("TERM");
    node.wait_for_log_line("shutdown requested");
    assert_eq!(node.admin_command("resume"), "FAILURE stopping\n");
    assert_eq!(node.admin_command("drain"), "SUCCESS stopping, it empties for good\n");
    assert_eq!(node.admin_command("ready"), "FAILURE stopping\n");
    assert_eq!(long.join().expect("the client ends").status, 200);
    assert!(node.child.wait().expect("the program ends").success());
}
