//! The program as it is started: its configuration, its answers, its signals and its exit.

use sorrelhaven_test_support::{Program, ScratchDir};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::process::Command;
use std::time::{Duration, Instant};

fn config(dial: &str, effect: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","more":[1],
            "known":{{"seq":1,"hosts":[{{"host":"s-1","dial":"{dial}","health":"in_service"}}]}},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"retryAfter":true,"maxRetryAfter":2000000}},
                "invariants":{{}},"familyInfo":{{"tellsStart":true}},
                "grades":[{{"name":"issue","aim":200000,"deadline":5000000,"effect":"idempotent"}},
                    {{"name":"fee","aim":200000,"deadline":5000000,"effect":"{effect}","lateValue":0.5}}]}}}}"#
    )
}

/// A program of the test's own, with its file where a reload finds it.
struct Running {
    program: Program,
    scratch: ScratchDir,
}

impl Running {
    fn new(config: &str, name: &str) -> Running {
        Running::begin(Command::new(env!("CARGO_BIN_EXE_sorrelhaven")), config, name)
    }

    fn begin(command: Command, config: &str, name: &str) -> Running {
        let scratch = ScratchDir::new(name);
        let program = Program::start(command, &scratch.write("node.json", config), None);
        Running { program, scratch }
    }

    fn ask(&self, class: &str, timeout: &str) -> TcpStream {
        let mut stream = TcpStream::connect(&self.address).expect("it listens");
        let head = format!("POST /api?a=b HTTP/1.1\r\nRequest-Id: q-1\r\nRequest-Class: {class}\r\n");
        let rest =
            format!("Request-Timeout: {timeout}\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody");
        stream.write_all((head + &rest).as_bytes()).expect("it reads");
        stream
    }
}

impl Deref for Running {
    type Target = Program;

    fn deref(&self) -> &Program {
        &self.program
    }
}

impl DerefMut for Running {
    fn deref_mut(&mut self) -> &mut Program {
        &mut self.program
    }
}

/// Everything up to the blank line after a head and `body` bytes more.
fn read(stream: &mut TcpStream, ends: &str) -> String {
    let mut got = String::new();
    let mut byte = [0];
    while !got.ends_with(ends) && stream.read(&mut byte).expect("an answer") > 0 {
        got.push(byte[0] as char);
    }
    got
}

fn executor() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    (listener, address)
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

#[test]
fn bad_configuration_ends_it_with_one_line_that_names_the_key() {
    let good = config("127.0.0.1:1", "at_most_once");
    let cases = [
        (config("127.0.0.1:1", "often"), "settings.grades[1].effect: unknown effect"),
        (config("nowhere", "at_most_once"), "known.hosts[0].dial: "),
        (good.replace("\"seed\":\"1f\"", "\"seed\":\"xyz\""), "seed: "),
        (good.replace("127.0.0.1:0", "here"), "listen: "),
        (good.replace("\"maxAttempts\":3", "\"maxAttempts\":\"many\""), "settings.ceilings.maxAttempts: "),
        (good.replace("\"balancers\":1,", ""), "settings: missing field `balancers`"),
        ("no json".to_string(), "RELAY_CONFIG: "),
    ];
    for (i, (text, message)) in cases.iter().enumerate() {
        let scratch = ScratchDir::new(&format!("bad{i}"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        let output = command.env("RELAY_CONFIG", scratch.write("node.json", text)).output().expect("it ends");
        let log = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.starts_with(&format!("sorrelhaven: {message}")), "{log}");
    }
}

/// A planned restart: what was taken is answered, clients may come for a while, and the exit is clean.
#[test]
fn a_term_signal_lets_all_that_was_taken_finish() {
    let (listener, address) = executor();
    let mut node = Running::new(&config(&address, "at_most_once"), "term");
    let mut client = node.ask("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the job comes");
    let got = read(&mut job, "body");
    assert!(got.starts_with("POST /api?a=b HTTP/1.1\r\n"), "{got}");
    // The client counts from its sending, on a new connection from its first packet: the answer must be on its
    // way before that time is up, or the client hears nothing at all.
    let left = got.split("Request-Timeout: ").nth(1).and_then(|l| l.split("u\r\n").next()).expect("a time");
    assert!(left.parse::<u64>().expect("a number") <= 4_997_000, "{got}");
    assert!(got.contains("Request-Id: q-1\r\n") && got.contains("Idempotency-Key: k\r\n"), "{got}");
    let started = chunk(r#"{"id":"q-1","state":"started"}"#);
    job.write_all((HEAD.to_string() + &started).as_bytes()).expect("the node reads");
    node.signal("USR1");
    let counters = node.line("admitted=");
    assert!(counters.contains("admitted=1 served=0") && counters.contains("attempts=1 ok=0"), "{counters}");

    let mut idle = TcpStream::connect(&node.address).expect("it listens");
    node.signal("TERM");
    node.line("shutdown requested");
    idle.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").expect("an idle link still serves");
    assert!(read(&mut idle, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
    assert_eq!(read(&mut idle, "never"), "", "the idle link ends");
    let done = chunk(r#"{"id":"q-1","state":"done","result":"fine"}"#);
    job.write_all((done + "0\r\n\r\n").as_bytes()).expect("the node reads");
    let answer = read(&mut client, "\r\n\r\nfine");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n") && answer.contains("Connection: close"), "{answer}");
    let counters = node.line("admitted=");
    assert!(counters.contains("admitted=1 served=1") && counters.contains("attempts=1 ok=1"), "{counters}");
    assert!(node.child.wait().expect("it ends").success());
}

/// SIGHUP ends nothing: a faulty file is named by its key and changes nothing, a good one moves the watch at
/// once, the executors known before stay known, and what was taken is finished, also by a SIGTERM behind it.
#[test]
fn a_reload_moves_the_watch_and_loses_nothing() {
    let (listener, address) = executor();
    let [(old, old_address), (new, new_address)] = [executor(), executor()];
    let text = config(&address, "at_most_once").replace("127.0.0.1:1\"", &format!("{old_address}\""));
    let mut node = Running::new(&text, "reload");
    let (mut watch, _) = old.accept().expect("the node asks");
    assert!(read(&mut watch, "\r\n\r\n").starts_with("GET /registry/instances?watch=1&after=1 "));
    let mut client = node.ask("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the job comes");
    read(&mut job, "body");

    node.scratch.write("node.json", &text.replace("at_most_once", "often"));
    node.signal("HUP");
    let fault = node.line("configuration unchanged");
    assert!(fault.contains("settings.grades[1].effect: unknown effect"), "{fault}");
    let moved = text.replace(&old_address, &new_address).replace("\"1f\"", "\"2f\"");
    node.scratch.write("node.json", &moved);
    node.signal("HUP");
    assert!(node.line("restart required").contains("seed"));
    // Another agent may count its versions in another way, so it is asked for all that it has.
    let (mut moved, _) = new.accept().expect("the node asks the new agent");
    assert!(read(&mut moved, "\r\n\r\n").starts_with("GET /registry/instances HTTP/1.1\r\n"));
    assert_eq!(read(&mut watch, "never"), "", "the old agent's watch ends");

    let head = HEAD.replace("OK", "OK\r\nConnection: close");
    let done = head + &chunk(r#"{"id":"q-1","state":"done","result":"fine"}"#) + "0\r\n\r\n";
    job.write_all(done.as_bytes()).expect("the node reads");
    assert!(read(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    let mut client = node.ask("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the old list is in force");
    read(&mut job, "body");
    node.signal("HUP");
    node.signal("TERM");
    node.line("shutdown requested");
    job.write_all(done.as_bytes()).expect("the node reads");
    assert!(read(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(node.child.wait().expect("it ends").success());
}

/// A job that must not run twice and may have run: one execution, and a failure that says nothing of "again".
#[test]
fn a_job_that_may_have_run_is_not_sent_again() {
    let (listener, address) = executor();
    let node = Running::new(&config(&address, "at_most_once"), "once");
    let mut client = node.ask("fee", "1500m");
    let (mut job, _) = listener.accept().expect("the job comes");
    read(&mut job, "body");
    drop(job);
    let answer = read(&mut client, "\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    assert!(!answer.contains("Retry-After"), "{answer}");
    listener.set_nonblocking(true).expect("a listener");
    assert!(listener.accept().is_err(), "no second execution");
}

/// A request that the module gives up on is told so at once and when to come back, not held to its end.
#[test]
fn a_throttle_comes_at_once_and_says_when_to_come_back() {
    let (listener, address) = executor();
    drop(listener);
    let node = Running::new(&config(&address, "at_most_once"), "throttle");
    let begun = Instant::now();
    let mut client = node.ask("issue", "0m");
    let answer = read(&mut client, "\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: 2.000\r\n"), "{answer}");
    assert!(begun.elapsed() < Duration::from_secs(2));
}

/// A client that goes away frees its executor: the link to it is closed.
#[test]
fn a_client_that_leaves_withdraws_its_execution() {
    let (listener, address) = executor();
    let text = config(&address, "at_most_once").replace("\"maxAttempts\"", "\"cancel\":true,\"maxAttempts\"");
    let mut node = Running::new(&text, "leave");
    let client = node.ask("issue", "60000m");
    let (mut job, _) = listener.accept().expect("the job comes");
    read(&mut job, "body");
    drop(client);
    assert_eq!(read(&mut job, "never"), "", "the node ends the link");
    node.signal("USR1");
    let counters = node.line("admitted=");
    assert!(counters.contains("client_gone=1") && counters.contains("cancelled=1"), "{counters}");
}

/// An id that is open must not reach an executor twice: it would be turned away there, or mixed up.
#[test]
fn an_open_id_that_comes_again_is_answered_and_the_first_goes_on() {
    let (listener, address) = executor();
    let node = Running::new(&config(&address, "at_most_once"), "again");
    let mut client = node.ask("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the job comes");
    read(&mut job, "body");
    for _ in 0..3 {
        let mut again = node.ask("fee", "5000m");
        assert!(read(&mut again, "\r\n\r\n").starts_with("HTTP/1.1 409 "));
    }
    let done = HEAD.to_string() + &chunk(r#"{"id":"q-1","state":"done","result":"fine"}"#) + "0\r\n\r\n";
    job.write_all(done.as_bytes()).expect("the node reads");
    assert!(read(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    listener.set_nonblocking(true).expect("a listener");
    assert!(listener.accept().is_err(), "no second execution");
    // Once the first is over its id is free.
    let mut client = node.ask("issue", "0m");
    assert!(read(&mut client, "\r\n\r\n").starts_with("HTTP/1.1 503 "));
}

/// Whoever sends nothing, half of something or far too much hears of it within 3 s of connecting, and a link
/// that has served stays.
#[test]
fn a_bad_client_has_an_error_or_a_close_within_three_seconds() {
    let node = Running::new(&config("127.0.0.1:1", "at_most_once"), "bad-client");
    let mut usual = node.ask("issue", "0m");
    assert!(read(&mut usual, "\r\n\r\n").starts_with("HTTP/1.1 503 "));
    let head = "POST /api HTTP/1.1\r\nRequest-Id: r\r\nContent-Length: ";
    let long = format!("{head}60000000\r\nExpect: 100-continue\r\n\r\n");
    let half = format!("{head}9\r\n\r\nhalf");
    let cases = [("", ""), ("POST /ap", "HTTP/1.1 408 "), (&half, "HTTP/1.1 408 "), (&long, "HTTP/1.1 413 ")];
    let begun = Instant::now();
    let mut links: Vec<TcpStream> = cases.iter().map(|_| crowd(&node, 1).remove(0)).collect();
    for (link, (text, _)) in links.iter_mut().zip(cases) {
        link.write_all(text.as_bytes()).expect("it is written");
    }
    for (link, (text, answer)) in links.iter_mut().zip(cases) {
        let got = read(link, "never");
        assert!(got.starts_with(answer) && got.is_empty() == answer.is_empty(), "{text:?}: {got:?}");
    }
    assert!(begun.elapsed() < Duration::from_secs(3));
    usual.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").expect("a kept link");
    assert!(read(&mut usual, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
}

/// A flood of silent links is turned out first: a usual client's kept link goes on.
#[test]
fn silent_links_give_way_before_those_that_have_served() {
    let text =
        config("127.0.0.1:1", "at_most_once").replace("\"seed\"", "\"limits\":{\"sockets\":64},\"seed\"");
    let node = Running::new(&text, "silent");
    let mut usual = node.ask("issue", "0m");
    assert!(read(&mut usual, "\r\n\r\n").starts_with("HTTP/1.1 503 "));
    let begun = Instant::now();
    let _crowd = crowd(&node, 300);
    assert!(ready(&node).starts_with("HTTP/1.1 200 "));
    assert!(begun.elapsed() < Duration::from_secs(2), "a new client has its turn at once");
    usual.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").expect("a kept link");
    assert!(read(&mut usual, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
}

/// Opens `n` client links that send nothing.
fn crowd(node: &Running, n: usize) -> Vec<TcpStream> {
    (0..n).map(|_| TcpStream::connect(&node.address).expect("the system accepts")).collect()
}

fn ready(node: &Running) -> String {
    let mut stream = TcpStream::connect(&node.address).expect("the system accepts");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket");
    stream.write_all(b"GET /health/ready HTTP/1.1\r\n\r\n").expect("it is written");
    read(&mut stream, "\r\n\r\n")
}

/// Idle client links must not keep others out once the budget of descriptors is used up.
#[test]
fn idle_client_links_give_way_to_new_ones() {
    let text =
        config("127.0.0.1:1", "at_most_once").replace("\"seed\"", "\"limits\":{\"sockets\":64},\"seed\"");
    let node = Running::new(&text, "crowd");
    let _crowd = crowd(&node, 80);
    assert!(ready(&node).starts_with("HTTP/1.1 200 "));
}

/// The system's limit may be tighter than the one that the node was told: accepting goes on all the same.
#[test]
fn running_out_of_descriptors_does_not_end_the_accepting() {
    let mut shell = Command::new("sh");
    shell.args(["-c", "ulimit -n 40; exec \"$0\"", env!("CARGO_BIN_EXE_sorrelhaven")]);
    let mut node = Running::begin(shell, &config("127.0.0.1:1", "at_most_once"), "emfile");
    let _crowd = crowd(&node, 80);
    node.line("accept failed");
    assert!(ready(&node).starts_with("HTTP/1.1 200 "));
}
