//! Operating a running node: admin calls, metrics, drain and resume.

use sorrelhaven_test_support::{
    FakeWorkers, Program, ScratchDir, TestRequest, WorkerBehavior, workers_config,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

fn start(workers: &FakeWorkers, name: &str) -> (Program, ScratchDir) {
    let scratch = ScratchDir::new(name);
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.env("RELAY_OPS", "127.0.0.1:0");
    (Program::start(command, &scratch.write("node.json", &workers_config(&workers.addresses)), None), scratch)
}

fn request(id: &str) -> TestRequest {
    TestRequest::new(id, "fee-charge", b"body".to_vec())
}

fn connect(node: &Program) -> TcpStream {
    let stream = TcpStream::connect(&node.address).expect("the node accepts");
    stream.set_nodelay(true).expect("the socket can be set up");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the socket can be set up");
    stream
}

/// Reads until the node ends the connection, in order or by a reset.
fn read_to_end(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

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
    assert_eq!(node.admin_call("ready"), "SUCCESS serving\n");
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
    assert_eq!(node.admin_call("drain"), "SUCCESS drained\n");
    assert_eq!(node.admin_call("ready"), "FAILURE drained\n");
    assert_eq!(node.admin_call("drain"), "SUCCESS drained already\n");
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

    assert_eq!(node.admin_call("resume"), "SUCCESS serving\n");
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
    node.admin_call("drain");
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
    node.admin_call("drain");
    node.signal("HUP");
    node.wait_for_log_line("configuration reloaded");
    assert_eq!(node.admin_call("ready"), "FAILURE drained\n");
    node.signal("TERM");
    node.wait_for_log_line("shutdown requested");
    assert_eq!(node.admin_call("resume"), "FAILURE stopping\n");
    assert_eq!(node.admin_call("drain"), "SUCCESS stopping, it empties for good\n");
    assert_eq!(node.admin_call("ready"), "FAILURE stopping\n");
    assert_eq!(long.join().expect("the client ends").status, 200);
    assert!(node.child.wait().expect("the program ends").success());
}

/// Stops the clients when dropped.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Many incomplete admin calls beside a full load of clients: the next call is answered before the others
/// time out.
#[test]
fn silent_admin_callers_delay_no_other_call() {
    let workers = FakeWorkers::new(2);
    workers.set_default_behavior(WorkerBehavior::DoneAfterMillis(2));
    let (node, _scratch) = start(&workers, "crowd");
    let (stop, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        for client in 0..16 {
            let (stop, sent, address) = (&stop, &sent, &node.address);
            scope.spawn(move || {
                let mut stream = TcpStream::connect(address).expect("the node accepts");
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let response = request(&format!("q-{client}-{number}")).send_on(&mut stream);
                    sent.fetch_add(u64::from(response.is_ok()), Ordering::Relaxed);
                }
            });
        }
        // The clients end also if an assertion fails.
        let stop_on_drop = StopOnDrop(&stop);
        while sent.load(Ordering::Relaxed) < 100 {
            thread::yield_now();
        }
        let silent_callers: Vec<TcpStream> = (0..64)
            .map(|number| {
                let mut caller = TcpStream::connect(&node.admin_address).expect("the node accepts");
                caller.write_all(&b"show-stat"[..number % 9]).expect("the bytes are written");
                caller
            })
            .collect();
        let begun = Instant::now();
        let metrics = node.admin_call("show-stat");
        let elapsed = begun.elapsed();
        assert!(
            metrics.contains("node_passed{category=\"fee-charge\"}") && metrics.ends_with("\nEOT\n"),
            "{metrics}"
        );
        assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
        drop((silent_callers, stop_on_drop));
    });
    assert!(sent.load(Ordering::Relaxed) >= 100);
    node.terminate();
}

/// Admin calls in pieces, unknown, empty, too long, not text, without a line end, and never read: each caller
/// gets an answer or a close.
#[test]
fn every_malformed_admin_call_gets_an_answer_or_a_close() {
    let workers = FakeWorkers::new(1);
    let (node, _scratch) = start(&workers, "odd-callers");
    let connect_admin = || TcpStream::connect(&node.admin_address).expect("the node accepts");
    let mut pieces = connect_admin();
    pieces.set_nodelay(true).expect("the socket can be set up");
    for piece in ["sh", "ow-st", "at", "\r\n"] {
        pieces.write_all(piece.as_bytes()).expect("the bytes are written");
        // Another caller in between does not disturb the line.
        assert_eq!(node.admin_call("ready"), "SUCCESS serving\n");
    }
    assert!(read_to_end(&mut pieces).ends_with("\nEOT\n"));
    assert!(node.admin_call("help").starts_with("FAILURE unknown call \"help\"; there are ready,"));
    assert!(node.admin_call("").starts_with("FAILURE unknown call \"\""));
    assert!(node.admin_call(&"x".repeat(100_000)).starts_with("FAILURE a call holds at most 256 bytes"));
    let mut binary = connect_admin();
    binary.write_all(b"\xff\x00\xfe\n").expect("the bytes are written");
    assert!(read_to_end(&mut binary).starts_with("FAILURE unknown call"));
    let mut unended = connect_admin();
    unended.write_all(b"ready").expect("the bytes are written");
    unended.shutdown(Shutdown::Write).expect("the socket can be set up");
    assert_eq!(read_to_end(&mut unended), "SUCCESS serving\n", "a half-close ends the line");
    let unread: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut caller = connect_admin();
            caller.write_all(b"show-stat\n").expect("the bytes are written");
            caller
        })
        .collect();
    assert_eq!(node.admin_call("ready"), "SUCCESS serving\n");
    drop(unread);
    let mut gone = connect_admin();
    gone.shutdown(Shutdown::Both).expect("the socket can be set up");
    assert_eq!(read_to_end(&mut gone), "");
    let mut silent = connect_admin();
    silent.write_all(b"rea").expect("the bytes are written");
    assert_eq!(read_to_end(&mut silent), "FAILURE the call did not come whole in time\n");
    node.terminate();
}

/// With an invalid descriptor or address the program does not start, and prints a line that names the key.
#[test]
fn an_invalid_address_or_descriptor_is_named_by_its_key() {
    let scratch = ScratchDir::new("ops-faults");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let taken = taken.local_addr().expect("the listener has an address").to_string();
    let cases = [
        ("RELAY_OPS", "here", "RELAY_OPS: \"here\" is not an address with a port"),
        ("RELAY_OPS", taken.as_str(), "ops: 127.0.0.1:"),
        ("RELAY_FD", "five", "RELAY_FD: \"five\" is not the number of a descriptor"),
        ("RELAY_FD", "987", "RELAY_FD: descriptor 987 is not open"),
        ("RELAY_FD", "0", "RELAY_FD: descriptor 0 is not one that a program is handed"),
    ];
    let config = scratch
        .write("node.json", &workers_config(&["127.0.0.1:1".parse().expect("the text is an address")]));
    for (name, value, fault) in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        command.env_remove("RELAY_OPS").env_remove("RELAY_FD").env("RUST_LOG", "off");
        let output =
            command.env("RELAY_CONFIG", &config).env(name, value).output().expect("the program ends");
        let log = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert!(log.starts_with(&format!("sorrelhaven: {fault}")) && log.lines().count() == 1, "{log}");
    }
}
