//! Decodes bodies as RFC 9112 frames them: a length, chunks, or all input until the connection closes.

use crate::error::WireError;

/// The longest line that a chunk's size or the trailer may have.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// The state of decoding a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDecoder {
    /// This many bytes follow.
    Length(usize),
    /// Everything until the connection closes follows.
    UntilClosed,
    /// The size line of a chunk follows.
    ChunkSize,
    /// This many bytes of a chunk follow.
    Chunk(usize),
    /// The line end after a chunk follows.
    ChunkEnd,
    /// The lines of the trailer follow.
    Trailer,
    /// The body is complete.
    Done,
}

impl BodyDecoder {
    /// Appends the content that `input` holds to `out`, and returns how many bytes of `input` were consumed.
    /// A line that is incomplete at the end of `input` is not consumed.
    ///
    /// # Errors
    /// The framing is malformed, or a chunk's size exceeds the address space.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, WireError> {
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
            match self.decode_part(rest, out)? {
                Some(length) => used += length,
                None => return Ok(used),
            }
        }
    }

    /// Decodes one part of the framing from `input`, which is not empty, and returns its length; `None` while
    /// its line is incomplete.
    fn decode_part(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<Option<usize>, WireError> {
        match *self {
            BodyDecoder::Done => Ok(None),
            BodyDecoder::Length(remaining) => {
                let length = copy_content(input, remaining, out);
                *self = BodyDecoder::Length(remaining - length);
                Ok(Some(length))
            }
            BodyDecoder::UntilClosed => {
                out.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            BodyDecoder::ChunkSize => self.decode_chunk_size(input),
            BodyDecoder::Chunk(remaining) => {
                let length = copy_content(input, remaining, out);
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
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((length, 0))) => {
                *self = BodyDecoder::Trailer;
                Ok(Some(length))
            }
            Ok(httparse::Status::Complete((length, size))) => {
                *self = BodyDecoder::Chunk(usize::try_from(size).map_err(|_| WireError::BodyTooLarge)?);
                Ok(Some(length))
            }
            Ok(httparse::Status::Partial) if input.len() < MAX_CHUNK_LINE_BYTES => Ok(None),
            Ok(httparse::Status::Partial) | Err(_) => Err(WireError::Malformed),
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

    /// Skips a line of the trailer; an empty line ends the body.
    fn decode_trailer_line(&mut self, input: &[u8]) -> Result<Option<usize>, WireError> {
        match input.iter().position(|&byte| byte == b'\n') {
            Some(end) => {
                if matches!(&input[..end], [] | [b'\r']) {
                    *self = BodyDecoder::Done;
                }
                Ok(Some(end + 1))
            }
            None if input.len() < MAX_CHUNK_LINE_BYTES => Ok(None),
            None => Err(WireError::Malformed),
        }
    }
}

/// Appends up to `remaining` bytes of `input` to `out`, and returns how many.
fn copy_content(input: &[u8], remaining: usize, out: &mut Vec<u8>) -> usize {
    let length = remaining.min(input.len());
    out.extend_from_slice(&input[..length]);
    length
}
