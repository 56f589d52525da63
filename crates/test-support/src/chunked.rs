//! Answers that go on for as long as whoever gives them likes: an agent's of discovery, an executor's.

use std::io::{Read, Write};
use std::net::TcpStream;

/// The head of such an answer.
pub const CHUNKED_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads one request and gives its target.
pub fn read_request_target(stream: &mut TcpStream) -> String {
    let mut got = Vec::new();
    while !got.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).expect("a request"), 1, "the node asks");
        got.push(byte[0]);
    }
    let text = String::from_utf8(got).expect("text");
    text.split(' ').nth(1).expect("a target").to_string()
}

/// A piece of an open answer.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Says something in an open answer.
pub fn send_chunk(stream: &mut TcpStream, text: &str) {
    stream.write_all(chunk(text).as_bytes()).expect("the node reads");
}
