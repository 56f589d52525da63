//! Clients that stop half way through a request and stay.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// How long the clients stay: longer than an incomplete request may take.
const STAY: Duration = Duration::from_millis(2_600);
/// How long a client waits for its connection, which may not be accepted while the node is short of descriptors.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Connects `clients` clients, sends half a request on each connection, and closes them after a while.
pub(crate) fn stop_half_way(address: SocketAddr, clients: usize) {
    let head = "POST /api HTTP/1.1\r\nRequest-Id: half\r\nRequest-Class: renewal-check\r\nRequest-Timeout: 3000m\r\n";
    let body = format!("{head}Content-Length: 65536\r\n\r\n{}", "x".repeat(60_000));
    let long_head = format!("{head}X: {}", "x".repeat(15_000));
    let connect = |number: usize| {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        let text = if number.is_multiple_of(2) { &body } else { &long_head };
        let _ = stream.write(text.as_bytes());
        Some(stream)
    };
    let streams: Vec<TcpStream> = (0..clients).filter_map(connect).collect();
    thread::sleep(STAY);
    drop(streams);
}
