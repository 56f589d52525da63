//! Reads a body as a sequence of JSON objects, each on one line or on several.

use crate::body::BodyDecoder;
use crate::connection::Connection;
use crate::error::WireError;

/// The most objects and arrays that may be nested.
const MAX_DEPTH: usize = 64;

/// What arrived of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonObjectEvent {
    /// An object, without the white space between its tokens.
    Object(Vec<u8>),
    /// Input that completes no object: a blank line, or a part of an object.
    Incomplete,
    /// The end of the body, outside of an object.
    End,
}

/// Reads a body as a sequence of JSON objects.
pub struct JsonObjectReader {
    body: BodyDecoder,
    input: Vec<u8>,
    /// How many bytes of `input` were consumed.
    used: usize,
    splitter: JsonObjectSplitter,
}

impl JsonObjectReader {
    /// A reader of objects of at most `max_object_bytes` each, without the white space between their tokens.
    pub fn new(body: BodyDecoder, max_object_bytes: usize) -> JsonObjectReader {
        let splitter = JsonObjectSplitter::new(max_object_bytes);
        JsonObjectReader { body, input: Vec::new(), used: 0, splitter }
    }

    /// Whether an object has begun and is incomplete.
    pub fn is_inside_object(&self) -> bool {
        self.splitter.is_inside_object()
    }

    /// The next event. Input that completes no object is reported too, so that a slow sender is
    /// distinguishable from a silent one.
    ///
    /// # Errors
    /// `Malformed` for input that is no JSON object, and for a blank line inside an object: the object was
    /// truncated, and what follows is no part of it. `BodyTooLarge` for an object beyond the limit. `Closed`
    /// where the body ends inside an object. Errors of the connection.
    pub async fn next(&mut self, connection: &mut Connection) -> Result<JsonObjectEvent, WireError> {
        if self.used == self.input.len() && !self.read_more(connection).await? {
            return if self.is_inside_object() { Err(WireError::Closed) } else { Ok(JsonObjectEvent::End) };
        }
        while let Some(&byte) = self.input.get(self.used) {
            self.used += 1;
            if let Some(object) = self.splitter.push(byte)? {
                return Ok(JsonObjectEvent::Object(object));
            }
        }
        Ok(JsonObjectEvent::Incomplete)
    }

    /// Replaces the consumed input; false at the end of the body.
    async fn read_more(&mut self, connection: &mut Connection) -> Result<bool, WireError> {
        self.used = 0;
        self.input.clear();
        connection.read_body_chunk(&mut self.body, &mut self.input).await
    }
}

/// Splits text into objects. Validates only what that requires; the parser of an object validates the rest.
struct JsonObjectSplitter {
    max_object_bytes: usize,
    /// The current object so far.
    text: Vec<u8>,
    /// The opening brackets of the current object's open objects and arrays, the outermost first.
    open: Vec<u8>,
    /// Set inside a string.
    string: Option<Escape>,
    /// White space precedes the next byte.
    after_space: bool,
    /// The current line holds nothing but white space.
    line_is_blank: bool,
}

/// Whether the next byte of a string is escaped by a backslash.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Escape {
    No,
    Yes,
}

impl JsonObjectSplitter {
    fn new(max_object_bytes: usize) -> JsonObjectSplitter {
        JsonObjectSplitter {
            max_object_bytes,
            text: Vec::new(),
            open: Vec::new(),
            string: None,
            after_space: false,
            line_is_blank: true,
        }
    }

    fn is_inside_object(&self) -> bool {
        !self.open.is_empty()
    }

    /// Consumes one byte; the object where that completes one.
    fn push(&mut self, byte: u8) -> Result<Option<Vec<u8>>, WireError> {
        if let Some(escape) = self.string {
            self.push_in_string(byte, escape)?;
            return self.append(byte);
        }
        if matches!(byte, b' ' | b'\t' | b'\r' | b'\n') {
            self.push_space(byte)?;
            return Ok(None);
        }
        match byte {
            b'{' | b'[' => self.open_bracket(byte)?,
            b'}' | b']' => self.close_bracket(byte)?,
            _ if !self.is_inside_object() => return Err(WireError::Malformed),
            b'"' => self.string = Some(Escape::No),
            // Without the space between them, two literals would become one.
            _ if self.after_space
                && self.text.last().is_some_and(|&last| is_literal(last))
                && is_literal(byte) =>
            {
                return Err(WireError::Malformed);
            }
            _ => {}
        }
        self.after_space = false;
        self.line_is_blank = false;
        self.append(byte)
    }

    fn push_in_string(&mut self, byte: u8, escape: Escape) -> Result<(), WireError> {
        // A string holds no control characters: at a line end it was truncated.
        if byte < b' ' {
            return Err(WireError::Malformed);
        }
        self.string = match (escape, byte) {
            (Escape::No, b'"') => None,
            (Escape::No, b'\\') => Some(Escape::Yes),
            _ => Some(Escape::No),
        };
        Ok(())
    }

    fn push_space(&mut self, byte: u8) -> Result<(), WireError> {
        let is_line_end = byte == b'\n';
        if is_line_end && self.is_inside_object() && self.line_is_blank {
            return Err(WireError::Malformed);
        }
        self.after_space = true;
        self.line_is_blank |= is_line_end;
        Ok(())
    }

    fn open_bracket(&mut self, bracket: u8) -> Result<(), WireError> {
        let previous = self.text.last().copied();
        let is_allowed = match self.open.last() {
            None => bracket == b'{',
            Some(b'{') => previous == Some(b':'),
            Some(_) => matches!(previous, Some(b'[' | b',')),
        };
        if !is_allowed || self.open.len() == MAX_DEPTH {
            return Err(WireError::Malformed);
        }
        self.open.push(bracket);
        Ok(())
    }

    fn close_bracket(&mut self, bracket: u8) -> Result<(), WireError> {
        let opening = if bracket == b'}' { b'{' } else { b'[' };
        if self.open.pop() != Some(opening) {
            return Err(WireError::Malformed);
        }
        Ok(())
    }

    /// Appends a byte to the current object; the object where that completes it.
    fn append(&mut self, byte: u8) -> Result<Option<Vec<u8>>, WireError> {
        if self.text.len() == self.max_object_bytes {
            return Err(WireError::BodyTooLarge);
        }
        self.text.push(byte);
        if self.is_inside_object() {
            return Ok(None);
        }
        Ok(Some(std::mem::take(&mut self.text)))
    }
}

/// Whether a byte is part of a literal: a number, `true`, `false` or `null`.
fn is_literal(byte: u8) -> bool {
    !matches!(byte, b'{' | b'}' | b'[' | b']' | b',' | b':' | b'"')
}

#[cfg(test)]
mod tests;
