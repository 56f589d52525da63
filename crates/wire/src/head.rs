//! Message heads: the start line and the header fields.

use crate::body::BodyDecoder;
use crate::error::WireError;

/// The largest head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most header fields of a head.
const MAX_HEADERS: usize = 64;

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A request.
    Request {
        /// Its method.
        method: String,
        /// Its target: path and query.
        target: String,
    },
    /// A response.
    Response {
        /// Its status.
        status: u16,
    },
}

/// A head and its length.
#[derive(Clone, Debug)]
pub struct ParsedHead {
    /// The head.
    pub head: Head,
    /// How many bytes of the input it occupies.
    pub length: usize,
}

/// The head at the beginning of an input; `None` while it is incomplete.
pub type ParseResult = Result<Option<ParsedHead>, WireError>;

/// The head of a message.
#[derive(Clone, Debug)]
pub struct Head {
    /// Its start line.
    pub start_line: StartLine,
    headers: Vec<Header>,
    minor_version: u8,
}

/// A header field.
#[derive(Clone, Debug)]
struct Header {
    name: String,
    value: String,
}

impl Header {
    /// Copies a parsed field; bytes that are not UTF-8 are replaced.
    fn new(field: &httparse::Header<'_>) -> Header {
        Header {
            name: field.name.to_string(),
            value: String::from_utf8_lossy(field.value).trim().to_string(),
        }
    }
}

impl Head {
    /// Parses a request's head at the beginning of `bytes`; `None` while it is incomplete.
    ///
    /// # Errors
    /// `Malformed` or `HeadTooLarge`.
    pub fn parse_request(bytes: &[u8]) -> ParseResult {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut fields);
        let status = request.parse(bytes);
        let start_line = StartLine::Request {
            method: request.method.unwrap_or_default().to_string(),
            target: request.path.unwrap_or_default().to_string(),
        };
        let minor_version = request.version.unwrap_or(1);
        Head::finish(bytes, status, start_line, minor_version, request.headers)
    }

    /// Parses a response's head at the beginning of `bytes`; `None` while it is incomplete.
    ///
    /// # Errors
    /// `Malformed` or `HeadTooLarge`.
    pub fn parse_response(bytes: &[u8]) -> ParseResult {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut fields);
        let status = response.parse(bytes);
        let start_line = StartLine::Response { status: response.code.unwrap_or_default() };
        let minor_version = response.version.unwrap_or(1);
        Head::finish(bytes, status, start_line, minor_version, response.headers)
    }

    fn finish(
        bytes: &[u8],
        status: httparse::Result<usize>,
        start_line: StartLine,
        minor_version: u8,
        fields: &[httparse::Header<'_>],
    ) -> ParseResult {
        match status {
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => {
                let headers = fields.iter().map(Header::new).collect();
                Ok(Some(ParsedHead { head: Head { start_line, headers, minor_version }, length }))
            }
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(WireError::HeadTooLarge),
            Err(_) => Err(WireError::Malformed),
        }
    }

    /// The value of the first header field of this name, in any case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// The value of a header field that is present exactly once.
    pub fn get_unique(&self, name: &str) -> Option<&str> {
        let mut values = self.all(name);
        let value = values.next()?;
        match values.next() {
            None => Some(value),
            Some(_) => None,
        }
    }

    fn all(&self, name: &str) -> impl Iterator<Item = &str> {
        let named = self.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.as_str())
    }

    fn has_connection_option(&self, option: &str) -> bool {
        let mut options = self.all("Connection").flat_map(|value| value.split(','));
        options.any(|present| present.trim().eq_ignore_ascii_case(option))
    }

    /// Whether the connection stays open after this message.
    pub fn keeps_alive(&self) -> bool {
        if self.has_connection_option("close") {
            return false;
        }
        self.minor_version >= 1 || self.has_connection_option("keep-alive")
    }

    /// How the body is framed.
    ///
    /// # Errors
    /// `Malformed` where the framing is ambiguous, since two recipients might split such a message
    /// differently, which permits request smuggling. `BodyTooLarge` where the length exceeds the address
    /// space.
    pub fn body_decoder(&self) -> Result<BodyDecoder, WireError> {
        let mut lengths = self.all("Content-Length");
        let mut codings = self.all("Transfer-Encoding");
        match (lengths.next(), codings.next()) {
            (Some(_), Some(_)) => Err(WireError::Malformed),
            (Some(length), None) => {
                if lengths.any(|other| other != length) {
                    return Err(WireError::Malformed);
                }
                parse_length(length)
            }
            (None, Some(coding)) => {
                let is_chunked = coding.eq_ignore_ascii_case("chunked") && codings.next().is_none();
                if is_chunked && self.minor_version >= 1 {
                    Ok(BodyDecoder::ChunkSize)
                } else {
                    Err(WireError::Malformed)
                }
            }
            (None, None) => Ok(self.body_without_framing()),
        }
    }

    /// The body of a message that has neither a length nor a transfer coding.
    fn body_without_framing(&self) -> BodyDecoder {
        match self.start_line {
            StartLine::Request { .. } | StartLine::Response { status: 100..=199 | 204 | 304 } => {
                BodyDecoder::Length(0)
            }
            StartLine::Response { .. } => BodyDecoder::UntilClosed,
        }
    }
}

/// Parses a `Content-Length`: decimal digits only, without the sign that `parse` would accept.
fn parse_length(text: &str) -> Result<BodyDecoder, WireError> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(WireError::Malformed);
    }
    text.parse().map(BodyDecoder::Length).map_err(|_| WireError::BodyTooLarge)
}
