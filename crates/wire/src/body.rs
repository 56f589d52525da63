//! Bodies as RFC 9112 frames them: a length, chunks, or all until the connection closes.

use crate::error::WireError;

/// The most a chunk's size line or the trailer may hold, in bytes.
const CHUNK_LINE_MOST: usize = 1024;

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
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, WireError> {
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
                        *self = Body::Chunk(usize::try_from(size).map_err(|_| WireError::BodyTooLarge)?);
                    }
                    Ok(httparse::Status::Partial) if rest.len() < CHUNK_LINE_MOST => return Ok(at),
                    Ok(httparse::Status::Partial) | Err(_) => return Err(WireError::Malformed),
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
                    _ => return Err(WireError::Malformed),
                },
                Body::Trailer => match rest.iter().position(|&b| b == b'\n') {
                    Some(end) => {
                        at += end + 1;
                        if end == 0 || (end == 1 && rest[0] == b'\r') {
                            *self = Body::Done;
                        }
                    }
                    None if rest.len() < CHUNK_LINE_MOST => return Ok(at),
                    None => return Err(WireError::Malformed),
                },
            }
        }
    }
}
