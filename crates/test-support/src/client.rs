//! An HTTP client that sends one request and reads the response.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use std::borrow::Cow;
use std::io::{self, ErrorKind, Read, Write};
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

    /// Writes the body until the response begins, and reads the response. The node may respond before it has read
    /// the whole body and close the connection; the reset that follows would discard a response that is still
    /// unread.
    ///
    /// All of this is done by the calling thread: in a test with thousands of threads, another one may start so late
    /// that the node has answered the missing body with 408.
    fn send_body_and_read(&self, stream: &mut TcpStream, sent_at: Instant) -> io::Result<TestResponse> {
        let body = self.encoded_body();
        let written = write_until_response(stream, &body, self.timeout + READ_GRACE);
        let is_whole = matches!(written, Ok(length) if length == body.len());
        let response = match written {
            Err(timeout) if timeout.kind() == ErrorKind::WouldBlock => Err(timeout),
            Err(error) => TestResponse::read(stream, sent_at).map_err(|_| error),
            Ok(_) => TestResponse::read(stream, sent_at),
        };
        if response.is_err() || !is_whole {
            let _ = stream.shutdown(Shutdown::Both);
        }
        response
    }

    /// The bytes that carry the body.
    fn encoded_body(&self) -> Cow<'_, [u8]> {
        if !self.chunked {
            return Cow::Borrowed(&self.body);
        }
        let mut encoded = Vec::new();
        for piece in self.body.chunks(BODY_CHUNK_BYTES) {
            encoded.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            encoded.extend_from_slice(piece);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded.extend_from_slice(b"0\r\nX: y\r\n\r\n");
        Cow::Owned(encoded)
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
        let status = status.ok_or(ErrorKind::InvalidData)?;
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

/// Writes `bytes` until all are written or input arrives, and returns the number of written bytes.
///
/// # Errors
/// That of the connection, or `WouldBlock` if neither happens within `limit`.
fn write_until_response(stream: &mut TcpStream, bytes: &[u8], limit: Duration) -> io::Result<usize> {
    let deadline = Instant::now() + limit;
    stream.set_nonblocking(true)?;
    let written = write_available(stream, bytes, deadline);
    stream.set_nonblocking(false)?;
    written
}

/// As [`write_until_response`], for a stream that does not block.
fn write_available(stream: &mut TcpStream, bytes: &[u8], deadline: Instant) -> io::Result<usize> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(length) => written += length,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if wait_until_ready(stream, deadline)?.intersects(PollFlags::IN) {
                    break;
                }
            }
            Err(error) => return Err(error),
        }
    }
    Ok(written)
}

/// Waits until the stream can be read or written, and returns which.
///
/// # Errors
/// That of the connection, or `WouldBlock` if neither happens by `deadline`.
fn wait_until_ready(stream: &TcpStream, deadline: Instant) -> io::Result<PollFlags> {
    let mut events = [PollFd::new(stream, PollFlags::IN | PollFlags::OUT)];
    let remaining = deadline.saturating_duration_since(Instant::now());
    let timeout = Timespec::try_from(remaining).map_err(io::Error::other)?;
    match poll(&mut events, Some(&timeout)) {
        Ok(0) => Err(ErrorKind::WouldBlock.into()),
        Ok(_) => Ok(events[0].revents()),
        Err(Errno::INTR) => Ok(PollFlags::empty()),
        Err(errno) => Err(errno.into()),
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
