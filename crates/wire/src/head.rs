//! Parses message heads: the start line and the header fields.

use crate::body::BodyDecoder;
use crate::error::WireError;
use crate::field_value::{InvalidField, is_token, members, text};

/// The greatest length of a head, from the start line to the empty line.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The greatest number of header fields in a head.
const MAX_HEADERS: usize = 64;

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// The request line.
    Request {
        /// The method, such as `POST`.
        method: String,
        /// The request target: path and query.
        target: String,
    },
    /// The status line.
    Response {
        /// The status code; the reason phrase is not kept.
        status: u16,
    },
}

/// A parsed head, and where the body begins.
#[derive(Clone, Debug)]
pub struct ParsedHead {
    /// The start line and header fields.
    pub head: Head,
    /// The length of the head in the input, in bytes, including the empty line that ends it.
    pub length: usize,
}

/// The head at the beginning of the input, or `None` if more input is needed.
pub type ParseResult = Result<Option<ParsedHead>, WireError>;

/// The head of a message.
#[derive(Clone, Debug)]
pub struct Head {
    /// The request line or status line.
    pub start_line: StartLine,
    headers: Vec<Header>,
    minor_version: u8,
}

#[derive(Clone, Debug)]
struct Header {
    name: String,
    value: Vec<u8>,
}

impl Header {
    /// Copies a parsed field. The parser has removed the white space around the value.
    fn new(field: &httparse::Header<'_>) -> Header {
        Header { name: field.name.to_string(), value: field.value.to_vec() }
    }
}

impl Head {
    /// Parses the head of a request at the beginning of `bytes`. Returns `None` if the head is incomplete.
    ///
    /// # Errors
    /// `Malformed` if `bytes` does not begin with the head of a request. `HeadTooLarge` if the head exceeds
    /// [`MAX_HEAD_BYTES`] or has more than 64 header fields.
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

    /// Parses the head of a response at the beginning of `bytes`. Returns `None` if the head is incomplete.
    ///
    /// # Errors
    /// `Malformed` if `bytes` does not begin with the head of a response. `HeadTooLarge` if the head exceeds
    /// [`MAX_HEAD_BYTES`] or has more than 64 header fields.
    pub fn parse_response(bytes: &[u8]) -> ParseResult {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut fields);
        let status = response.parse(bytes);
        let start_line = StartLine::Response { status: response.code.unwrap_or_default() };
        let minor_version = response.version.unwrap_or(1);
        Head::finish(bytes, status, start_line, minor_version, response.headers)
    }

    /// Converts the result of the parser, and checks the limits.
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

    /// The values of the header fields with this name, which is compared case-insensitively.
    fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let matching = self.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        matching.map(|header| header.value.as_slice())
    }

    /// The value of the header field with this name, byte for byte; `None` without one.
    ///
    /// # Errors
    /// `Repeated` if there are several.
    pub fn value(&self, name: &str) -> Result<Option<&[u8]>, InvalidField> {
        let mut values = self.values(name);
        let value = values.next();
        match values.next() {
            None => Ok(value),
            Some(_) => Err(InvalidField::Repeated),
        }
    }

    /// The value of the header field with this name, as text; `None` without one.
    ///
    /// # Errors
    /// `Repeated` if there are several. `NotText` if the value can't be read as text.
    pub fn text(&self, name: &str) -> Result<Option<&str>, InvalidField> {
        self.value(name)?.map(text).transpose()
    }

    /// The members of all comma-separated lists in header fields with this name.
    ///
    /// # Errors
    /// `NotText` if one of the values can't be read as text.
    pub fn list(&self, name: &str) -> Result<Vec<&str>, InvalidField> {
        let lists = self.values(name).map(text).collect::<Result<Vec<&str>, InvalidField>>()?;
        Ok(lists.into_iter().flat_map(members).collect())
    }

    /// Whether the sender keeps the connection open after this message: by the `Connection` header, or by the
    /// default of the HTTP version (only 1.1 does).
    ///
    /// # Errors
    /// `Malformed` if the `Connection` header is not a list of tokens.
    pub fn keeps_alive(&self) -> Result<bool, WireError> {
        let options = self.list("Connection")?;
        if !options.iter().all(|option| is_token(option)) {
            return Err(WireError::Malformed);
        }
        let has_option = |name: &str| options.iter().any(|option| option.eq_ignore_ascii_case(name));
        Ok(!has_option("close") && (self.minor_version >= 1 || has_option("keep-alive")))
    }

    /// A decoder for the body, by the framing that the header fields declare.
    ///
    /// # Errors
    /// `Malformed` if the framing is ambiguous or unsupported: two recipients might split such a message
    /// differently, which permits request smuggling. `BodyTooLarge` if the length exceeds the address space.
    pub fn body_decoder(&self) -> Result<BodyDecoder, WireError> {
        let mut lengths = self.values("Content-Length");
        let mut codings = self.values("Transfer-Encoding");
        match (lengths.next(), codings.next()) {
            (Some(_), Some(_)) => Err(WireError::Malformed),
            (Some(length), None) => {
                if lengths.any(|other| other != length) {
                    return Err(WireError::Malformed);
                }
                parse_length(length)
            }
            (None, Some(coding)) => {
                let is_chunked = coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
                if is_chunked && self.minor_version >= 1 {
                    Ok(BodyDecoder::ChunkSize)
                } else {
                    Err(WireError::Malformed)
                }
            }
            (None, None) => Ok(self.body_without_framing()),
        }
    }

    /// The body of a message without `Content-Length` and `Transfer-Encoding`.
    fn body_without_framing(&self) -> BodyDecoder {
        match self.start_line {
            StartLine::Request { .. } | StartLine::Response { status: 100..=199 | 204 | 304 } => {
                BodyDecoder::Length(0)
            }
            StartLine::Response { .. } => BodyDecoder::UntilClosed,
        }
    }
}

/// Parses a `Content-Length`, which must consist of decimal digits only: `str::parse` would accept a sign
/// too.
fn parse_length(value: &[u8]) -> Result<BodyDecoder, WireError> {
    let digits = text(value)?;
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(WireError::Malformed);
    }
    digits.parse().map(BodyDecoder::Length).map_err(|_| WireError::BodyTooLarge)
}
