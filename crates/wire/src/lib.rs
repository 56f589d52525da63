//! HTTP/1.1 for clients and servers over bounded buffers: message heads, bodies, and lines or JSON objects in
//! bodies. Also classifies the errors of socket calls, and sets deadlines on futures.
//!
//! The parsers ([`Head`], [`BodyDecoder`]) do no I/O; [`Connection`] feeds them from a socket. An invalid
//! message or a failed connection is reported as a [`WireError`]. The syntax follows RFC 9110 and RFC 9112,
//! the limits the platform's protocol.
//!
//! ```
//! use sorrelhaven_wire::{BodyDecoder, Head};
//!
//! let text = b"POST /api HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
//! let parsed = Head::parse_request(text)?.expect("a complete head");
//! let (mut decoder, mut content) = (parsed.head.body_decoder()?, Vec::new());
//! decoder.decode(&text[parsed.length..], &mut content)?;
//! assert_eq!((decoder, content.as_slice()), (BodyDecoder::Done, b"body".as_slice()));
//! # Ok::<(), sorrelhaven_wire::WireError>(())
//! ```

mod body;
mod buffer_budget;
mod connect;
mod connection;
mod deadline;
mod errno;
mod error;
mod field_value;
mod head;
mod json_objects;
mod lines;
mod peer_close_detector;
mod retry;

pub use body::BodyDecoder;
pub use buffer_budget::{BufferBudget, BufferReservation, UNRESERVED_BYTES};
pub use connection::{Connection, MAX_BODY_BYTES, PIECE_BYTES};
pub use deadline::timeout_at;
pub use errno::{SocketCall, SocketFailure, classify};
pub use error::WireError;
pub use field_value::{InvalidField, trim_white_space};
pub use head::{Head, MAX_HEAD_BYTES, ParseResult, ParsedHead, StartLine};
pub use json_objects::{JsonObjectEvent, JsonObjectReader};
pub use lines::LineReader;
pub use peer_close_detector::PeerCloseDetector;
pub use retry::{RetryDecision, retry_decision, shortage_pause};
