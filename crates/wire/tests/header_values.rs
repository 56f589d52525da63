//! The bytes of header fields: which of them are white space, and which values can be read.

use proptest::prelude::*;
use sorrelhaven_test_support::check_cases;
use sorrelhaven_wire::{BodyDecoder, Head, InvalidField, WireError};

/// White space of Unicode in UTF-8 that HTTP has no such name for: no-break space, next line, en quad, line separator,
/// ideographic space.
const UNICODE_SPACES: [&str; 5] = ["\u{a0}", "\u{85}", "\u{2000}", "\u{2028}", "\u{3000}"];

fn head_with(fields: &[u8]) -> Head {
    let head = [b"POST /api HTTP/1.1\r\n", fields, b"\r\n\r\n"].concat();
    Head::parse_request(&head).expect("the head is valid").expect("the head is complete").head
}

fn head_with_field(name: &str, value: &[u8]) -> Head {
    head_with(&[name.as_bytes(), b":", value].concat())
}

/// Guards against a value that is cut or replaced on its way (review/7). RFC 9110, section 5.5: a field value doesn't
/// include the spaces and tabs around it; all other bytes are part of it.
#[test]
fn a_value_is_kept_byte_for_byte_without_the_spaces_and_tabs_around_it() {
    let allowed = prop_oneof![4 => 0x80u8..=0xff, 2 => Just(b' '), 1 => Just(b'\t'), 3 => 0x21u8..=0x7e];
    check_cases(512, prop::collection::vec(allowed, 0..12), |value| {
        let is_white_space = |byte: &u8| matches!(byte, b' ' | b'\t');
        let begin = value.iter().position(|byte| !is_white_space(byte)).unwrap_or(value.len());
        let end = value.iter().rposition(|byte| !is_white_space(byte)).map_or(begin, |last| last + 1);
        let head = head_with_field("X", &value);
        prop_assert_eq!(head.value("x"), Ok(Some(&value[begin..end])));
        let is_text = value[begin..end].iter().all(|byte| matches!(byte, b' '..=b'~' | b'\t'));
        prop_assert_eq!(head.text("X").is_ok(), is_text);
        Ok(())
    });
}

/// Guards against white space that only Unicode knows being taken for HTTP's (review/7).
#[test]
fn white_space_outside_ascii_is_part_of_a_value_and_makes_it_no_text() {
    for space in UNICODE_SPACES {
        for value in [format!("1{space}"), format!("{space}1"), format!("1 {space}\t")] {
            let head = head_with_field("X", value.as_bytes());
            assert_eq!(head.value("X"), Ok(Some(value.trim_matches([' ', '\t']).as_bytes())));
            assert_eq!(head.text("X"), Err(InvalidField::NotText), "{value:?}");
            assert_eq!(head.list("X"), Err(InvalidField::NotText), "{value:?}");
        }
    }
}

/// Guards against a length or a coding that can't be read deciding where a message ends. RFC 9112, section 6.2:
/// Content-Length is digits only.
#[test]
fn framing_that_cannot_be_read_is_malformed() {
    for space in UNICODE_SPACES {
        for (name, value) in [("Content-Length", "4"), ("Transfer-Encoding", "chunked")] {
            for value in [format!("{value}{space}"), format!("{space}{value}")] {
                let decoder = head_with_field(name, value.as_bytes()).body_decoder();
                assert_eq!(decoder.err(), Some(WireError::Malformed), "{name}: {value:?}");
            }
        }
    }
    assert_eq!(head_with_field("Content-Length", b" \t4\t ").body_decoder(), Ok(BodyDecoder::Length(4)));
    assert_eq!(
        head_with_field("Transfer-Encoding", b"\tChunked ").body_decoder(),
        Ok(BodyDecoder::ChunkSize)
    );
}

/// Guards against an option that can't be read deciding whether the connection stays open. RFC 9110, section 7.6.1:
/// Connection is a list of tokens.
#[test]
fn connection_options_are_tokens_with_spaces_and_tabs_around_them() {
    for (value, expected) in [("close", false), ("\t foo ,\tClose\t", false), ("foo", true), (" , ,", true)] {
        assert_eq!(head_with_field("Connection", value.as_bytes()).keeps_alive(), Ok(expected), "{value:?}");
    }
    for space in UNICODE_SPACES {
        for value in [format!("close{space}"), format!("foo,{space}close"), format!("{space},close")] {
            let keeps_alive = head_with_field("Connection", value.as_bytes()).keeps_alive();
            assert_eq!(keeps_alive, Err(WireError::Malformed), "{value:?}");
        }
    }
    assert_eq!(head_with_field("Connection", b"clo se").keeps_alive(), Err(WireError::Malformed));
}
