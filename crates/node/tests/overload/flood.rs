//! One client that sends at full speed on one connection.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// What a flooding client repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// Readiness checks.
    Readiness,
    /// Requests on ever new paths that the node does not serve.
    UnknownPaths,
    /// Requests on ever new paths, each with a body of many chunks.
    ChunkedBodies,
    /// Requests of ever new classes that the settings do not have.
    UnknownClasses,
    /// Bytes that are no request.
    Malformed,
    /// One chunked body of single bytes that never ends.
    EndlessBody,
    /// Jobs whose time is over at once, under ever new ids.
    ExpiredJobs,
    /// Jobs that any worker serves at once, under ever new ids and affinity keys.
    SmallJobs,
    /// Jobs under ever new ids of the largest size.
    LongNames,
}

impl FloodKind {
    pub const ALL: [FloodKind; 9] = [
        FloodKind::Readiness,
        FloodKind::UnknownPaths,
        FloodKind::ChunkedBodies,
        FloodKind::UnknownClasses,
        FloodKind::Malformed,
        FloodKind::EndlessBody,
        FloodKind::ExpiredJobs,
        FloodKind::SmallJobs,
        FloodKind::LongNames,
    ];

    /// The request with this number; `first` is true for the first one on a connection.
    fn bytes(self, number: u64, first: bool) -> String {
        let job = |id: &str, timeout: &str| {
            format!(
                "POST /api HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: renewal-check\r\nWork-Hint: 1000\r\n\
                 Request-Timeout: {timeout}\r\nAffinity-Key: key-{number}\r\nContent-Length: 1\r\n\r\nx"
            )
        };
        match self {
            FloodKind::Readiness => "GET /health/ready HTTP/1.1\r\n\r\n".to_string(),
            FloodKind::UnknownPaths => format!("GET /path-{number} HTTP/1.1\r\n\r\n"),
            FloodKind::ChunkedBodies => {
                let chunks = "1\r\nx\r\n".repeat(50);
                format!("POST /path-{number} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
            }
            FloodKind::UnknownClasses => {
                job(&format!("class-{number}"), "1000m").replace("renewal-check", &format!("class-{number}"))
            }
            FloodKind::Malformed => "\0\0\r\n\r\n".to_string(),
            FloodKind::EndlessBody if first => {
                "POST /path HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_string()
            }
            FloodKind::EndlessBody => "1;x=y\r\nx\r\n".repeat(100),
            FloodKind::ExpiredJobs => job(&format!("expired-{number}"), "0m"),
            FloodKind::SmallJobs => job(&format!("small-{number}"), "1000m"),
            FloodKind::LongNames => job(&format!("long-{number}-{}", "x".repeat(8_000)), "1000m"),
        }
    }
}

/// The beginning of a response.
const RESPONSE_START: &[u8] = b"HTTP/1.1 ";

/// Sends requests of this kind for `duration`, and connects again when the node closes the connection. At most
/// `window` requests have no answer at any time. Returns the number of answers.
pub fn flood(address: &str, kind: FloodKind, window: u64, duration: Duration) -> u64 {
    let mut flood = Flood { kind, window, sent: 0, answered: 0 };
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        stream.set_nonblocking(true).expect("the socket can be made non-blocking");
        flood.run_connection(&mut stream, end);
    }
    flood.answered
}

struct Flood {
    kind: FloodKind,
    window: u64,
    sent: u64,
    answered: u64,
}

impl Flood {
    /// Sends on one connection until it is closed or `end` has passed.
    fn run_connection(&mut self, stream: &mut TcpStream, end: Instant) {
        let sent_before = self.sent;
        let answered_before = self.answered;
        let mut unsent = Vec::new();
        let mut received = vec![0; 1 << 16];
        while Instant::now() < end {
            match stream.read(&mut received) {
                Ok(0) => return,
                Ok(length) => self.answered += count_responses(&received[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            while unsent.len() < received.len()
                && self.sent - sent_before < self.window.saturating_add(self.answered - answered_before)
            {
                let first = self.sent == sent_before;
                unsent.extend_from_slice(self.kind.bytes(self.sent, first).as_bytes());
                self.sent += 1;
            }
            match stream.write(&unsent) {
                Ok(0) => std::thread::yield_now(),
                Ok(length) => drop(unsent.drain(..length)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => std::thread::yield_now(),
                Err(_) => return,
            }
        }
    }
}

/// The number of responses that begin in `bytes`, without those whose beginning is cut.
fn count_responses(bytes: &[u8]) -> u64 {
    bytes.windows(RESPONSE_START.len()).filter(|window| *window == RESPONSE_START).count() as u64
}
