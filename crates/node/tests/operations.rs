//! What the staff do with a node that runs: call, look, drain it and take clients again.

use sorrelhaven_test_support::{
    FakeWorkers, Program, ScratchDir, TestRequest, WorkerBehavior, workers_config,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

fn start(boxes: &FakeWorkers, name: &str) -> (Program, ScratchDir) {
    let scratch = ScratchDir::new(name);
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.env("RELAY_OPS", "127.0.0.1:0");
    (Program::start(command, &scratch.write("node.json", &workers_config(&boxes.addresses)), None), scratch)
}

fn ask(id: &str) -> TestRequest {
    TestRequest::new(id, "fee-charge", b"body".to_vec())
}

fn connect(node: &Program) -> TcpStream {
    let stream = TcpStream::connect(&node.address).expect("it listens");
    stream.set_nodelay(true).expect("a socket");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket");
    stream
}

/// Everything that comes until the node ends the link; a reset is an end, too.
fn rest(stream: &mut TcpStream) -> String {
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    String::from_utf8_lossy(&got).into_owned()
}

fn health(node: &Program) -> String {
    let mut stream = connect(node);
    stream.write_all(b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n").expect("it is written");
    rest(&mut stream)
}

/// Every kind of client link through a drain: what has begun is answered and sent away, what idles ends in time, a
/// long job lives on; and `resume` is heard at once.
#[test]
fn a_drain_empties_every_kind_of_link_and_resume_takes_clients_again() {
    let boxes = FakeWorkers::new(1);
    boxes.script(&[WorkerBehavior::Done, WorkerBehavior::Takes(4_500)]);
    let (node, _scratch) = start(&boxes, "drain");
    assert_eq!(node.call("ready"), "SUCCESS serving\n");
    assert!(health(&node).starts_with("HTTP/1.1 200 "));
    let mut idle = connect(&node);
    assert_eq!(ask("idle").send_on(&mut idle).expect("an answer").status, 200);
    let mut used = idle.try_clone().expect("a socket");
    let mut silent = connect(&node);
    let address = node.address.clone();
    let long = thread::spawn(move || ask("long").send(&address).expect("an answer"));
    while node.shown("node_in_progress") == 0 {
        thread::yield_now();
    }
    let mut pieces = connect(&node);
    let text = ask("pieces").head() + "body";
    pieces.write_all(&text.as_bytes()[..40]).expect("it is written");

    let begun = Instant::now();
    assert_eq!(node.call("drain"), "SUCCESS drained\n");
    assert_eq!(node.call("ready"), "FAILURE drained\n");
    assert_eq!(node.call("drain"), "SUCCESS drained already\n");
    assert!(health(&node).starts_with("HTTP/1.1 503 "), "the front hears it at once");
    // A client that comes before the front has heard is served, and sent away.
    let mut late = connect(&node);
    late.write_all((ask("late").head() + "body").as_bytes()).expect("it is written");
    let got = rest(&mut late);
    assert!(got.starts_with("HTTP/1.1 200 ") && got.contains("\r\nConnection: close\r\n"), "{got}");
    // So is one whose request was on its way in pieces, and one that uses its open link.
    pieces.write_all(&text.as_bytes()[40..]).expect("it is written");
    let got = rest(&mut pieces);
    assert!(got.starts_with("HTTP/1.1 200 ") && got.contains("\r\nConnection: close\r\n"), "{got}");
    assert_eq!(ask("used").send_on(&mut used).expect("an answer").status, 200);
    assert_eq!(rest(&mut idle), "");
    // What says nothing ends without a word, and before a job on it would count as one that came late.
    assert_eq!(rest(&mut silent), "");
    let ended = begun.elapsed();
    assert!(ended >= Duration::from_secs(1) && ended < Duration::from_secs(2), "{ended:?}");
    assert_eq!(node.shown("node_in_progress"), 1, "the long job goes on");

    assert_eq!(node.call("resume"), "SUCCESS serving\n");
    assert!(health(&node).starts_with("HTTP/1.1 200 "));
    let mut again = connect(&node);
    for id in ["again-1", "again-2"] {
        assert_eq!(ask(id).send_on(&mut again).expect("a link that stays").status, 200);
    }
    assert_eq!(long.join().expect("a client").status, 200);
    assert_eq!(node.shown("node_passed"), 7);
    assert_eq!(node.shown("node_upstream_tries"), 7);
    node.end();
}

/// A request that is begun and does not come on is not waited for until its job would count as late.
#[test]
fn a_request_that_stalls_ends_with_the_drain() {
    let boxes = FakeWorkers::new(1);
    let (node, _scratch) = start(&boxes, "stall");
    let mut served = connect(&node);
    assert_eq!(ask("first").send_on(&mut served).expect("an answer").status, 200);
    let begun = Instant::now();
    node.call("drain");
    // Begun late enough that its own time would end after the drain's.
    thread::sleep(Duration::from_millis(900));
    let (head, body) = (ask("head").head(), ask("body").head());
    let mut stalled = connect(&node);
    stalled.write_all(&head.as_bytes()[..head.len() - 9]).expect("it is written");
    served.write_all((body + "bo").as_bytes()).expect("it is written");
    for link in [&mut stalled, &mut served] {
        assert!(rest(link).starts_with("HTTP/1.1 408 "));
    }
    assert!(begun.elapsed() < Duration::from_millis(2_600), "{:?}", begun.elapsed());
    assert!(boxes.runs_of("head").is_empty() && boxes.runs_of("body").is_empty());
    node.end();
}

/// Signals in the midst of a drain: a reload does not end it, SIGTERM ends the node and all that was taken is answered.
#[test]
fn a_drain_lives_through_a_reload_and_a_term_signal_ends_it() {
    let boxes = FakeWorkers::new(1);
    boxes.script(&[WorkerBehavior::Takes(1_500)]);
    let (mut node, _scratch) = start(&boxes, "drain-term");
    let address = node.address.clone();
    let long = thread::spawn(move || ask("long").send(&address).expect("an answer"));
    while node.shown("node_in_progress") == 0 {
        thread::yield_now();
    }
    node.call("drain");
    node.signal("HUP");
    node.line("configuration reloaded");
    assert_eq!(node.call("ready"), "FAILURE drained\n");
    node.signal("TERM");
    node.line("shutdown requested");
    assert_eq!(node.call("resume"), "FAILURE stopping\n");
    assert_eq!(node.call("drain"), "SUCCESS stopping, it empties for good\n");
    assert_eq!(node.call("ready"), "FAILURE stopping\n");
    assert_eq!(long.join().expect("a client").status, 200);
    assert!(node.child.wait().expect("it ends").success());
}

/// Tells the clients to stop when dropped.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A crowd that holds the operators' address without a whole call, beside a full load of clients: the next call is
/// answered while the crowd still has its time.
#[test]
fn a_crowd_of_silent_callers_does_not_keep_an_operator_waiting() {
    let boxes = FakeWorkers::new(2);
    boxes.usual(WorkerBehavior::Takes(2));
    let (node, _scratch) = start(&boxes, "crowd");
    let (stop, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        for client in 0..16 {
            let (stop, sent, address) = (&stop, &sent, &node.address);
            scope.spawn(move || {
                let mut stream = TcpStream::connect(address).expect("it listens");
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let reply = ask(&format!("q-{client}-{n}")).send_on(&mut stream);
                    sent.fetch_add(u64::from(reply.is_ok()), Ordering::Relaxed);
                }
            });
        }
        // However this ends, the clients end too.
        let ends = Ends(&stop);
        while sent.load(Ordering::Relaxed) < 100 {
            thread::yield_now();
        }
        let crowd: Vec<TcpStream> = (0..64)
            .map(|i| {
                let mut caller = TcpStream::connect(&node.ops).expect("it listens");
                caller.write_all(&b"show-stat"[..i % 9]).expect("it is written");
                caller
            })
            .collect();
        let begun = Instant::now();
        let metrics = node.call("show-stat");
        let took = begun.elapsed();
        assert!(
            metrics.contains("node_passed{category=\"fee-charge\"}") && metrics.ends_with("\nEOT\n"),
            "{metrics}"
        );
        assert!(took < Duration::from_secs(1), "{took:?}");
        drop((crowd, ends));
    });
    assert!(sent.load(Ordering::Relaxed) >= 100);
    node.end();
}

/// Lines in pieces, no call, no line, no end, no text, and a caller that never reads: each has its answer or its end.
#[test]
fn every_odd_caller_has_its_answer_or_its_end() {
    let boxes = FakeWorkers::new(1);
    let (node, _scratch) = start(&boxes, "odd-callers");
    let call = || TcpStream::connect(&node.ops).expect("it listens");
    let mut pieces = call();
    pieces.set_nodelay(true).expect("a socket");
    for piece in ["sh", "ow-st", "at", "\r\n"] {
        pieces.write_all(piece.as_bytes()).expect("it is written");
        // Another caller in between: each has its own line.
        assert_eq!(node.call("ready"), "SUCCESS serving\n");
    }
    assert!(rest(&mut pieces).ends_with("\nEOT\n"));
    assert!(node.call("help").starts_with("FAILURE unknown call \"help\"; there are ready,"));
    assert!(node.call("").starts_with("FAILURE unknown call \"\""));
    assert!(node.call(&"x".repeat(100_000)).starts_with("FAILURE a call holds at most 256 bytes"));
    let mut odd = call();
    odd.write_all(b"\xff\x00\xfe\n").expect("it is written");
    assert!(rest(&mut odd).starts_with("FAILURE unknown call"));
    let mut unended = call();
    unended.write_all(b"ready").expect("it is written");
    unended.shutdown(Shutdown::Write).expect("a socket");
    assert_eq!(rest(&mut unended), "SUCCESS serving\n", "the end of the sending ends the line");
    let never: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut never = call();
            never.write_all(b"show-stat\n").expect("it is written");
            never
        })
        .collect();
    assert_eq!(node.call("ready"), "SUCCESS serving\n");
    drop(never);
    let mut gone = call();
    gone.shutdown(Shutdown::Both).expect("a socket");
    assert_eq!(rest(&mut gone), "");
    let mut silent = call();
    silent.write_all(b"rea").expect("it is written");
    assert_eq!(rest(&mut silent), "FAILURE the call did not come whole in time\n");
    node.end();
}

/// A descriptor that is none to listen on, an address that is none: the start ends with a line that names the key.
#[test]
fn a_faulty_address_or_descriptor_is_named() {
    let scratch = ScratchDir::new("ops-faults");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = taken.local_addr().expect("its address").to_string();
    let cases = [
        ("RELAY_OPS", "here", "RELAY_OPS: \"here\" is not an address with a port"),
        ("RELAY_OPS", taken.as_str(), "ops: 127.0.0.1:"),
        ("RELAY_FD", "five", "RELAY_FD: \"five\" is not the number of a descriptor"),
        ("RELAY_FD", "987", "RELAY_FD: descriptor 987 is not open"),
        ("RELAY_FD", "0", "RELAY_FD: descriptor 0 is not one that a program is handed"),
    ];
    let config = scratch.write("node.json", &workers_config(&["127.0.0.1:1".parse().expect("an address")]));
    for (name, value, fault) in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        command.env_remove("RELAY_OPS").env_remove("RELAY_FD").env("RUST_LOG", "off");
        let output = command.env("RELAY_CONFIG", &config).env(name, value).output().expect("it ends");
        let log = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert!(log.starts_with(&format!("sorrelhaven: {fault}")) && log.lines().count() == 1, "{log}");
    }
}
