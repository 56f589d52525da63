//! Hundreds of clients that occupy memory of the node at the same time.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// The largest head that the node accepts.
const HEAD_BYTES: usize = 16 * 1024;
/// The largest body that the node accepts.
const BODY_BYTES: usize = 64 * 1024;
/// More bytes behind a request than the node reads ahead.
const BYTES_BEHIND: usize = 3 * BODY_BYTES;
/// A client that stops half way leaves this much of its request unsent.
const MISSING_BYTES: usize = 1024;
/// The pause between two turns in which each client writes a piece.
const TURN_PAUSE: Duration = Duration::from_millis(5);
/// In each turn a client writes this much.
const PIECE_BYTES: usize = 8 * 1024;
/// How long a crowd stays after its last write: longer than an incomplete request may take.
const STAY: Duration = Duration::from_millis(2_600);

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdKind {
    /// A head of few long fields, without its end.
    HalfHeads,
    /// A head of very many short fields, without its end.
    ShortFields,
    /// A head of very many short fields, with its end.
    CompleteShortFields,
    /// A body of declared length, without its end.
    HalfBodies,
    /// A chunked body, without its end.
    HalfChunkedBodies,
    /// A body of declared length on a path that the node does not serve, without its end.
    HalfUnroutableBodies,
    /// A complete request with a large answer that the client does not read.
    UnreadAnswers,
    /// A complete request with the largest head, which stays without an answer.
    LargeHeads,
    /// A complete request with the largest body, which stays without an answer, and further bytes behind it.
    BytesBehindARequest,
    /// A complete request whose worker stops inside a large result.
    StalledResults,
}

impl CrowdKind {
    /// All kinds; those that occupy workers come last.
    pub const ALL: [CrowdKind; 10] = [
        CrowdKind::HalfHeads,
        CrowdKind::ShortFields,
        CrowdKind::CompleteShortFields,
        CrowdKind::HalfBodies,
        CrowdKind::HalfChunkedBodies,
        CrowdKind::HalfUnroutableBodies,
        CrowdKind::UnreadAnswers,
        CrowdKind::LargeHeads,
        CrowdKind::BytesBehindARequest,
        CrowdKind::StalledResults,
    ];

    /// Whether the requests of the crowd wait at workers, so that the workers have no room for others.
    pub fn occupies_workers(self) -> bool {
        matches!(self, CrowdKind::LargeHeads | CrowdKind::BytesBehindARequest | CrowdKind::StalledResults)
    }

    /// What the client with this number sends.
    fn bytes(self, number: usize) -> Vec<u8> {
        let head = |prefix: &str, rest: &str| {
            format!(
                "POST /api HTTP/1.1\r\nRequest-Id: {prefix}-{self:?}-{number}\r\nRequest-Class: renewal-check\r\n\
                 Request-Timeout: 3000m\r\n{rest}"
            )
        };
        let declared = format!("Content-Length: {BODY_BYTES}\r\n\r\n");
        let body = "x".repeat(BODY_BYTES);
        let half_body = &body[MISSING_BYTES..];
        let long_field = "x".repeat(HEAD_BYTES - MISSING_BYTES);
        match self {
            CrowdKind::HalfHeads => head("half", &format!("X: {long_field}")),
            CrowdKind::ShortFields => head("short", &"a:\r\n".repeat((HEAD_BYTES - MISSING_BYTES) / 4)),
            CrowdKind::CompleteShortFields => head("short", &("a:\r\n".repeat(HEAD_BYTES / 8) + "\r\n")),
            CrowdKind::HalfBodies => head("half", &(declared + half_body)),
            CrowdKind::HalfChunkedBodies => {
                head("half", &format!("Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{half_body}"))
            }
            CrowdKind::HalfUnroutableBodies => format!("POST /other HTTP/1.1\r\n{declared}{half_body}"),
            CrowdKind::UnreadAnswers => head("large", "Content-Length: 1\r\n\r\nx"),
            CrowdKind::LargeHeads => {
                head("silent", &format!("Idempotency-Key: {long_field}\r\nContent-Length: 1\r\n\r\nx"))
            }
            CrowdKind::BytesBehindARequest => {
                let behind = "x".repeat(BYTES_BEHIND);
                head("silent", &(declared + &body + &behind))
            }
            CrowdKind::StalledResults => head("stalled", "Content-Length: 1\r\n\r\nx"),
        }
        .into_bytes()
    }
}

/// A client, and what it has not sent yet.
struct Member {
    stream: TcpStream,
    unsent: Vec<u8>,
}

impl Member {
    /// Connects with the smallest receive buffer, so that unread answers stay in the node.
    fn connect(address: &str, unsent: Vec<u8>) -> Member {
        let stream = TcpStream::connect(address).expect("the connection is queued");
        let _ = rustix::net::sockopt::set_socket_recv_buffer_size(&stream, 1);
        stream.set_nonblocking(true).expect("the socket can be made non-blocking");
        Member { stream, unsent }
    }

    /// Writes the next piece as far as the system takes it.
    fn write_piece(&mut self) {
        let piece = self.unsent.len().min(PIECE_BYTES);
        match self.stream.write(&self.unsent[..piece]) {
            Ok(length) => drop(self.unsent.drain(..length)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.unsent.clear(),
        }
    }
}

/// Sends what `kind` says from `clients` connections at once, in pieces, and holds the connections until the node
/// must have ended incomplete requests.
pub fn run_crowd(address: &str, kind: CrowdKind, clients: usize) {
    let mut members: Vec<Member> =
        (0..clients).map(|number| Member::connect(address, kind.bytes(number))).collect();
    let turns = members.iter().map(|member| member.unsent.len()).max().unwrap_or(0) / PIECE_BYTES + 1;
    for _ in 0..turns {
        members.iter_mut().for_each(Member::write_piece);
        thread::sleep(TURN_PAUSE);
    }
    thread::sleep(STAY);
    if kind != CrowdKind::UnreadAnswers {
        let mut ignored = [0; 1024];
        members.iter_mut().for_each(|member| drop(member.stream.read(&mut ignored)));
    }
}
