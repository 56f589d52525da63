//! Clients of a soak. Most are well-behaved and must get an answer to each request; some disconnect early or
//! send malformed requests.

use crate::node_history::{Incarnation, NodeHistory};
use fastrand::Rng;
use sorrelhaven_test_support::{DeliveryChecker, TestRequest, TestResponse};
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A request is lost if it is answered later than this after its timeout, or never.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// For so long after SIGTERM a node accepts connections; a later one may be closed without an answer.
const ACCEPT_PERIOD_AFTER_SIGTERM: Duration = Duration::from_millis(400);
const CLASSES: [&str; 3] = ["renewal-check", "licence-issue", "fee-charge"];
const BODY_LENGTHS: [usize; 5] = [30, 30, 30, 3_000, 65_536];
const TIMEOUTS_MS: [u64; 4] = [40, 300, 1_000, 2_500];
const MALFORMED_REQUESTS: [&[u8]; 3] = [b"POST /api HTTP/1.1\r\nHost:", b"\0\x01\x02 nonsense\r\n\r\n", b""];
const WORK_HINT_MICROS: u64 = 5_000;

/// What all clients of a soak share.
pub struct ClientRecords {
    /// What was sent and received.
    pub checker: DeliveryChecker,
    /// Requests that were lost, a line each.
    pub lost: Mutex<Vec<String>>,
    /// When clients stop.
    pub until: Instant,
}

impl ClientRecords {
    fn record_lost(&self, line: String) {
        self.lost.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

/// A client of one node.
pub struct Client<'a> {
    /// Its number, which makes its request ids unique.
    pub number: usize,
    /// The node.
    pub node: &'a NodeHistory,
    /// What it shares with other clients.
    pub records: &'a ClientRecords,
    /// Draws its requests.
    pub rng: Rng,
}

impl Client<'_> {
    /// Sends requests until the end of the soak.
    pub fn run(&mut self) {
        let mut idle_connection: Option<TcpStream> = None;
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
        }
    }

    fn draw_request(&mut self, request_number: u64) -> TestRequest {
        let rng = &mut self.rng;
        let id = format!("r-{}-{request_number}", self.number);
        let length = BODY_LENGTHS[rng.usize(0..BODY_LENGTHS.len())];
        let mut request = TestRequest::new(&id, CLASSES[rng.usize(0..CLASSES.len())], vec![b'x'; length]);
        request.timeout = Duration::from_millis(TIMEOUTS_MS[rng.usize(0..TIMEOUTS_MS.len())]);
        request.work_hint_micros = Some(WORK_HINT_MICROS);
        // A fifth of the requests share one affinity key.
        let affinity = if rng.u8(0..5) == 0 { "popular".to_string() } else { rng.u32(..).to_string() };
        request.affinity_key = Some(affinity);
        request
    }

    /// Sends a request and waits for the answer. Returns the connection if it can be used again.
    fn send(&self, request: &TestRequest, idle_connection: Option<TcpStream>) -> Option<TcpStream> {
        self.records.checker.record_request(request);
        let was_idle = idle_connection.is_some();
        let begun = Instant::now();
        let incarnation = self.node.current();
        let mut stream = match idle_connection {
            Some(stream) => stream,
            None => TcpStream::connect(incarnation.address).ok()?,
        };
        let _ = stream.set_nodelay(true);
        match request.send_on(&mut stream) {
            Ok(response) => {
                self.check_time(request, &response);
                self.record_answer(request, &response, stream)
            }
            // What a killed process had read may have run: a request that must not run twice is not sent
            // again.
            Err(_) if self.node.was_killed(&incarnation) => None,
            // The node may close an idle connection while the request is under way to it.
            Err(error) if was_idle && error.kind() != ErrorKind::WouldBlock => {
                self.send_again(request, begun)
            }
            Err(error) => {
                let elapsed = begun.elapsed();
                let line = format!("{} {elapsed:?} on a new connection, {error}", request.id);
                self.record_failure(&incarnation, begun, line);
                None
            }
        }
    }

    /// Sends a request once more on a new connection.
    fn send_again(&self, request: &TestRequest, begun: Instant) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(self.node.current().address).ok()?;
        let incarnation = self.node.current();
        match request.send_on(&mut stream) {
            Ok(response) => self.record_answer(request, &response, stream),
            Err(error) => {
                self.record_failure(&incarnation, begun, format!("{} sent again, {error}", request.id));
                None
            }
        }
    }

    fn check_time(&self, request: &TestRequest, response: &TestResponse) {
        if response.elapsed > request.timeout + ANSWER_GRACE {
            let TestResponse { status, elapsed, .. } = response;
            self.records.record_lost(format!("{} answered {status} after {elapsed:?}", request.id));
        }
    }

    /// Records an answer. Returns the connection if it stays open.
    fn record_answer(
        &self,
        request: &TestRequest,
        response: &TestResponse,
        stream: TcpStream,
    ) -> Option<TcpStream> {
        self.records.checker.record_response(&request.id, response.status);
        (!response.connection_close).then_some(stream)
    }

    /// Records a request as lost, unless its node may have closed the connection without an answer.
    fn record_failure(&self, incarnation: &Incarnation, begun: Instant, line: String) {
        if !self.node.may_close(incarnation, begun, ACCEPT_PERIOD_AFTER_SIGTERM) {
            self.records.record_lost(line);
        }
    }

    /// Sends a request and disconnects, in most cases before the answer.
    fn send_and_disconnect(&mut self, request: &TestRequest) {
        self.records.checker.record_request(request);
        let Ok(mut stream) = TcpStream::connect(self.node.current().address) else { return };
        if write_request(&mut stream, request).is_ok() {
            thread::sleep(Duration::from_millis(self.rng.u64(0..80)));
        }
    }

    /// Sends half a request, or bytes that are none, and disconnects.
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
