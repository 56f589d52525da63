//! Client connections: incomplete requests, eviction of idle connections, and the limit on descriptors.

use crate::node::{Node, config, read_until};
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};

/// A client that sends nothing, half a request or far too much must get an error or a close within 3 s of
/// connecting. A connection that has served requests must stay open.
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
    for (connection, (text, expected)) in connections.iter_mut().zip(cases) {
        let received = read_until(connection, "never");
        let is_expected = received.starts_with(expected) && received.is_empty() == expected.is_empty();
        assert!(is_expected, "{text:?}: {received:?}");
    }
    assert!(begun.elapsed() < Duration::from_secs(3));
    served.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").expect("the connection stays");
    assert!(read_until(&mut served, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
}

/// When 300 idle connections meet a limit of 64 descriptors, those that have sent nothing must be evicted
/// before one that has served requests.
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
    assert!(begun.elapsed() < Duration::from_secs(2), "a new client was not served within 2 s");
    served.write_all(b"GET /nowhere HTTP/1.1\r\n\r\n").expect("the connection stays");
    assert!(read_until(&mut served, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
}

/// Once idle client connections have used up the limit on descriptors, new clients must still be accepted.
#[test]
fn idle_client_connections_are_evicted_for_new_ones() {
    let text =
        config("127.0.0.1:1", "at_most_once").replace("\"seed\"", "\"limits\":{\"sockets\":64},\"seed\"");
    let node = Node::start(&text, "idle");
    let _silent = open_silent_connections(&node, 80);
    assert!(probe_ready(&node).starts_with("HTTP/1.1 200 "));
}

/// The system's limit on descriptors may be lower than the configured one. After `accept` has failed for want
/// of a descriptor, the node must accept again.
#[test]
fn a_node_out_of_descriptors_goes_on_accepting() {
    let mut shell = Command::new("sh");
    shell.args(["-c", "ulimit -n 40; exec \"$0\"", env!("CARGO_BIN_EXE_sorrelhaven")]);
    let mut node = Node::start_with(shell, &config("127.0.0.1:1", "at_most_once"), "emfile");
    let _silent = open_silent_connections(&node, 80);
    node.program.wait_for_log_line("accept failed");
    assert!(probe_ready(&node).starts_with("HTTP/1.1 200 "));
}

/// Opens client connections that send nothing.
fn open_silent_connections(node: &Node, count: usize) -> Vec<TcpStream> {
    (0..count)
        .map(|_| TcpStream::connect(&node.program.address).expect("the node accepts the connection"))
        .collect()
}

/// The head of the response to a readiness probe.
fn probe_ready(node: &Node) -> String {
    let mut stream = TcpStream::connect(&node.program.address).expect("the node accepts the connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the socket option can be set");
    stream.write_all(b"GET /health/ready HTTP/1.1\r\n\r\n").expect("the bytes are written");
    read_until(&mut stream, "\r\n\r\n")
}
