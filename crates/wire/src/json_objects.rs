//! Splits the content of a body into JSON objects, each on one line or on several.

use crate::body::BodyDecoder;
use crate::connection::Connection;
use crate::error::WireError;

/// The most input that is read before it is split.
const MAX_PIECE_BYTES: usize = 64 * 1024;
/// The greatest nesting depth of objects and arrays.
const MAX_DEPTH: usize = 64;

/// The progress of reading a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonObjectEvent {
    /// A complete object, without the white space between its tokens.
    Object(Vec<u8>),
    /// Input has arrived that does not complete an object, such as a blank line or a part of an object.
    Incomplete,
    /// The body has ended, and no object is incomplete.
    End,
}

/// Reads a body as a sequence of JSON objects, and limits the size of each.
pub struct JsonObjectReader {
    decoder: BodyDecoder,
    input: Vec<u8>,
    /// How many bytes of `input` were consumed.
    consumed: usize,
    splitter: JsonObjectSplitter,
}

impl JsonObjectReader {
    /// A reader of the body that `decoder` decodes. An object may have at most `max_object_bytes`, not
    /// counting the white space between its tokens.
    pub fn new(decoder: BodyDecoder, max_object_bytes: usize) -> JsonObjectReader {
        let splitter = JsonObjectSplitter::new(max_object_bytes);
        JsonObjectReader { decoder, input: Vec::new(), consumed: 0, splitter }
    }

    /// Whether the input consumed so far ends inside an object.
    pub fn is_inside_object(&self) -> bool {
        self.splitter.is_inside_object()
    }

    /// Waits for the next event. Input that does not complete an object is reported as well, so that the
    /// caller can distinguish a slow sender from one that sends nothing.
    ///
    /// # Errors
    /// `Malformed` for input that is not a JSON object, or is nested too deeply, and for a blank line inside
    /// an object: the sender has truncated the object, and what follows is not part of it. `BodyTooLarge` for
    /// an object that exceeds the limit. `Closed` if the body ends inside an object. Otherwise as
    /// [`Connection::read_body_chunk`].
    pub async fn next(&mut self, connection: &mut Connection) -> Result<JsonObjectEvent, WireError> {
        if self.consumed == self.input.len() && !self.read_more(connection).await? {
            return if self.is_inside_object() { Err(WireError::Closed) } else { Ok(JsonObjectEvent::End) };
        }
        while let Some(&byte) = self.input.get(self.consumed) {
            self.consumed += 1;
            if let Some(object) = self.splitter.push(byte)? {
                return Ok(JsonObjectEvent::Object(object));
            }
        }
        Ok(JsonObjectEvent::Incomplete)
    }

    /// Replaces the consumed input by the next content of the body. Returns false at the end of the body.
    async fn read_more(&mut self, connection: &mut Connection) -> Result<bool, WireError> {
        self.consumed = 0;
        self.input.clear();
        connection.read_body_chunk(&mut self.decoder, &mut self.input, MAX_PIECE_BYTES).await
    }
}

/// Splits text into JSON objects. Checks only brackets, strings and white space, which suffices to find the
/// ends of objects; the caller's JSON parser checks the rest.
struct JsonObjectSplitter {
    max_object_bytes: usize,
    /// The beginning of the current object, without white space between tokens.
    text: Vec<u8>,
    /// The opening brackets of the objects and arrays that are not closed yet, the outermost first.
    open_brackets: Vec<u8>,
    /// Whether the next byte is escaped; `None` outside of a string.
    string: Option<Escape>,
    /// Whether white space precedes the next byte.
    after_space: bool,
    /// Whether the current line holds nothing but white space so far.
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
            open_brackets: Vec::new(),
            string: None,
            after_space: false,
            line_is_blank: true,
        }
    }

    fn is_inside_object(&self) -> bool {
        !self.open_brackets.is_empty()
    }

    /// Consumes one byte, and returns the object if the byte completes one.
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
            // Two literals in a row are invalid. Without the white space between them they would become a
            // valid one.
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
        // JSON strings hold no control characters. A line feed in one means that the sender has truncated it.
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
        let is_allowed = match self.open_brackets.last() {
            None => bracket == b'{',
            Some(b'{') => previous == Some(b':'),
            Some(_) => matches!(previous, Some(b'[' | b',')),
        };
        if !is_allowed || self.open_brackets.len() == MAX_DEPTH {
            return Err(WireError::Malformed);
        }
        self.open_brackets.push(bracket);
        Ok(())
    }

    fn close_bracket(&mut self, bracket: u8) -> Result<(), WireError> {
        let opening = if bracket == b'}' { b'{' } else { b'[' };
        if self.open_brackets.pop() != Some(opening) {
            return Err(WireError::Malformed);
        }
        Ok(())
    }

    /// Appends a byte to the current object, and returns the object if the byte completes it.
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
