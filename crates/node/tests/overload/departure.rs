//! Clients that close their connection while the node has not read much of what they sent.

use crate::node::{Limits, Node};
use sorrelhaven_test_support::{CpuShare, TestRequest, TestResponse, WorkerBehavior};
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// An attempt must not begin later than this after the client's close (`STANDING.md`: 0.1 s), with the slack of time
/// limits (50 ms).
const MAX_SEND_AFTER_CLOSE: Duration = Duration::from_millis(150);
/// The part of a core that the node has: little, so that it falls behind in reading.
const NODE_SHARE: f64 = 0.1;
/// Clients that leave, one after the other.
const CLIENTS: usize = 40;
/// The pause between two clients.
const PAUSE: Duration = Duration::from_millis(3);
/// How long after the last close the workers are watched.
const WATCH_TIME: Duration = Duration::from_secs(3);
/// The length of a large body.
const BODY_BYTES: usize = 64 * 1024;
/// More bytes than the node reads ahead and the system buffers.
const MANY_BYTES: usize = 8 << 20;

/// What a client sends before it closes its connection.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// As many small requests as the system takes.
    ManyRequests,
    /// A request, and as many bytes behind it as the system takes.
    BytesBehindARequest,
    /// A request with a large body, and as many small requests behind it as the system takes.
    RequestsBehindALargeBody,
    /// As many requests that are no jobs as the system takes, with a job after each hundred of them.
    JobsBetweenOtherRequests,
}

impl Departure {
    const ALL: [Departure; 4] = [
        Departure::ManyRequests,
        Departure::BytesBehindARequest,
        Departure::RequestsBehindALargeBody,
        Departure::JobsBetweenOtherRequests,
    ];

    /// What client `client` sends. The id of each of its requests begins with `prefix`.
    fn bytes(self, prefix: &str) -> Vec<u8> {
        let job = |number: usize, body: &str| {
            format!(
                "POST /api HTTP/1.1\r\nRequest-Id: {prefix}-{number}\r\nRequest-Class: renewal-check\r\n\
                 Work-Hint: 1000\r\nRequest-Timeout: 4000m\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let mut text = String::new();
        match self {
            Departure::ManyRequests => {}
            Departure::BytesBehindARequest => {
                text = job(0, "x");
                text.push_str(&"x".repeat(MANY_BYTES));
            }
            Departure::RequestsBehindALargeBody => text = job(0, &"x".repeat(BODY_BYTES)),
            Departure::JobsBetweenOtherRequests => {}
        }
        for number in 1.. {
            if text.len() >= MANY_BYTES {
                break;
            }
            if matches!(self, Departure::JobsBetweenOtherRequests) {
                text.push_str(&"GET /x HTTP/1.1\r\n\r\n".repeat(100));
            }
            text.push_str(&job(number, "x"));
        }
        text.into_bytes()
    }
}

/// Writes as much as the system takes at once, and closes the connection. Returns when it was closed.
fn send_and_close(address: &str, bytes: &[u8]) -> Instant {
    let mut stream = TcpStream::connect(address).expect("the node accepts the connection");
    stream.set_nonblocking(true).expect("the socket can be made non-blocking");
    let mut rest = bytes;
    while !rest.is_empty() {
        match stream.write(rest) {
            Ok(length) => rest = &rest[length..],
            // The system takes no more, or the node has closed the connection.
            Err(_) => break,
        }
    }
    drop(stream);
    Instant::now()
}

/// Sends a request and many bytes behind it, and stays. Returns the status of the answer.
fn send_and_stay(address: &str) -> u16 {
    let mut stream = TcpStream::connect(address).expect("the node accepts the connection");
    let request = TestRequest::new("Stays-0", "renewal-check", b"x".to_vec());
    let text = request.head() + "x" + &"x".repeat(BODY_BYTES);
    let sent_at = Instant::now();
    stream.write_all(text.as_bytes()).expect("the system takes the bytes");
    TestResponse::read(&mut stream, sent_at).expect("the request is answered").status
}

/// Guards against requests that are sent on after their client has closed its connection, behind bytes that the node
/// has not read.
fn nothing_is_sent_for_clients_that_have_left(behavior: WorkerBehavior, name: &str) {
    let node = Node::start(Limits { memory_mb: 192, sockets: 1024 }, name);
    node.workers.set_default_behavior(behavior);
    let _share = CpuShare::limit(node.program.child.id(), NODE_SHARE);
    let mut closed_at = HashMap::new();
    for departure in Departure::ALL {
        for client in 0..CLIENTS {
            let prefix = format!("{departure:?}{client}");
            let bytes = departure.bytes(&prefix);
            closed_at.insert(prefix, send_and_close(&node.program.address, &bytes));
            thread::sleep(PAUSE);
        }
    }
    thread::sleep(WATCH_TIME);
    node.workers.set_default_behavior(WorkerBehavior::Done);
    assert_eq!(send_and_stay(&node.program.address), 200, "a client that stays must be served");
    let mut late = Vec::new();
    let arrivals = node.workers.arrivals();
    println!("{} attempts were begun", arrivals.len());
    for (id, at) in arrivals {
        let (prefix, _) = id.split_once('-').expect("the id has a prefix");
        let Some(&closed_at) = closed_at.get(prefix) else { continue };
        let after_close = at.saturating_duration_since(closed_at);
        if after_close > MAX_SEND_AFTER_CLOSE {
            late.push(format!("{id} was sent {after_close:?} after its client had closed"));
        }
    }
    assert_eq!(late, [""; 0]);
}

#[test]
fn nothing_is_sent_for_clients_that_have_left_while_workers_are_fast() {
    nothing_is_sent_for_clients_that_have_left(WorkerBehavior::Done, "left-fast");
}

#[test]
fn nothing_is_sent_for_clients_that_have_left_while_workers_are_slow() {
    nothing_is_sent_for_clients_that_have_left(WorkerBehavior::DoneAfterMillis(100), "left-slow");
}

#[test]
fn nothing_is_sent_for_clients_that_have_left_while_workers_reject() {
    nothing_is_sent_for_clients_that_have_left(WorkerBehavior::Rejected, "left-reject");
}
