//! Parses the parts of a request that a fake worker needs.

use std::io::{self, BufRead};

/// The headers of a request that a fake worker needs.
pub(super) struct RequestHead {
    pub(super) id: String,
    /// `None` for a chunked body.
    body_length: Option<usize>,
}

impl RequestHead {
    /// Reads one head. Returns `None` if the connection ends before the blank line. The id is kept byte for byte: each
    /// byte becomes the character of the same number.
    pub(super) fn read(reader: &mut impl BufRead) -> Option<RequestHead> {
        let mut head = RequestHead { id: String::new(), body_length: None };
        let mut line = Vec::new();
        let mut lines = 0;
        loop {
            line.clear();
            if reader.read_until(b'\n', &mut line).ok()? == 0 {
                return None;
            }
            lines += 1;
            let text: String = line.iter().map(|&byte| char::from(byte)).collect();
            match text.trim_end_matches(['\r', '\n']).split_once(": ") {
                Some(("Request-Id", id)) => head.id = id.to_string(),
                Some(("Content-Length", length)) => head.body_length = length.parse().ok(),
                None if text.trim_end_matches(['\r', '\n']).is_empty() && lines > 1 => return Some(head),
                _ => {}
            }
        }
    }

    /// Reads the body that follows this head. Fails if the body is incomplete.
    pub(super) fn read_body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let Some(length) = self.body_length else {
            return read_chunked_body(reader);
        };
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        Ok(body)
    }
}

fn read_chunked_body(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut size_line = String::new();
        reader.read_line(&mut size_line)?;
        let size = usize::from_str_radix(size_line.trim_end(), 16).map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut line_end = [0; 2];
        reader.read_exact(&mut line_end)?;
        if size == 0 {
            return Ok(body);
        }
    }
}
