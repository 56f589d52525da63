//! Starts a node with an admin listener, and sends requests to it.

use sorrelhaven_test_support::{FakeWorkers, Program, ScratchDir, TestRequest, workers_config};
use std::io::Read;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

/// Starts a node with these workers and an admin listener on a free port.
pub fn start(workers: &FakeWorkers, name: &str) -> (Program, ScratchDir) {
    let scratch = ScratchDir::new(name);
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.env("RELAY_OPS", "127.0.0.1:0");
    (Program::start(command, &scratch.write("node.json", &workers_config(&workers.addresses)), None), scratch)
}

/// An at-most-once request with a body of 4 bytes.
pub fn request(id: &str) -> TestRequest {
    TestRequest::new(id, "fee-charge", b"body".to_vec())
}

/// A client connection whose reads time out after 20 s.
pub fn connect(node: &Program) -> TcpStream {
    let stream = TcpStream::connect(&node.address).expect("the node accepts the connection");
    stream.set_nodelay(true).expect("the socket option can be set");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the socket option can be set");
    stream
}

/// Reads until the node closes or resets the connection.
pub fn read_to_end(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}
