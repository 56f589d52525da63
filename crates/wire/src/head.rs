//! Heads: the first line and the headers of a message.

use crate::body::Body;
use crate::error::WireError;

/// The most bytes a head may hold.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most header lines of a head.
const HEADERS_MOST: usize = 64;

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A request.
    Request {
        /// Its method.
        method: String,
        /// Its path and query.
        target: String,
    },
    /// An answer.
    Response {
        /// Its status.
        status: u16,
    },
}

/// A head and the bytes it took; `None` while it is incomplete.
pub type Parsed = Result<Option<(Head, usize)>, WireError>;

/// A message's head.
#[derive(Clone, Debug)]
pub struct Head {
    /// Its first line.
    pub start: StartLine,
    headers: Vec<(String, String)>,
    minor: u8,
}

impl Head {
    /// Reads a request's head off the front of `bytes`; `None` while it is incomplete.
    pub fn parse_request(bytes: &[u8]) -> Parsed {
        let mut lines = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut parsed = httparse::Request::new(&mut lines);
        let status = parsed.parse(bytes);
        let start = StartLine::Request {
            method: parsed.method.unwrap_or_default().to_string(),
            target: parsed.path.unwrap_or_default().to_string(),
        };
        let minor = parsed.version.unwrap_or(1);
        Head::finish(bytes, status, start, minor, parsed.headers)
    }

    /// Reads an answer's head off the front of `bytes`; `None` while it is incomplete.
    pub fn parse_response(bytes: &[u8]) -> Parsed {
        let mut lines = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = parsed.parse(bytes);
        let start = StartLine::Response { status: parsed.code.unwrap_or_default() };
        let minor = parsed.version.unwrap_or(1);
        Head::finish(bytes, status, start, minor, parsed.headers)
    }

    fn finish(
        bytes: &[u8],
        status: httparse::Result<usize>,
        start: StartLine,
        minor: u8,
        lines: &[httparse::Header<'_>],
    ) -> Parsed {
        match status {
            Ok(httparse::Status::Complete(used)) if used <= MAX_HEAD_BYTES => {
                let text = |h: &httparse::Header<'_>| {
                    (h.name.to_string(), String::from_utf8_lossy(h.value).trim().to_string())
                };
                Ok(Some((Head { start, headers: lines.iter().map(text).collect(), minor }, used)))
            }
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(WireError::HeadTooLarge),
            Err(_) => Err(WireError::Malformed),
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
    pub fn body(&self) -> Result<Body, WireError> {
        let mut lengths = self.all("Content-Length");
        let mut codings = self.all("Transfer-Encoding");
        match (lengths.next(), codings.next()) {
            (Some(_), Some(_)) => Err(WireError::Malformed),
            (Some(length), None) => {
                let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
                if !digits || lengths.any(|other| other != length) {
                    return Err(WireError::Malformed);
                }
                Ok(Body::Length(length.parse().map_err(|_| WireError::BodyTooLarge)?))
            }
            (None, Some(coding)) => {
                if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() && self.minor >= 1 {
                    Ok(Body::Size)
                } else {
                    Err(WireError::Malformed)
                }
            }
            (None, None) => Ok(match self.start {
                StartLine::Request { .. } | StartLine::Response { status: 100..=199 | 204 | 304 } => {
                    Body::Length(0)
                }
                StartLine::Response { .. } => Body::UntilClosed,
            }),
        }
    }
}
