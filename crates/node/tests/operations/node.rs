//! A node under test with an admin listener, and its clients.

use sorrelhaven_test_support::{FakeWorkers, Program, ScratchDir, TestRequest, workers_config};
use std::io::Read;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

pub fn start(workers: &FakeWorkers, name: &str) -> (Program, ScratchDir) {
    let scratch = ScratchDir::new(name);
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.env("RELAY_OPS", "127.0.0.1:0");
    (Program::start(command, &scratch.write("node.json", &workers_config(&workers.addresses)), None), scratch)
}

pub fn request(id: &str) -> TestRequest {
    TestRequest::new(id, "fee-charge", b"body".to_vec())
}

pub fn connect(node: &Program) -> TcpStream {
    let stream = TcpStream::connect(&node.address).expect("the node accepts");
    stream.set_nodelay(true).expect("the socket can be set up");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the socket can be set up");
    stream
}

/// Reads until the node ends the connection, in order or by a reset.
pub fn read_to_end(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}
