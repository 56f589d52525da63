//! HTTP/1.1 as far as both sides need it: heads, bodies and lines, every buffer bounded.
//!
//! The parsing does no I/O; [`Link`] feeds it from a socket.

use async_io::Async;
use futures_lite::AsyncWriteExt;
use futures_lite::future::yield_now;
use std::io::{self, Read};
use std::net::TcpStream;

/// The most a head may hold, and how many header lines.
pub const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;
/// The most a body may hold, by the protocol.
pub const BODY_MOST: usize = 64 * 1024;
/// The most that is still taken from a connection that is given up.
const LINGER_MOST: usize = 4 * BODY_MOST;
/// The most a chunk's size line or the trailer may hold.
const CHUNK_LINE_MOST: usize = 1024;

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The other side ended its sending.
    Closed,
    /// The connection broke.
    Broken,
    /// What came is not HTTP, or not to be trusted.
    Malformed,
    /// The head is larger than the bound.
    HeadTooLarge,
    /// The body or a line of it is larger than the bound.
    BodyTooLarge,
}

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// A request's method and target.
    Request { method: String, target: String },
    /// An answer's status.
    Answer { status: u16 },
}

/// A head and the bytes it took; `None` while it is incomplete.
pub type Parsed = Result<Option<(Head, usize)>, Fault>;

/// A message's head.
#[derive(Clone, Debug)]
pub struct Head {
    /// Its first line.
    pub start: Start,
    headers: Vec<(String, String)>,
    minor: u8,
}

impl Head {
    /// Reads a request's head off the front of `bytes`; `None` while it is incomplete.
    pub fn request(bytes: &[u8]) -> Parsed {
        let mut lines = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut parsed = httparse::Request::new(&mut lines);
        let status = parsed.parse(bytes);
        let start = Start::Request {
            method: parsed.method.unwrap_or_default().to_string(),
            target: parsed.path.unwrap_or_default().to_string(),
        };
        let minor = parsed.version.unwrap_or(1);
        Head::finish(bytes, status, start, minor, parsed.headers)
    }

    /// Reads an answer's head off the front of `bytes`; `None` while it is incomplete.
    pub fn answer(bytes: &[u8]) -> Parsed {
        let mut lines = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = parsed.parse(bytes);
        let start = Start::Answer { status: parsed.code.unwrap_or_default() };
        let minor = parsed.version.unwrap_or(1);
        Head::finish(bytes, status, start, minor, parsed.headers)
    }

    fn finish(
        bytes: &[u8],
        status: httparse::Result<usize>,
        start: Start,
        minor: u8,
        lines: &[httparse::Header<'_>],
    ) -> Parsed {
        match status {
            Ok(httparse::Status::Complete(used)) if used <= HEAD_MOST => {
                let text = |h: &httparse::Header<'_>| {
                    (h.name.to_string(), String::from_utf8_lossy(h.value).trim().to_string())
                };
                Ok(Some((Head { start, headers: lines.iter().map(text).collect(), minor }, used)))
            }
            Ok(httparse::Status::Partial) if bytes.len() < HEAD_MOST => Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Fault::HeadTooLarge),
            Err(_) => Err(Fault::Malformed),
        }
    }

    /// A header's value.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// The value of a header that stands there once.
    pub fn only(&self, name: &str) -> Option<&str> {
        let mut values = self.all(name);
        values.next().filter(|_| values.next().is_none())
    }

    fn all(&self, name: &str) -> impl Iterator<Item = &str> {
        self.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    fn names_connection(&self, option: &str) -> bool {
        self.all("Connection").flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case(option))
    }

    /// Whether the connection stays open after this message.
    pub fn keeps_alive(&self) -> bool {
        !self.names_connection("close") && (self.minor >= 1 || self.names_connection("keep-alive"))
    }

    /// How the body is framed. A message that gives two lengths is one that two readers may take apart
    /// differently, so it is malformed.
    pub fn body(&self) -> Result<Body, Fault> {
        let mut lengths = self.all("Content-Length");
        let mut codings = self.all("Transfer-Encoding");
        match (lengths.next(), codings.next()) {
            (Some(_), Some(_)) => Err(Fault::Malformed),
            (Some(length), None) => {
                let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
                if !digits || lengths.any(|other| other != length) {
                    return Err(Fault::Malformed);
                }
                Ok(Body::Length(length.parse().map_err(|_| Fault::BodyTooLarge)?))
            }
            (None, Some(coding)) => {
                if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() && self.minor >= 1 {
                    Ok(Body::Size)
                } else {
                    Err(Fault::Malformed)
                }
            }
            (None, None) => Ok(match self.start {
                Start::Request { .. } | Start::Answer { status: 100..=199 | 204 | 304 } => Body::Length(0),
                Start::Answer { .. } => Body::UntilClosed,
            }),
        }
    }
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// So many bytes are to come.
    Length(usize),
    /// All that comes until the connection closes.
    UntilClosed,
    /// A chunk's size line is to come.
    Size,
    /// So many bytes of a chunk are to come.
    Chunk(usize),
    /// The line end behind a chunk is to come.
    ChunkEnd,
    /// The trailer's lines are to come.
    Trailer,
    /// It is complete.
    Done,
}

impl Body {
    /// Moves what `input` holds of the body to `out` and returns how much of `input` it has used.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, Fault> {
        let mut at = 0;
        loop {
            let rest = &input[at..];
            match *self {
                Body::Done | Body::Length(0) => {
                    *self = Body::Done;
                    return Ok(at);
                }
                _ if rest.is_empty() => return Ok(at),
                Body::Length(left) => {
                    let take = left.min(rest.len());
                    out.extend_from_slice(&rest[..take]);
                    at += take;
                    *self = Body::Length(left - take);
                }
                Body::UntilClosed => {
                    out.extend_from_slice(rest);
                    at = input.len();
                }
                Body::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((used, 0))) => {
                        at += used;
                        *self = Body::Trailer;
                    }
                    Ok(httparse::Status::Complete((used, size))) => {
                        at += used;
                        *self = Body::Chunk(usize::try_from(size).map_err(|_| Fault::BodyTooLarge)?);
                    }
                    Ok(httparse::Status::Partial) if rest.len() < CHUNK_LINE_MOST => return Ok(at),
                    Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Malformed),
                },
                Body::Chunk(left) => {
                    let take = left.min(rest.len());
                    out.extend_from_slice(&rest[..take]);
                    at += take;
                    *self = if take == left { Body::ChunkEnd } else { Body::Chunk(left - take) };
                }
                Body::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        at += 2;
                        *self = Body::Size;
                    }
                    [b'\r'] => return Ok(at),
                    _ => return Err(Fault::Malformed),
                },
                Body::Trailer => match rest.iter().position(|&b| b == b'\n') {
                    Some(end) => {
                        at += end + 1;
                        if end == 0 || (end == 1 && rest[0] == b'\r') {
                            *self = Body::Done;
                        }
                    }
                    None if rest.len() < CHUNK_LINE_MOST => return Ok(at),
                    None => return Err(Fault::Malformed),
                },
            }
        }
    }
}

/// A connection and what has come on it and was not used yet.
pub struct Link {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
}

impl Link {
    /// Small messages must not wait for more to go with them: Nagle is off.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Link> {
        stream.get_ref().set_nodelay(true)?;
        Ok(Link { stream, buffer: Vec::new() })
    }

    /// Bytes that have come and were not used.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Waits for more bytes. Nothing is lost if the wait is dropped.
    pub async fn fill(&mut self) -> Result<(), Fault> {
        loop {
            match self.read() {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.readable().await.map_err(|_| Fault::Broken)?;
                }
                Err(_) => return Err(Fault::Broken),
                Ok(0) => return Err(Fault::Closed),
                Ok(_) => return Ok(()),
            }
        }
    }

    /// Takes what has come. Not in `fill`, where the piece would be part of every waiting task.
    fn read(&mut self) -> io::Result<usize> {
        let mut piece = [0; 8 * 1024];
        let n = self.stream.get_ref().read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..n]);
        Ok(n)
    }

    /// Waits until the other side has ended the connection; reads no further than one head ahead.
    pub async fn ended(&mut self) {
        while self.buffer.len() < HEAD_MOST {
            if self.fill().await.is_err() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Whether something has come, or the other side has ended the connection, while it stood idle.
    pub fn disturbed(&self) -> bool {
        let quiet = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        !self.buffer.is_empty() || !self.stream.get_ref().peek(&mut [0]).is_err_and(|e| quiet(&e))
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.stream.write_all(bytes).await.map_err(|_| Fault::Broken)
    }

    /// Ends the sending, and takes some of what still comes, so that the last answer is not lost to a reset.
    pub async fn linger(&mut self) {
        if self.stream.get_ref().shutdown(std::net::Shutdown::Write).is_ok() {
            let mut taken = 0;
            while taken < LINGER_MOST {
                taken += std::mem::take(&mut self.buffer).len();
                if self.fill().await.is_err() {
                    return;
                }
                // One that sends at full speed must not keep the others waiting.
                yield_now().await;
            }
        }
    }

    /// Reads a head.
    pub async fn head(&mut self, parse: fn(&[u8]) -> Parsed) -> Result<Head, Fault> {
        loop {
            if let Some((head, used)) = parse(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(head);
            }
            self.fill().await?;
        }
    }

    /// Takes more of a body into `out`; false once it is complete.
    pub async fn more(&mut self, body: &mut Body, out: &mut Vec<u8>) -> Result<bool, Fault> {
        loop {
            let before = out.len();
            let used = body.decode(&self.buffer, out)?;
            self.buffer.drain(..used);
            if out.len() > before {
                return Ok(true);
            }
            if *body == Body::Done {
                return Ok(false);
            }
            match self.fill().await {
                Err(Fault::Closed) if *body == Body::UntilClosed => *body = Body::Done,
                filled => filled?,
            }
        }
    }

    /// Reads a whole body, up to the protocol's bound.
    pub async fn whole(&mut self, mut body: Body) -> Result<Vec<u8>, Fault> {
        if matches!(body, Body::Length(n) if n > BODY_MOST) {
            return Err(Fault::BodyTooLarge);
        }
        let mut out = Vec::new();
        while self.more(&mut body, &mut out).await? {
            if out.len() > BODY_MOST {
                return Err(Fault::BodyTooLarge);
            }
        }
        // One large message must not leave every link with a large buffer for good.
        self.buffer.shrink_to(HEAD_MOST);
        Ok(out)
    }
}

/// A body read line by line.
pub struct Lines {
    body: Body,
    text: Vec<u8>,
    most: usize,
}

impl Lines {
    /// Lines of at most `most` bytes.
    pub fn new(body: Body, most: usize) -> Lines {
        Lines { body, text: Vec::new(), most }
    }

    /// The next line without its end; `None` once the body is complete.
    pub async fn next(&mut self, link: &mut Link) -> Result<Option<Vec<u8>>, Fault> {
        loop {
            if let Some(end) = self.text.iter().position(|&b| b == b'\n') {
                let mut line: Vec<u8> = self.text.drain(..=end).collect();
                line.truncate(end);
                return Ok(Some(line));
            }
            if self.text.len() > self.most {
                return Err(Fault::BodyTooLarge);
            }
            if !link.more(&mut self.body, &mut self.text).await? {
                let rest = std::mem::take(&mut self.text);
                return Ok(Some(rest).filter(|r| !r.is_empty()));
            }
        }
    }
}
