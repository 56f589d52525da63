//! An HTTP client that sends one request and reads the response.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// `Request-Timeout` of a request, unless the test sets another.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The client waits this much longer than the request's timeout, so that a late answer is recorded as late,
/// not as lost.
const READ_GRACE: Duration = Duration::from_secs(5);
/// Length of each chunk of a chunked body; the last may be shorter.
const BODY_CHUNK_BYTES: usize = 10_000;

/// A request and the way in which it is sent.
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// `Request-Id`; the idempotency key is `k-` and this id.
    pub id: String,
    /// `Request-Class`, the name of the request class.
    pub class: String,
    /// `Request-Timeout`: the time within which the client needs the answer.
    pub timeout: Duration,
    /// `Work-Hint`: the client's estimate of the work, in microseconds; the header is omitted if `None`.
    pub work_hint_micros: Option<u64>,
    /// `Affinity-Key`; the header is omitted if `None`.
    pub affinity_key: Option<String>,
    /// The bytes of the request body.
    pub body: Vec<u8>,
    /// Whether the body is sent with `Transfer-Encoding: chunked` instead of `Content-Length`.
    pub chunked: bool,
    /// Whether the client sends `Expect: 100-continue` and waits for status 100 before it sends the body.
    pub expect_continue: bool,
}

impl TestRequest {
    /// Creates a request with `Content-Length` and a timeout of 5 s, without the optional headers.
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

    /// The request line and the headers, with the blank line that ends them.
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

    /// Sends the request on a new connection and reads the response.
    ///
    /// # Errors
    /// Those of the connection, if it fails or ends before the whole response is read.
    pub fn send(&self, address: &str) -> io::Result<TestResponse> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        self.send_on(&mut stream)
    }

    /// Sends the request on an open connection and reads the response. With `Expect: 100-continue`, a final
    /// response instead of status 100 is returned and the body is not sent.
    ///
    /// # Errors
    /// Those of the connection, if it fails or ends before the whole response is read.
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

    /// Writes the body and reads the response at the same time. The node may respond before it has read the
    /// whole body and close the connection; the reset that follows would discard a response that is still
    /// unread.
    fn send_body_and_read(&self, stream: &mut TcpStream, sent_at: Instant) -> io::Result<TestResponse> {
        let mut body_stream = stream.try_clone()?;
        std::thread::scope(|scope| {
            let writer = scope.spawn(move || self.write_body(&mut body_stream));
            let response = TestResponse::read(stream, sent_at);
            // The node no longer reads the body after a response or an error: end the writer if it blocks.
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

/// The HTTP response that a client received.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// The HTTP status code.
    pub status: u16,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// Whether the response says `Connection: close`.
    pub connection_close: bool,
    /// The response body; bytes that are not UTF-8 are replaced.
    pub body: String,
    /// The time from the first byte sent to the last byte received.
    pub elapsed: Duration,
}

impl TestResponse {
    /// Reads the response to a request whose first byte was sent at `sent_at`.
    ///
    /// # Errors
    /// Those of the connection, and `InvalidData` if the status line has no valid status code.
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

/// Reads up to the blank line that ends a response head, inclusive.
fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
