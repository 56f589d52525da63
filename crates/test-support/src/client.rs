//! A client that sends one request as it is told to, and reads its answer.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// How long the client waits.
    pub patience: Duration,
    /// The client's guess at the work, in microseconds.
    pub hint: Option<u64>,
    /// What it is about, if the client says so.
    pub affinity: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// It is sent in chunks, its length untold.
    pub chunked: bool,
    /// The client asks before it sends the body.
    pub expects: bool,
}

impl TestRequest {
    /// A request with its length told.
    pub fn new(id: &str, class: &str, body: Vec<u8>) -> TestRequest {
        let (id, class, patience) = (id.to_string(), class.to_string(), Duration::from_secs(5));
        TestRequest { id, class, patience, hint: None, affinity: None, body, chunked: false, expects: false }
    }

    /// Its head.
    pub fn head(&self) -> String {
        let TestRequest { id, class, patience, hint, affinity, body, chunked, expects } = self;
        let mut head =
            format!("POST /api HTTP/1.1\r\nHost: n\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n");
        head += &format!("Request-Timeout: {}m\r\nIdempotency-Key: k-{id}\r\n", patience.as_millis());
        if let Some(hint) = hint {
            head += &format!("Work-Hint: {hint}\r\n");
        }
        if let Some(key) = affinity {
            head += &format!("Affinity-Key: {key}\r\n");
        }
        if *expects {
            head += "Expect: 100-continue\r\n";
        }
        if *chunked {
            head + "Transfer-Encoding: chunked\r\n\r\n"
        } else {
            head + &format!("Content-Length: {}\r\n\r\n", body.len())
        }
    }

    /// Sends it on a new connection and reads the answer.
    ///
    /// # Errors
    /// Those of the connection, where no answer came.
    pub fn send(&self, address: &str) -> io::Result<TestResponse> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        self.send_on(&mut stream)
    }

    /// Sends it on this connection and reads the answer.
    ///
    /// # Errors
    /// Those of the connection, where no answer came.
    pub fn send_on(&self, stream: &mut TcpStream) -> io::Result<TestResponse> {
        let begun = Instant::now();
        stream.set_read_timeout(Some(self.patience + Duration::from_secs(5)))?;
        stream.write_all(self.head().as_bytes())?;
        if self.expects {
            let reply = TestResponse::read(stream, begun)?;
            if reply.status != 100 {
                return Ok(reply);
            }
        }
        // The answer may come before the body is written: whoever does not read while it writes could miss it.
        let mut writing = stream.try_clone()?;
        std::thread::scope(|scope| {
            let writer = scope.spawn(move || self.write_body(&mut writing));
            let reply = TestResponse::read(stream, begun);
            // What is left to write is for no one.
            if reply.is_err() || !writer.is_finished() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            let written = writer.join().unwrap_or(Ok(()));
            reply.map_err(|e| written.err().unwrap_or(e))
        })
    }

    fn write_body(&self, stream: &mut TcpStream) -> io::Result<()> {
        if !self.chunked {
            return stream.write_all(&self.body);
        }
        for piece in self.body.chunks(10_000) {
            stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes())?;
            stream.write_all(piece)?;
            stream.write_all(b"\r\n")?;
        }
        stream.write_all(b"0\r\nX: y\r\n\r\n")
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// Its status.
    pub status: u16,
    /// When to come back, in seconds.
    pub retry_after: Option<f64>,
    /// The connection ends with it.
    pub close: bool,
    /// Its body.
    pub body: String,
    /// Since the request's first byte.
    pub took: Duration,
}

impl TestResponse {
    /// Reads one answer.
    ///
    /// # Errors
    /// Those of the connection, and `InvalidData` for what is no answer.
    pub fn read(stream: &mut TcpStream, begun: Instant) -> io::Result<TestResponse> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let get = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)).map(str::trim);
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        let length = get("Content-Length:").and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        let retry_after = get("Retry-After:").and_then(|r| r.parse().ok());
        let body = String::from_utf8_lossy(&body).into_owned();
        let close = get("Connection:") == Some("close");
        Ok(TestResponse { status, retry_after, close, body, took: begun.elapsed() })
    }
}
