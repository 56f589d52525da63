//! A body read as JSON objects that follow each other, each on one line or on many.

use crate::body::Body;
use crate::connection::Connection;
use crate::error::WireError;

/// The most objects and arrays inside each other.
const DEPTH_MOST: usize = 64;

/// What has come of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonObjectEvent {
    /// An object, without the white space between its parts.
    Object(Vec<u8>),
    /// Something that completes no object: a blank line, or a part of one.
    Part,
    /// The end of the body, with no object begun.
    End,
}

/// A body read as objects.
pub struct JsonObjectReader {
    body: Body,
    input: Vec<u8>,
    used: usize,
    cutter: Cutter,
}

impl JsonObjectReader {
    /// JsonObjectReader of at most `most` bytes each, the white space between their parts not counted.
    pub fn new(body: Body, most: usize) -> JsonObjectReader {
        JsonObjectReader { body, input: Vec::new(), used: 0, cutter: Cutter::new(most) }
    }

    /// Whether an object has begun and is not whole.
    pub fn inside(&self) -> bool {
        self.cutter.inside()
    }

    /// What comes next; each piece that comes is told, so that a slow sender can be told from a silent one.
    ///
    /// # Errors
    /// What is no JSON object, or has a blank line inside: it was torn, and what follows is no part of it. One that is
    /// too large, and what can go wrong on the link.
    pub async fn next(&mut self, link: &mut Connection) -> Result<JsonObjectEvent, WireError> {
        if self.used == self.input.len() {
            self.used = 0;
            self.input.clear();
            if !link.read_body_chunk(&mut self.body, &mut self.input).await? {
                return if self.cutter.inside() { Err(WireError::Closed) } else { Ok(JsonObjectEvent::End) };
            }
        }
        while let Some(&byte) = self.input.get(self.used) {
            self.used += 1;
            if let Some(object) = self.cutter.push(byte)? {
                return Ok(JsonObjectEvent::Object(object));
            }
        }
        Ok(JsonObjectEvent::Part)
    }
}

/// Cuts text into objects. It checks no more than it has to for that, the reader of an object the rest.
struct Cutter {
    most: usize,
    text: Vec<u8>,
    open: Vec<u8>,
    string: Option<Escape>,
    gap: bool,
    blank: bool,
}

/// Whether the next byte of a string is taken as it is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Escape {
    No,
    Yes,
}

impl Cutter {
    fn new(most: usize) -> Cutter {
        Cutter { most, text: Vec::new(), open: Vec::new(), string: None, gap: false, blank: true }
    }

    fn inside(&self) -> bool {
        !self.open.is_empty()
    }

    /// Takes one byte; the object where that completes one.
    fn push(&mut self, byte: u8) -> Result<Option<Vec<u8>>, WireError> {
        if let Some(escape) = self.string {
            // A string has no line ends: this one was torn.
            if byte < b' ' {
                return Err(WireError::Malformed);
            }
            self.string = match (escape, byte) {
                (Escape::No, b'"') => None,
                (Escape::No, b'\\') => Some(Escape::Yes),
                _ => Some(Escape::No),
            };
            return self.keep(byte);
        }
        match byte {
            b'\n' if self.inside() && self.blank => return Err(WireError::Malformed),
            b' ' | b'\t' | b'\r' | b'\n' => {
                self.gap = true;
                self.blank |= byte == b'\n';
                return Ok(None);
            }
            b'{' | b'[' => {
                let before = self.text.last().copied();
                let fits = match self.open.last() {
                    None => byte == b'{',
                    Some(b'{') => before == Some(b':'),
                    Some(_) => matches!(before, Some(b'[' | b',')),
                };
                if !fits || self.open.len() == DEPTH_MOST {
                    return Err(WireError::Malformed);
                }
                self.open.push(byte);
            }
            b'}' | b']' => {
                let opened = if byte == b'}' { b'{' } else { b'[' };
                if self.open.pop() != Some(opened) {
                    return Err(WireError::Malformed);
                }
            }
            _ if !self.inside() => return Err(WireError::Malformed),
            b'"' => self.string = Some(Escape::No),
            // Two words must not become one where the space between them goes.
            _ if self.gap && self.text.last().is_some_and(|&last| word(last)) && word(byte) => {
                return Err(WireError::Malformed);
            }
            _ => {}
        }
        (self.gap, self.blank) = (false, false);
        self.keep(byte)
    }

    fn keep(&mut self, byte: u8) -> Result<Option<Vec<u8>>, WireError> {
        if self.text.len() == self.most {
            return Err(WireError::BodyTooLarge);
        }
        self.text.push(byte);
        Ok((!self.inside()).then(|| std::mem::take(&mut self.text)))
    }
}

/// Whether a byte is part of a number or of a word such as `true`.
fn word(byte: u8) -> bool {
    !matches!(byte, b'{' | b'}' | b'[' | b']' | b',' | b':' | b'"')
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use sorrelhaven_test_support::check_cases;

    /// The objects in a text, or the fault that ends them.
    fn cut(text: &str, most: usize) -> Result<Vec<String>, WireError> {
        let mut cutter = Cutter::new(most);
        let mut objects = Vec::new();
        for byte in text.bytes() {
            objects.extend(cutter.push(byte)?.map(|o| String::from_utf8(o).expect("text")));
        }
        if cutter.inside() { Err(WireError::Closed) } else { Ok(objects) }
    }

    #[test]
    fn objects_come_on_one_line_or_on_many() {
        let text =
            "\r\n{\"a\":1}\n\n{\r\n  \"b \\\"}\": [\n\t{ },\n\t{\"c\": true}\n  ]\n}\n{}{\"d\":-1e5}\n";
        let all = ["{\"a\":1}", "{\"b \\\"}\":[{},{\"c\":true}]}", "{}", "{\"d\":-1e5}"];
        assert_eq!(cut(text, 100), Ok(all.map(String::from).to_vec()));
    }

    #[test]
    fn what_is_torn_or_no_object_is_told_at_once() {
        let torn =
            ["{\"seq\":6,\n\n", "{\"seq\":6,\n{\"seq\":7", "{\"name\":\"s-\n", "{\"a\":[1,2}", "}", "[", "7"];
        for text in torn {
            assert_eq!(cut(text, 100), Err(WireError::Malformed), "{text:?}");
        }
        assert_eq!(cut("{\"a\":1 2}", 100), Err(WireError::Malformed));
        assert_eq!(cut(&"{\"a\":[".repeat(40), 1000), Err(WireError::Malformed));
        assert_eq!(cut("{\"a\":", 100), Err(WireError::Closed));
        assert_eq!(cut("{ \"a\" :\n 12 }", 8), Ok(vec!["{\"a\":12}".to_string()]));
        assert_eq!(cut("{\"a\":123}", 8), Err(WireError::BodyTooLarge));
    }

    /// Any JSON value of some depth.
    fn value() -> impl Strategy<Value = serde_json::Value> {
        let leaf = prop_oneof![
            Just(serde_json::Value::Null),
            any::<bool>().prop_map(Into::into),
            any::<i64>().prop_map(Into::into),
            "[ -~\\n\"\\\\{}\\[\\]]{0,12}".prop_map(Into::into),
        ];
        leaf.prop_recursive(4, 24, 4, |inner| {
            prop_oneof![
                prop::collection::vec(inner.clone(), 0..4).prop_map(Into::into),
                prop::collection::btree_map("[ -~]{0,6}", inner, 0..4)
                    .prop_map(|m| serde_json::Value::Object(m.into_iter().collect())),
            ]
        })
    }

    #[test]
    fn objects_are_the_same_however_they_are_laid_out() {
        check_cases(300, prop::collection::vec((value(), any::<bool>()), 0..6), |objects| {
            let mut text = String::new();
            let mut plain = Vec::new();
            for (value, indented) in objects {
                let object = serde_json::json!({ "v": value });
                text += &if indented { format!("{object:#}\n\n") } else { format!("{object}\n") };
                plain.push(object.to_string());
            }
            prop_assert_eq!(cut(&text, usize::MAX), Ok(plain));
            Ok(())
        });
    }
}
