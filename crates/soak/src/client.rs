//! The clients of a soak. Most of their requests must get an answer; for some the client disconnects early,
//! or sends malformed bytes instead.

use crate::node_history::{Incarnation, NodeHistory};
use fastrand::Rng;
use sorrelhaven_test_support::{DeliveryChecker, TestRequest, TestResponse};
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A request counts as lost if it has no answer this long after its timeout.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// After SIGTERM a node accepts connections for at least this long. A request sent later may find its
/// connection closed without an answer.
const ACCEPT_PERIOD_AFTER_SIGTERM: Duration = Duration::from_millis(400);
const CLASSES: [&str; 3] = ["renewal-check", "licence-issue", "fee-charge"];
const BODY_LENGTHS: [usize; 5] = [30, 30, 30, 3_000, 65_536];
const TIMEOUTS_MS: [u64; 4] = [40, 300, 1_000, 2_500];
const MALFORMED_REQUESTS: [&[u8]; 3] = [b"POST /api HTTP/1.1\r\nHost:", b"\0\x01\x02 nonsense\r\n\r\n", b""];
const WORK_HINT_MICROS: u64 = 5_000;
/// One in this many requests of a client is followed by one whose id can't be read.
const UNREADABLE_INTERVAL: u64 = 16;
/// What makes an id unreadable: white space of Unicode, which HTTP has not.
const UNREADABLE_SUFFIXES: [&str; 4] = ["\u{a0}", "\u{85}", "\u{2028}", "\u{3000}"];

/// The records that all clients of a soak share.
pub struct ClientRecords {
    /// Records each request sent and each answer received.
    pub checker: DeliveryChecker,
    /// One line for each lost request.
    pub lost: Mutex<Vec<String>>,
    /// The time at which clients stop sending requests.
    pub until: Instant,
}

impl ClientRecords {
    fn record_lost(&self, line: String) {
        self.lost.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

/// A connection, and the process that accepted it.
struct OpenConnection {
    stream: TcpStream,
    incarnation: Incarnation,
}

/// A client of one node.
pub struct Client<'a> {
    /// The number of the client, unique in the soak and part of its request ids.
    pub number: usize,
    /// The node to which the client connects.
    pub node: &'a NodeHistory,
    /// Where this client records its requests, answers and lost requests.
    pub records: &'a ClientRecords,
    /// Determines the requests, pauses and disconnects of this client.
    pub rng: Rng,
}

impl Client<'_> {
    /// Sends requests until the end of the soak.
    pub fn run(&mut self) {
        let mut idle_connection: Option<OpenConnection> = None;
        for request_number in 0.. {
            if Instant::now() >= self.records.until {
                return;
            }
            thread::sleep(Duration::from_millis(self.rng.u64(0..30)));
            let request = self.draw_request(request_number);
            match self.rng.u8(0..20) {
                0 => self.send_and_disconnect(&request),
                1 => self.send_malformed(),
                _ => idle_connection = self.send(&request, idle_connection.take()),
            }
            if request_number % UNREADABLE_INTERVAL == 0 {
                self.send_unreadable(request_number);
            }
        }
    }

    fn draw_request(&mut self, request_number: u64) -> TestRequest {
        let rng = &mut self.rng;
        let id = format!("r-{}-{request_number}", self.number);
        let length = BODY_LENGTHS[rng.usize(0..BODY_LENGTHS.len())];
        let mut request = TestRequest::new(&id, CLASSES[rng.usize(0..CLASSES.len())], vec![b'x'; length]);
        request.timeout = Duration::from_millis(TIMEOUTS_MS[rng.usize(0..TIMEOUTS_MS.len())]);
        request.work_hint_micros = Some(WORK_HINT_MICROS);
        // On average a fifth of the requests share one affinity key.
        let affinity_key = if rng.u8(0..5) == 0 { "popular".to_string() } else { rng.u32(..).to_string() };
        request.affinity_key = Some(affinity_key);
        request
    }

    /// Sends a request and waits for the answer. Returns the connection if it can be reused. A client uses its
    /// connection as long as that stays open, also after its process was sent SIGTERM.
    fn send(&self, request: &TestRequest, idle_connection: Option<OpenConnection>) -> Option<OpenConnection> {
        self.records.checker.record_request(request);
        let was_idle = idle_connection.is_some();
        let started_at = Instant::now();
        let OpenConnection { mut stream, incarnation } = match idle_connection {
            Some(connection) => connection,
            None => self.connect()?,
        };
        match request.send_on(&mut stream) {
            Ok(response) => {
                self.check_answer_time(request, &response);
                self.record_answer(request, &response, OpenConnection { stream, incarnation })
            }
            // A killed process may have sent the request to a worker: it is not resent, as an at-most-once
            // job must not run twice.
            Err(_) if self.node.was_killed(&incarnation) => None,
            // SIGKILL follows SIGTERM only after the node had the time to answer all that it read.
            Err(error) if self.node.was_killed_after_sigterm(&incarnation, started_at) => {
                self.records.record_lost(format!("{} was unanswered at SIGKILL: {error}", request.id));
                None
            }
            // The node may have closed the idle connection before the request arrived.
            Err(error) if was_idle && error.kind() != ErrorKind::WouldBlock => {
                self.resend(request, started_at)
            }
            Err(error) => {
                let elapsed = started_at.elapsed();
                let line =
                    format!("{} got no answer on a new connection in {elapsed:?}: {error}", request.id);
                self.record_failure(&incarnation, started_at, line);
                None
            }
        }
    }

    /// Sends a request a second time, on a new connection.
    fn resend(&self, request: &TestRequest, started_at: Instant) -> Option<OpenConnection> {
        let OpenConnection { mut stream, incarnation } = self.connect()?;
        match request.send_on(&mut stream) {
            Ok(response) => self.record_answer(request, &response, OpenConnection { stream, incarnation }),
            Err(error) => {
                self.record_failure(
                    &incarnation,
                    started_at,
                    format!("{} got no answer when resent: {error}", request.id),
                );
                None
            }
        }
    }

    fn check_answer_time(&self, request: &TestRequest, response: &TestResponse) {
        if response.elapsed > request.timeout + ANSWER_GRACE {
            let TestResponse { status, elapsed, .. } = response;
            self.records.record_lost(format!("{} answered {status} after {elapsed:?}", request.id));
        }
    }

    /// Records an answer. Returns the connection if the node keeps it open.
    fn record_answer(
        &self,
        request: &TestRequest,
        response: &TestResponse,
        connection: OpenConnection,
    ) -> Option<OpenConnection> {
        self.records.checker.record_response(&request.id, response.status);
        (!response.connection_close).then_some(connection)
    }

    fn connect(&self) -> Option<OpenConnection> {
        let incarnation = self.node.current();
        let stream = TcpStream::connect(incarnation.address).ok()?;
        let _ = stream.set_nodelay(true);
        Some(OpenConnection { stream, incarnation })
    }

    /// Records a request as lost, unless the incarnation was allowed to close the connection without an
    /// answer.
    fn record_failure(&self, incarnation: &Incarnation, started_at: Instant, line: String) {
        if !self.node.may_close(incarnation, started_at, ACCEPT_PERIOD_AFTER_SIGTERM) {
            self.records.record_lost(line);
        }
    }

    /// Sends a request and disconnects without reading the answer, in most cases before it arrives. Then sends it again
    /// under the same id, if the process is the same: it must not run a second time unless that is harmless.
    fn send_and_disconnect(&mut self, request: &TestRequest) {
        self.records.checker.record_request(request);
        let Some(OpenConnection { mut stream, incarnation }) = self.connect() else { return };
        if write_request(&mut stream, request).is_ok() {
            thread::sleep(Duration::from_millis(self.rng.u64(0..80)));
        }
        drop(stream);
        thread::sleep(Duration::from_millis(self.rng.u64(0..80)));
        let Some(OpenConnection { mut stream, incarnation: second }) = self.connect() else { return };
        if second == incarnation
            && let Ok(response) = request.send_on(&mut stream)
        {
            self.records.checker.record_response(&request.id, response.status);
        }
    }

    /// Sends a request whose id can't be read. It must not be served, and no worker may run it: a worker that gets
    /// the id in any form runs an id that is not recorded.
    fn send_unreadable(&self, request_number: u64) {
        let suffix =
            UNREADABLE_SUFFIXES[(request_number / UNREADABLE_INTERVAL) as usize % UNREADABLE_SUFFIXES.len()];
        let id = format!("u-{}-{request_number}{suffix}", self.number);
        let request = TestRequest::new(&id, CLASSES[0], b"body".to_vec());
        let Some(OpenConnection { mut stream, .. }) = self.connect() else { return };
        if let Ok(response) = request.send_on(&mut stream)
            && response.status == 200
        {
            self.records.record_lost(format!("{id:?} can't be read and was served"));
        }
    }

    /// Sends an incomplete request, bytes that are not HTTP, or nothing, and disconnects.
    fn send_malformed(&mut self) {
        let Ok(mut stream) = TcpStream::connect(self.node.current().address) else { return };
        let bytes = MALFORMED_REQUESTS[self.rng.usize(0..MALFORMED_REQUESTS.len())];
        let _ = stream.write_all(bytes);
        thread::sleep(Duration::from_millis(self.rng.u64(0..50)));
    }
}

fn write_request(stream: &mut TcpStream, request: &TestRequest) -> io::Result<()> {
    let mut bytes = request.head().into_bytes();
    bytes.extend_from_slice(&request.body);
    stream.write_all(&bytes)
}
