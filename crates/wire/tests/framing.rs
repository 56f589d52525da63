//! Parsing of heads and bodies: input that is split anywhere, malformed, or random.

use proptest::prelude::*;
use sorrelhaven_test_support::check_cases;
use sorrelhaven_wire::{BodyDecoder, Head, WireError};

/// The network may split a body anywhere. The decoder must not consume bytes of the next message.
#[test]
fn a_chunked_body_decodes_the_same_in_pieces_of_any_size() {
    let chunks = prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..6);
    check_cases(256, (chunks, 1usize..9), |(chunks, piece_bytes)| {
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\nX: y\r\n\r\nNEXT");
        let (mut decoder, mut content, mut buffer) = (BodyDecoder::ChunkSize, Vec::new(), Vec::new());
        for piece in wire.chunks(piece_bytes) {
            buffer.extend_from_slice(piece);
            let used = decoder.decode(&buffer, &mut content).expect("the body is valid");
            buffer.drain(..used);
        }
        prop_assert_eq!(decoder, BodyDecoder::Done);
        prop_assert_eq!(content, chunks.concat());
        prop_assert_eq!(buffer, b"NEXT".to_vec());
        Ok(())
    });
}

/// A peer must not be able to crash the node with any input.
#[test]
fn random_bytes_never_make_the_parsers_panic() {
    let fragments =
        prop::sample::select(vec!["GET ", "HTTP/1.1 200", "\r\n", "0", "ffffffffffffffff", ":", ";", "\0"]);
    let bytes = prop_oneof![
        fragments.prop_map(|text| text.as_bytes().to_vec()),
        prop::collection::vec(any::<u8>(), 0..9)
    ];
    check_cases(512, prop::collection::vec(bytes, 0..12), |pieces| {
        let bytes = pieces.concat();
        let _ = (Head::parse_request(&bytes), Head::parse_response(&bytes));
        for mut decoder in [
            BodyDecoder::ChunkSize,
            BodyDecoder::Chunk(3),
            BodyDecoder::ChunkEnd,
            BodyDecoder::Trailer,
            BodyDecoder::Length(5),
        ] {
            let used = decoder.decode(&bytes, &mut Vec::new());
            prop_assert!(used.is_err() || used.is_ok_and(|length| length <= bytes.len()));
        }
        Ok(())
    });
}

/// Two recipients could find different ends of such a message, which permits request smuggling.
#[test]
fn a_message_with_ambiguous_framing_is_malformed() {
    for lengths in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Content-Length: -1",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ] {
        let head = format!("POST /api HTTP/1.1\r\n{lengths}\r\n\r\n");
        let parsed =
            Head::parse_request(head.as_bytes()).expect("the head is valid").expect("the head is complete");
        assert_eq!(parsed.head.body_decoder().err(), Some(WireError::Malformed), "{lengths}");
    }
}

/// Decodes a chunked body, and returns its content and the number of bytes that it has in `wire`.
fn decode_chunked(wire: &[u8]) -> Result<(Vec<u8>, usize), WireError> {
    let (mut decoder, mut content) = (BodyDecoder::ChunkSize, Vec::new());
    let length = decoder.decode(wire, &mut content)?;
    if decoder == BodyDecoder::Done { Ok((content, length)) } else { Err(WireError::Closed) }
}

/// Guards against a size line without a size being read as the end of the body: what a client sent after it would be
/// taken for the next request, and a part of a body for the whole. RFC 9112, section 7.1: a size has one digit at least.
#[test]
fn a_chunk_size_without_digits_is_malformed() {
    for line in ["", " ", "\t", ";x", " ;x", "+0", "-0", "0x0", "\u{a0}0", "0\u{a0}", "\u{ff10}", "g"] {
        let wire = format!("2\r\nab\r\n{line}\r\n\r\n");
        assert_eq!(decode_chunked(wire.as_bytes()), Err(WireError::Malformed), "{line:?}");
    }
    for line in ["0", "000", "0 ", "0\t", "0;x", "0 ;x=\"y\""] {
        let wire = format!("2\r\nab\r\n{line}\r\n\r\n");
        assert_eq!(decode_chunked(wire.as_bytes()), Ok((b"ab".to_vec(), wire.len())), "{line:?}");
    }
}

/// Guards against a line feed in a chunk extension: a recipient that ends the line there finds another body. RFC 9112,
/// section 7.1.1: an extension has tokens and quoted strings, which hold no control characters.
#[test]
fn a_chunk_extension_with_a_control_character_is_malformed() {
    for line in ["2;x\n", "2;x=\"\n\"", "2;\0", "2;x\u{7f}"] {
        let wire = format!("{line}\r\nab\r\n0\r\n\r\n");
        assert_eq!(decode_chunked(wire.as_bytes()), Err(WireError::Malformed), "{line:?}");
    }
    let wire = b"2;x=\"\t\xe9\"\r\nab\r\n0\r\n\r\n";
    assert_eq!(decode_chunked(wire), Ok((b"ab".to_vec(), wire.len())));
}

/// Guards against a request whose predecessor lacks its last line end being skipped as a trailer: its client would never
/// be answered. RFC 9112, section 7.1.2: a trailer section is field lines.
#[test]
fn a_trailer_line_that_is_no_field_is_malformed() {
    for line in ["POST /api HTTP/1.1", "X", " X: y", "X\u{a0}: y", ": y", "X: \0"] {
        let wire = format!("0\r\n{line}\r\n\r\n");
        assert_eq!(decode_chunked(wire.as_bytes()), Err(WireError::Malformed), "{line:?}");
    }
    for lines in ["X: y\r\n", "X:\r\nY:\t\u{a0}\r\n", "X: y\n"] {
        let wire = format!("0\r\n{lines}\r\n");
        assert_eq!(decode_chunked(wire.as_bytes()), Ok((Vec::new(), wire.len())), "{lines:?}");
    }
}
