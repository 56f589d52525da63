//! The admin commands `drain` and `resume`, and signals during a drain.

use crate::node::{connect, read_to_end, request, start};
use sorrelhaven_test_support::{FakeWorkers, Program, WorkerBehavior};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// The whole response to a readiness probe.
fn probe_ready(node: &Program) -> String {
    let mut stream = connect(node);
    stream
        .write_all(b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        .expect("the bytes are written");
    read_to_end(&mut stream)
}

/// Whether a response has the result of the request and announces that the node closes the connection.
fn is_served_and_closed(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200 ") && response.contains("\r\nConnection: close\r\n")
}

/// During a drain the node must answer requests that have begun and close their connections, close idle
/// connections after 1 to 2 s, and let a long job go on. `resume` must take effect at once.
#[test]
fn a_drain_closes_every_client_connection_and_resume_accepts_again() {
    let workers = FakeWorkers::new(1);
    workers.script(&[WorkerBehavior::Done, WorkerBehavior::DoneAfterMillis(4_500)]);
    let (node, _scratch) = start(&workers, "drain");
    assert_eq!(node.admin_command("ready"), "SUCCESS serving\n");
    assert!(probe_ready(&node).starts_with("HTTP/1.1 200 "));
    let mut idle = connect(&node);
    assert_eq!(request("idle").send_on(&mut idle).expect("the request is answered").status, 200);
    let mut used = idle.try_clone().expect("the socket can be duplicated");
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
    assert!(probe_ready(&node).starts_with("HTTP/1.1 503 "), "the readiness probe does not fail at once");
    // Until the load balancer's next probe has failed, clients still connect. They are served, and their
    // connections closed.
    let mut late = connect(&node);
    late.write_all((request("late").head() + "body").as_bytes()).expect("the bytes are written");
    let received = read_to_end(&mut late);
    assert!(is_served_and_closed(&received), "{received}");
    // The same holds for a client whose request was half read, and for a request on an open connection.
    pieces.write_all(&text.as_bytes()[40..]).expect("the bytes are written");
    let received = read_to_end(&mut pieces);
    assert!(is_served_and_closed(&received), "{received}");
    assert_eq!(request("used").send_on(&mut used).expect("the request is answered").status, 200);
    assert_eq!(read_to_end(&mut idle), "");
    // A connection that has sent nothing is closed without an answer, before a request that arrives on it
    // would count as late.
    assert_eq!(read_to_end(&mut silent), "");
    let idle_closed_after = begun.elapsed();
    assert!(
        idle_closed_after >= Duration::from_secs(1) && idle_closed_after < Duration::from_secs(2),
        "{idle_closed_after:?}"
    );
    assert_eq!(node.metric("node_in_progress"), 1, "the drain ended the long job");

    assert_eq!(node.admin_command("resume"), "SUCCESS serving\n");
    assert!(probe_ready(&node).starts_with("HTTP/1.1 200 "));
    let mut again = connect(&node);
    for id in ["again-1", "again-2"] {
        assert_eq!(request(id).send_on(&mut again).expect("the connection stays").status, 200);
    }
    assert_eq!(long.join().expect("the client thread does not panic").status, 200);
    assert_eq!(node.metric("node_passed"), 7);
    assert_eq!(node.metric("node_upstream_tries"), 7);
    node.terminate();
}

/// A request that arrives incomplete during a drain must get 408 at the drain's time limit: if the node
/// waited longer, the request would count as late.
#[test]
fn a_request_that_stalls_ends_with_the_drain() {
    let workers = FakeWorkers::new(1);
    let (node, _scratch) = start(&workers, "stall");
    let mut served = connect(&node);
    assert_eq!(request("first").send_on(&mut served).expect("the request is answered").status, 200);
    let begun = Instant::now();
    node.admin_command("drain");
    // After this pause the time limit of the request itself would end after that of the drain.
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

/// A reload must not end a drain. SIGTERM during a drain must end the node after admitted requests are
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
    assert_eq!(long.join().expect("the client thread does not panic").status, 200);
    assert!(node.child.wait().expect("the program ends").success());
}
