//! Decodes message bodies framed as in RFC 9112, section 6: by a length, in chunks, or by the end of the
//! connection.

use crate::error::WireError;

/// The greatest length of a chunk's size line and of a line of the trailer section.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// A decoder of one body. Its variant says what the next byte of input belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDecoder {
    /// The content of a body with a `Content-Length`, of which this many bytes remain.
    Length(usize),
    /// The content of a body that ends when the peer closes the connection.
    UntilClosed,
    /// The size line of a chunk.
    ChunkSize,
    /// The content of a chunk, of which this many bytes remain.
    Chunk(usize),
    /// The line end after the content of a chunk.
    ChunkEnd,
    /// A line of the trailer section.
    Trailer,
    /// The body is complete.
    Done,
}

impl BodyDecoder {
    /// The number of bytes of input that are content only, as far as the framing says; 0 if the next byte of input
    /// is framing.
    pub fn remaining_content(&self) -> usize {
        match *self {
            BodyDecoder::Length(remaining) | BodyDecoder::Chunk(remaining) => remaining,
            BodyDecoder::UntilClosed => usize::MAX,
            BodyDecoder::ChunkSize | BodyDecoder::ChunkEnd | BodyDecoder::Trailer | BodyDecoder::Done => 0,
        }
    }

    /// Appends the content that `input` holds to `content`, and returns how many bytes of `input` were
    /// consumed. A framing line that is incomplete at the end of `input` is not consumed; it must be passed
    /// again with more input. Bytes after the body are not consumed.
    ///
    /// # Errors
    /// `Malformed` if the framing is invalid. `BodyTooLarge` if a chunk's size exceeds the address space.
    pub fn decode(&mut self, input: &[u8], content: &mut Vec<u8>) -> Result<usize, WireError> {
        let mut used = 0;
        loop {
            if matches!(self, BodyDecoder::Done | BodyDecoder::Length(0)) {
                *self = BodyDecoder::Done;
                return Ok(used);
            }
            let rest = &input[used..];
            if rest.is_empty() {
                return Ok(used);
            }
            match self.decode_part(rest, content)? {
                Some(length) => used += length,
                None => return Ok(used),
            }
        }
    }

    /// Decodes one framing line, or the available content, from the beginning of `input`, which must not be
    /// empty. Returns the number of bytes consumed, or `None` if a framing line is incomplete.
    fn decode_part(&mut self, input: &[u8], content: &mut Vec<u8>) -> Result<Option<usize>, WireError> {
        match *self {
            BodyDecoder::Done => Ok(None),
            BodyDecoder::Length(remaining) => {
                let length = copy_content(input, remaining, content);
                *self = BodyDecoder::Length(remaining - length);
                Ok(Some(length))
            }
            BodyDecoder::UntilClosed => {
                content.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            BodyDecoder::ChunkSize => self.decode_chunk_size(input),
            BodyDecoder::Chunk(remaining) => {
                let length = copy_content(input, remaining, content);
                *self = if length == remaining {
                    BodyDecoder::ChunkEnd
                } else {
                    BodyDecoder::Chunk(remaining - length)
                };
                Ok(Some(length))
            }
            BodyDecoder::ChunkEnd => self.decode_chunk_end(input),
            BodyDecoder::Trailer => self.decode_trailer_line(input),
        }
    }

    fn decode_chunk_size(&mut self, input: &[u8]) -> Result<Option<usize>, WireError> {
        // The parser takes a line without digits for a size of 0, which would end the body.
        if !input.first().is_some_and(u8::is_ascii_hexdigit) {
            return Err(WireError::Malformed);
        }
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((length, size))) if is_line_of_text(&input[..length]) => {
                *self = match usize::try_from(size).map_err(|_| WireError::BodyTooLarge)? {
                    0 => BodyDecoder::Trailer,
                    size => BodyDecoder::Chunk(size),
                };
                Ok(Some(length))
            }
            Ok(httparse::Status::Partial) if input.len() < MAX_CHUNK_LINE_BYTES => Ok(None),
            Ok(_) | Err(_) => Err(WireError::Malformed),
        }
    }

    fn decode_chunk_end(&mut self, input: &[u8]) -> Result<Option<usize>, WireError> {
        match input {
            [b'\r', b'\n', ..] => {
                *self = BodyDecoder::ChunkSize;
                Ok(Some(2))
            }
            [b'\r'] => Ok(None),
            _ => Err(WireError::Malformed),
        }
    }

    /// Skips a field line of the trailer section; an empty line ends the body.
    fn decode_trailer_line(&mut self, input: &[u8]) -> Result<Option<usize>, WireError> {
        let Some(end) = input.iter().position(|&byte| byte == b'\n') else {
            return if input.len() < MAX_CHUNK_LINE_BYTES { Ok(None) } else { Err(WireError::Malformed) };
        };
        let line = &input[..=end];
        if matches!(line, b"\n" | b"\r\n") {
            *self = BodyDecoder::Done;
        } else if !is_field_line(line) {
            return Err(WireError::Malformed);
        }
        Ok(Some(line.len()))
    }
}

/// Whether `line` holds no control characters but tabs before the CRLF that ends it. Another recipient might take a line
/// feed in a chunk extension for the end of the line.
fn is_line_of_text(line: &[u8]) -> bool {
    let text = line.strip_suffix(b"\r\n").unwrap_or(line);
    text.iter().all(|&byte| byte == b'\t' || !byte.is_ascii_control())
}

/// Whether `line`, with its line end, is a header field.
fn is_field_line(line: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; 1];
    let section = [line, b"\r\n"].concat();
    matches!(httparse::parse_headers(&section, &mut fields), Ok(httparse::Status::Complete((_, [_]))))
}

/// Appends up to `remaining` bytes of `input` to `content`, and returns how many.
fn copy_content(input: &[u8], remaining: usize, content: &mut Vec<u8>) -> usize {
    let length = remaining.min(input.len());
    content.extend_from_slice(&input[..length]);
    length
}
