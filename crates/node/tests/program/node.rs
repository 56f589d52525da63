//! Starts a node with one known worker and two classes; sends requests to it and reads from its connections.

use sorrelhaven_test_support::{Program, ScratchDir, chunk, open_listener};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;

/// The platform's file of a node with one known worker and two classes: `issue`, which is idempotent, and
/// `fee`, which has the effect `effect`.
pub fn config(worker: &str, effect: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","more":[1],
            "known":{{"seq":1,"hosts":[{{"host":"s-1","dial":"{worker}","health":"in_service"}}]}},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"retryAfter":true,"maxRetryAfter":2000000}},
                "invariants":{{}},"familyInfo":{{"tellsStart":true}},
                "grades":[{{"name":"issue","aim":200000,"deadline":5000000,"effect":"idempotent"}},
                    {{"name":"fee","aim":200000,"deadline":5000000,"effect":"{effect}","lateValue":0.5}}]}}}}"#
    )
}

/// A running node. Its platform's file is `node.json` in `scratch`, where a reload reads it again.
pub struct Node {
    pub program: Program,
    pub scratch: ScratchDir,
}

impl Node {
    pub fn start(config: &str, name: &str) -> Node {
        Node::start_with(Command::new(env!("CARGO_BIN_EXE_sorrelhaven")), config, name)
    }

    pub fn start_with(command: Command, config: &str, name: &str) -> Node {
        let scratch = ScratchDir::new(name);
        let program = Program::start(command, &scratch.write("node.json", config), None);
        Node { program, scratch }
    }

    /// Sends a request with the id `q-1` on a new connection, and returns the connection.
    pub fn send_request(&self, class: &str, timeout: &str) -> TcpStream {
        self.send_request_with_id("q-1", class, timeout)
    }

    /// Sends a request on a new connection, and returns the connection.
    pub fn send_request_with_id(&self, id: &str, class: &str, timeout: &str) -> TcpStream {
        let mut stream = TcpStream::connect(&self.program.address).expect("the node accepts the connection");
        let head = format!("POST /api?a=b HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n");
        let rest =
            format!("Request-Timeout: {timeout}\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody");
        stream.write_all((head + &rest).as_bytes()).expect("the node reads the bytes");
        stream
    }
}

/// Reads up to and including the text `end`, or until the connection is closed.
pub fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut received = String::new();
    let mut byte = [0];
    while !received.ends_with(end) {
        match stream.read(&mut byte) {
            Ok(0) => break,
            // A read with a timeout is not restarted after a signal. The end of a program that another test
            // has started (SIGCHLD) can interrupt it while the thread that starts one blocks signals.
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => {
                result.expect("the connection can be read");
                received.push(byte[0] as char);
            }
        }
    }
    received
}

/// A listener that a test uses as a worker or as discovery, and its address.
pub fn open_worker() -> (TcpListener, String) {
    let (listener, address) = open_listener();
    (listener, address.to_string())
}

/// One line of a worker's response, encoded as a chunk.
pub fn line_chunk(line: &str) -> String {
    chunk(&format!("{line}\n"))
}
