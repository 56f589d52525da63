//! Values of header fields: what HTTP counts as white space, as text and as a list.
//!
//! A value is bytes. White space around it, spaces and tabs, is not part of it (RFC 9110, sections 5.5 and 5.6.3). All
//! other bytes are: a value that can't be read as text is an error, and is never changed into one that can.

use crate::error::WireError;
use std::fmt;

/// The characters that HTTP counts as white space around values and list members.
const WHITE_SPACE: [char; 2] = [' ', '\t'];

/// Why the value of a header field can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidField {
    /// There are several fields of this name, of which another recipient might read another one.
    Repeated,
    /// The value has bytes other than printable ASCII characters, spaces and tabs.
    NotText,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            InvalidField::Repeated => "the field is repeated",
            InvalidField::NotText => "the value is not printable ASCII text",
        })
    }
}

impl std::error::Error for InvalidField {}

impl From<InvalidField> for WireError {
    fn from(_: InvalidField) -> WireError {
        WireError::Malformed
    }
}

/// The value as text.
///
/// # Errors
/// `NotText` if it has bytes other than printable ASCII characters, spaces and tabs.
pub(crate) fn text(value: &[u8]) -> Result<&str, InvalidField> {
    let is_text = |byte: &u8| byte.is_ascii_graphic() || matches!(byte, b' ' | b'\t');
    if !value.iter().all(is_text) {
        return Err(InvalidField::NotText);
    }
    std::str::from_utf8(value).map_err(|_| InvalidField::NotText)
}

/// `text` without HTTP's white space around it.
pub fn trim_white_space(text: &str) -> &str {
    text.trim_matches(WHITE_SPACE)
}

/// The members of a comma-separated list that are not empty (RFC 9110, section 5.6.1).
pub(crate) fn members(list: &str) -> impl Iterator<Item = &str> {
    list.split(',').map(trim_white_space).filter(|member| !member.is_empty())
}

/// Whether `text` is a token (RFC 9110, section 5.6.2).
pub(crate) fn is_token(text: &str) -> bool {
    const SPECIAL: &[u8] = b"!#$%&'*+-.^_`|~";
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || SPECIAL.contains(&byte))
}
