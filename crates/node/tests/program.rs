//! The program as an operator starts it: its configuration, its answers, its signals and its exit.

use sorrelhaven_test_support::{CHUNKED_RESPONSE_HEAD, Program, ScratchDir, chunk, open_listener};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::process::Command;
use std::time::{Duration, Instant};

/// The file of a node with one known worker and the classes `issue` (idempotent) and `fee`, with this effect.
fn config(worker: &str, effect: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","more":[1],
            "known":{{"seq":1,"hosts":[{{"host":"s-1","dial":"{worker}","health":"in_service"}}]}},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"retryAfter":true,"maxRetryAfter":2000000}},
                "invariants":{{}},"familyInfo":{{"tellsStart":true}},
                "grades":[{{"name":"issue","aim":200000,"deadline":5000000,"effect":"idempotent"}},
                    {{"name":"fee","aim":200000,"deadline":5000000,"effect":"{effect}","lateValue":0.5}}]}}}}"#
    )
}

/// A running program, with its file where a reload finds it.
struct Node {
    program: Program,
    scratch: ScratchDir,
}

impl Node {
    fn start(config: &str, name: &str) -> Node {
        Node::start_with(Command::new(env!("CARGO_BIN_EXE_sorrelhaven")), config, name)
    }

    fn start_with(command: Command, config: &str, name: &str) -> Node {
        let scratch = ScratchDir::new(name);
        let program = Program::start(command, &scratch.write("node.json", config), None);
        Node { program, scratch }
    }

    /// A client connection on which a request has been sent, always with the id `q-1`.
    fn send_request(&self, class: &str, timeout: &str) -> TcpStream {
        let mut stream = TcpStream::connect(&self.address).expect("the node accepts");
        let head = format!("POST /api?a=b HTTP/1.1\r\nRequest-Id: q-1\r\nRequest-Class: {class}\r\n");
        let rest =
            format!("Request-Timeout: {timeout}\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody");
        stream.write_all((head + &rest).as_bytes()).expect("the node reads");
        stream
    }
}

impl Deref for Node {
    type Target = Program;

    fn deref(&self) -> &Program {
        &self.program
    }
}

impl DerefMut for Node {
    fn deref_mut(&mut self) -> &mut Program {
        &mut self.program
    }
}

/// Reads up to and with the text `end`, or to the end of the connection.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut received = String::new();
    let mut byte = [0];
    while !received.ends_with(end) && stream.read(&mut byte).expect("the connection can be read") > 0 {
        received.push(byte[0] as char);
    }
    received
}

/// A listener in place of a worker, and its address.
fn open_worker() -> (TcpListener, String) {
    let (listener, address) = open_listener();
    (listener, address.to_string())
}

/// One line of a worker's response, as a chunk.
fn line_chunk(line: &str) -> String {
    chunk(&format!("{line}\n"))
}

#[test]
fn invalid_configuration_ends_the_program_with_one_line_that_names_the_key() {
    let valid = config("127.0.0.1:1", "at_most_once");
    let cases = [
        (config("127.0.0.1:1", "often"), "settings.grades[1].effect: unknown effect"),
        (config("nowhere", "at_most_once"), "known.hosts[0].dial: "),
        (valid.replace("\"seed\":\"1f\"", "\"seed\":\"xyz\""), "seed: "),
        (valid.replace("127.0.0.1:0", "here"), "listen: "),
        (valid.replace("\"maxAttempts\":3", "\"maxAttempts\":\"many\""), "settings.ceilings.maxAttempts: "),
        (valid.replace("\"balancers\":1,", ""), "settings: missing field `balancers`"),
        ("no json".to_string(), "RELAY_CONFIG: "),
    ];
    for (number, (text, message)) in cases.iter().enumerate() {
        let scratch = ScratchDir::new(&format!("bad{number}"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        let output =
            command.env("RELAY_CONFIG", scratch.write("node.json", text)).output().expect("the program ends");
        let log = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.starts_with(&format!("sorrelhaven: {message}")), "{log}");
    }
}

/// A planned restart: admitted requests are answered, clients may connect for a while, and the exit is clean.
#[test]
fn sigterm_lets_admitted_requests_finish() {
    let (listener, address) = open_worker();
    let mut node = Node::start(&config(&address, "at_most_once"), "term");
    let mut client = node.send_request("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the job is sent");
    let request = read_until(&mut job, "body");
    assert!(request.starts_with("POST /api?a=b HTTP/1.1\r\n"), "{request}");
    // The client's timeout starts when it sends, on a new connection with the first packet: an answer that is
    // sent after it is lost, so the worker gets less time.
    let timeout = request.split("Request-Timeout: ").nth(1).and_then(|rest| rest.split("u\r\n").next());
    let timeout_micros: u64 =
        timeout.expect("the request has a timeout").parse().expect("the timeout is a number");
    assert!(timeout_micros <= 4_997_000, "{request}");
    assert!(
        request.contains("Request-Id: q-1\r\n") && request.contains("Idempotency-Key: k\r\n"),
        "{request}"
    );
    let started = line_chunk(r#"{"id":"q-1","state":"started"}"#);
    job.write_all((CHUNKED_RESPONSE_HEAD.to_string() + &started).as_bytes()).expect("the node reads");
    node.signal("USR1");
    let counters = node.wait_for_log_line("admitted=");
    assert!(counters.contains("admitted=1 served=0") && counters.contains("attempts=1 ok=0"), "{counters}");

    let mut idle = TcpStream::connect(&node.address).expect("the node accepts");
    node.signal("TERM");
    node.wait_for_log_line("shutdown requested");
    idle.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").expect("an idle connection still serves");
    assert!(read_until(&mut idle, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
    assert_eq!(read_until(&mut idle, "never"), "", "the idle connection ends");
    let done = line_chunk(r#"{"id":"q-1","state":"done","result":"fine"}"#);
    job.write_all((done + "0\r\n\r\n").as_bytes()).expect("the node reads");
    let answer = read_until(&mut client, "\r\n\r\nfine");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n") && answer.contains("Connection: close"), "{answer}");
    let counters = node.wait_for_log_line("admitted=");
    assert!(counters.contains("admitted=1 served=1") && counters.contains("attempts=1 ok=1"), "{counters}");
    assert!(node.child.wait().expect("the program ends").success());
}

/// SIGHUP ends nothing: an invalid file is logged by its key and changes nothing, a valid one moves the watch
/// at once, known workers stay known, and admitted requests are finished, also with a SIGTERM right behind
/// it.
#[test]
fn a_reload_moves_the_watch_and_loses_no_request() {
    let (listener, address) = open_worker();
    let [(old_discovery, old_address), (new_discovery, new_address)] = [open_worker(), open_worker()];
    let text = config(&address, "at_most_once").replace("127.0.0.1:1\"", &format!("{old_address}\""));
    let mut node = Node::start(&text, "reload");
    let (mut watch, _) = old_discovery.accept().expect("the node polls discovery");
    assert!(read_until(&mut watch, "\r\n\r\n").starts_with("GET /registry/instances?watch=1&after=1 "));
    let mut client = node.send_request("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the job is sent");
    read_until(&mut job, "body");

    node.scratch.write("node.json", &text.replace("at_most_once", "often"));
    node.signal("HUP");
    let fault = node.wait_for_log_line("configuration unchanged");
    assert!(fault.contains("settings.grades[1].effect: unknown effect"), "{fault}");
    let moved = text.replace(&old_address, &new_address).replace("\"1f\"", "\"2f\"");
    node.scratch.write("node.json", &moved);
    node.signal("HUP");
    assert!(node.wait_for_log_line("restart required").contains("seed"));
    // Another discovery may count versions in another way, so it is polled for the full list.
    let (mut moved, _) = new_discovery.accept().expect("the node polls the new discovery");
    assert!(read_until(&mut moved, "\r\n\r\n").starts_with("GET /registry/instances HTTP/1.1\r\n"));
    assert_eq!(read_until(&mut watch, "never"), "", "the old watch ends");

    let head = CHUNKED_RESPONSE_HEAD.replace("OK", "OK\r\nConnection: close");
    let done = head + &line_chunk(r#"{"id":"q-1","state":"done","result":"fine"}"#) + "0\r\n\r\n";
    job.write_all(done.as_bytes()).expect("the node reads");
    assert!(read_until(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    let mut client = node.send_request("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the old list is in force");
    read_until(&mut job, "body");
    node.signal("HUP");
    node.signal("TERM");
    node.wait_for_log_line("shutdown requested");
    job.write_all(done.as_bytes()).expect("the node reads");
    assert!(read_until(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(node.child.wait().expect("the program ends").success());
}

/// An at-most-once job that may have run: one attempt, and a failure without `Retry-After`.
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
    listener.set_nonblocking(true).expect("the listener can be set up");
    assert!(listener.accept().is_err(), "no second attempt");
}

/// A request that can't be served in time is rejected at once, with `Retry-After`, and not at its deadline.
#[test]
fn a_rejection_is_sent_at_once_with_retry_after() {
    let (listener, address) = open_worker();
    drop(listener);
    let node = Node::start(&config(&address, "at_most_once"), "throttle");
    let begun = Instant::now();
    let mut client = node.send_request("issue", "0m");
    let answer = read_until(&mut client, "\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: 2.000\r\n"), "{answer}");
    assert!(begun.elapsed() < Duration::from_secs(2));
}

/// A client that disconnects frees its worker: the connection to it is closed.
#[test]
fn a_client_disconnect_cancels_the_attempt() {
    let (listener, address) = open_worker();
    let text = config(&address, "at_most_once").replace("\"maxAttempts\"", "\"cancel\":true,\"maxAttempts\"");
    let mut node = Node::start(&text, "leave");
    let client = node.send_request("issue", "60000m");
    let (mut job, _) = listener.accept().expect("the job is sent");
    read_until(&mut job, "body");
    drop(client);
    assert_eq!(read_until(&mut job, "never"), "", "the node ends the connection");
    node.signal("USR1");
    let counters = node.wait_for_log_line("admitted=");
    assert!(counters.contains("client_gone=1") && counters.contains("cancelled=1"), "{counters}");
}

/// The id of a request in progress must not reach a worker twice: the second would be rejected there, or
/// mixed up.
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
    job.write_all(done.as_bytes()).expect("the node reads");
    assert!(read_until(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    listener.set_nonblocking(true).expect("the listener can be set up");
    assert!(listener.accept().is_err(), "no second attempt");
    // Once the first request is concluded its id is free.
    let mut client = node.send_request("issue", "0m");
    assert!(read_until(&mut client, "\r\n\r\n").starts_with("HTTP/1.1 503 "));
}

/// A client that sends nothing, half a request or far too much gets an error or a close within 3 s of
/// connecting, and a connection that has served requests stays.
#[test]
fn an_incomplete_or_too_long_request_gets_an_error_or_a_close_within_three_seconds() {
    let node = Node::start(&config("127.0.0.1:1", "at_most_once"), "bad-client");
    let mut served = node.send_request("issue", "0m");
    assert!(read_until(&mut served, "\r\n\r\n").starts_with("HTTP/1.1 503 "));
    let head = "POST /api HTTP/1.1\r\nRequest-Id: r\r\nContent-Length: ";
    let long = format!("{head}60000000\r\nExpect: 100-continue\r\n\r\n");
    let half = format!("{head}9\r\n\r\nhalf");
    let cases = [("", ""), ("POST /ap", "HTTP/1.1 408 "), (&half, "HTTP/1.1 408 "), (&long, "HTTP/1.1 413 ")];
    let begun = Instant::now();
    let mut connections = open_silent_connections(&node, cases.len());
    for (connection, (text, _)) in connections.iter_mut().zip(cases) {
        connection.write_all(text.as_bytes()).expect("the bytes are written");
    }
    for (connection, (text, answer)) in connections.iter_mut().zip(cases) {
        let received = read_until(connection, "never");
        let is_expected = received.starts_with(answer) && received.is_empty() == answer.is_empty();
        assert!(is_expected, "{text:?}: {received:?}");
    }
    assert!(begun.elapsed() < Duration::from_secs(3));
    served.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").expect("the connection stays");
    assert!(read_until(&mut served, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
}

/// Of many idle connections, those that have sent nothing are evicted first: one that has served requests
/// stays.
#[test]
fn silent_connections_are_evicted_before_those_that_have_served() {
    let text =
        config("127.0.0.1:1", "at_most_once").replace("\"seed\"", "\"limits\":{\"sockets\":64},\"seed\"");
    let node = Node::start(&text, "silent");
    let mut served = node.send_request("issue", "0m");
    assert!(read_until(&mut served, "\r\n\r\n").starts_with("HTTP/1.1 503 "));
    let begun = Instant::now();
    let _silent = open_silent_connections(&node, 300);
    assert!(probe_ready(&node).starts_with("HTTP/1.1 200 "));
    assert!(begun.elapsed() < Duration::from_secs(2), "a new client is served at once");
    served.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").expect("the connection stays");
    assert!(read_until(&mut served, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
}

/// Opens client connections that send nothing.
fn open_silent_connections(node: &Node, count: usize) -> Vec<TcpStream> {
    (0..count).map(|_| TcpStream::connect(&node.address).expect("the node accepts")).collect()
}

/// The head of the answer to a readiness probe.
fn probe_ready(node: &Node) -> String {
    let mut stream = TcpStream::connect(&node.address).expect("the node accepts");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the socket can be set up");
    stream.write_all(b"GET /health/ready HTTP/1.1\r\n\r\n").expect("the bytes are written");
    read_until(&mut stream, "\r\n\r\n")
}

/// Idle client connections must not keep new ones out once the descriptors are used up.
#[test]
fn idle_client_connections_are_evicted_for_new_ones() {
    let text =
        config("127.0.0.1:1", "at_most_once").replace("\"seed\"", "\"limits\":{\"sockets\":64},\"seed\"");
    let node = Node::start(&text, "crowd");
    let _silent = open_silent_connections(&node, 80);
    assert!(probe_ready(&node).starts_with("HTTP/1.1 200 "));
}

/// The system's limit on descriptors may be lower than the configured one: the node goes on accepting.
#[test]
fn a_node_out_of_descriptors_goes_on_accepting() {
    let mut shell = Command::new("sh");
    shell.args(["-c", "ulimit -n 40; exec \"$0\"", env!("CARGO_BIN_EXE_sorrelhaven")]);
    let mut node = Node::start_with(shell, &config("127.0.0.1:1", "at_most_once"), "emfile");
    let _silent = open_silent_connections(&node, 80);
    node.wait_for_log_line("accept failed");
    assert!(probe_ready(&node).starts_with("HTTP/1.1 200 "));
}
