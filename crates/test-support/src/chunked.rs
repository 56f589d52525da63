//! Chunked HTTP/1.1 responses, as discovery and workers send them.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// The head of a 200 response with a chunked body.
pub const CHUNKED_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads the head of one request and returns its target, such as `/registry/instances?watch=1`.
///
/// # Panics
/// If the connection fails or ends within the head, or the head is not that of a request.
pub fn read_request_target(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        let length = match stream.read(&mut byte) {
            // A read with a timeout is not restarted after a signal. The end of a program that another test
            // has started (SIGCHLD) can interrupt it while the thread that starts one blocks signals.
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => result.expect("the node sends a request"),
        };
        assert_eq!(length, 1, "the node closed the connection within a request head");
        head.push(byte[0]);
    }
    let text = String::from_utf8(head).expect("a request head is text");
    text.split(' ').nth(1).expect("a request line has a target").to_string()
}

/// Encodes `text` as one chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Reads the head of one request and sends the head of a chunked 200 response. Returns the request's target.
///
/// # Panics
/// As [`read_request_target`], and if the connection fails while the response is sent.
pub fn begin_chunked_response(stream: &mut TcpStream) -> String {
    let target = read_request_target(stream);
    stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads the response");
    target
}

/// Sends `text` as one chunk of a response that more chunks may follow.
///
/// # Panics
/// If the connection fails.
pub fn send_chunk(stream: &mut TcpStream, text: &str) {
    stream.write_all(chunk(text).as_bytes()).expect("the node reads the response");
}
