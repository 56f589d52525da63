//! A scripted client: sends one request and reads its answer.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// The timeout that a request states if the test does not say otherwise.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// For so long after the stated timeout the client still waits, so that a late answer shows as late and not
/// as lost.
const READ_GRACE: Duration = Duration::from_secs(5);
/// Length of the chunks in which a chunked body is sent.
const BODY_CHUNK_BYTES: usize = 10_000;

/// A request, and how it is sent.
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// The request id, from which the idempotency key is made.
    pub id: String,
    /// The request class.
    pub class: String,
    /// The time that the client states in which it needs the answer.
    pub timeout: Duration,
    /// The client's estimate of the work, in microseconds.
    pub work_hint_micros: Option<u64>,
    /// The affinity key.
    pub affinity_key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body is sent in chunks, without its length in the head.
    pub chunked: bool,
    /// Whether the client sends `Expect: 100-continue` and waits for 100 before it sends the body.
    pub expect_continue: bool,
}

impl TestRequest {
    /// A request that states its length and a timeout of 5 s.
    pub fn new(id: &str, class: &str, body: Vec<u8>) -> TestRequest {
        TestRequest {
            id: id.to_string(),
            class: class.to_string(),
            timeout: DEFAULT_REQUEST_TIMEOUT,
            work_hint_micros: None,
            affinity_key: None,
            body,
            chunked: false,
            expect_continue: false,
        }
    }

    /// The request's head, with the blank line that ends it.
    pub fn head(&self) -> String {
        let id = &self.id;
        let class = &self.class;
        let timeout_ms = self.timeout.as_millis();
        let mut head =
            format!("POST /api HTTP/1.1\r\nHost: n\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n");
        head += &format!("Request-Timeout: {timeout_ms}m\r\nIdempotency-Key: k-{id}\r\n");
        if let Some(hint) = self.work_hint_micros {
            head += &format!("Work-Hint: {hint}\r\n");
        }
        if let Some(key) = &self.affinity_key {
            head += &format!("Affinity-Key: {key}\r\n");
        }
        if self.expect_continue {
            head += "Expect: 100-continue\r\n";
        }
        if self.chunked {
            head + "Transfer-Encoding: chunked\r\n\r\n"
        } else {
            head + &format!("Content-Length: {}\r\n\r\n", self.body.len())
        }
    }

    /// Sends the request on a new connection and reads the answer.
    ///
    /// # Errors
    /// Those of the connection, if it ends without an answer.
    pub fn send(&self, address: &str) -> io::Result<TestResponse> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        self.send_on(&mut stream)
    }

    /// Sends the request on an open connection and reads the answer. With `Expect: 100-continue`, a final
    /// answer in place of 100 is returned and the body is not sent.
    ///
    /// # Errors
    /// Those of the connection, if it ends without an answer.
    pub fn send_on(&self, stream: &mut TcpStream) -> io::Result<TestResponse> {
        let sent_at = Instant::now();
        stream.set_read_timeout(Some(self.timeout + READ_GRACE))?;
        stream.write_all(self.head().as_bytes())?;
        if self.expect_continue {
            let response = TestResponse::read(stream, sent_at)?;
            if response.status != 100 {
                return Ok(response);
            }
        }
        self.send_body_and_read(stream, sent_at)
    }

    /// Writes the body while it reads the answer: one that comes before the body is written would be lost to
    /// the reset of the connection if the client read only afterwards.
    fn send_body_and_read(&self, stream: &mut TcpStream, sent_at: Instant) -> io::Result<TestResponse> {
        let mut body_stream = stream.try_clone()?;
        std::thread::scope(|scope| {
            let writer = scope.spawn(move || self.write_body(&mut body_stream));
            let response = TestResponse::read(stream, sent_at);
            // Nobody reads the rest of the body after the answer.
            if response.is_err() || !writer.is_finished() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            let written = writer.join().unwrap_or(Ok(()));
            response.map_err(|error| written.err().unwrap_or(error))
        })
    }

    fn write_body(&self, stream: &mut TcpStream) -> io::Result<()> {
        if !self.chunked {
            return stream.write_all(&self.body);
        }
        for piece in self.body.chunks(BODY_CHUNK_BYTES) {
            stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes())?;
            stream.write_all(piece)?;
            stream.write_all(b"\r\n")?;
        }
        stream.write_all(b"0\r\nX: y\r\n\r\n")
    }
}

/// An answer as a client receives it.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// The status.
    pub status: u16,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// Whether the connection ends with this answer.
    pub connection_close: bool,
    /// The body.
    pub body: String,
    /// The time since the request's first byte was sent.
    pub elapsed: Duration,
}

impl TestResponse {
    /// Reads one answer to a request whose first byte was sent at `sent_at`.
    ///
    /// # Errors
    /// Those of the connection, and `InvalidData` if the head has no status.
    pub fn read(stream: &mut TcpStream, sent_at: Instant) -> io::Result<TestResponse> {
        let head = read_head(stream)?;
        let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let length = header("Content-Length:").and_then(|length| length.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        Ok(TestResponse {
            status,
            retry_after: header("Retry-After:").and_then(|seconds| seconds.parse().ok()),
            connection_close: header("Connection:") == Some("close"),
            body: String::from_utf8_lossy(&body).into_owned(),
            elapsed: sent_at.elapsed(),
        })
    }
}

/// Reads up to the blank line that ends a head.
fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
