//! HTTP/1.1 as far as both sides need it: heads, bodies and lines, every buffer bounded; and deadlines.
//!
//! The parsing ([`Head`], [`Body`]) does no I/O; [`Connection`] feeds it from a socket. What a peer did wrong is a
//! [`WireError`]. Sources: RFC 9110 and 9112, and the platform's PROTOCOL for the bounds.
//!
//! ```
//! use sorrelhaven_wire::{Body, Head};
//!
//! let text = b"POST /api HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
//! let (head, used) = Head::parse_request(text)?.expect("the whole head is there");
//! let (mut body, mut out) = (head.body()?, Vec::new());
//! body.decode(&text[used..], &mut out)?;
//! assert_eq!((body, out.as_slice()), (Body::Done, b"body".as_slice()));
//! # Ok::<(), sorrelhaven_wire::WireError>(())
//! ```

mod body;
mod connect;
mod connection;
mod deadline;
mod errno;
mod error;
mod head;
mod lines;
mod objects;

pub use body::Body;
pub use connection::{Connection, MAX_BODY_BYTES, PeerProbe};
pub use deadline::timeout_at;
pub use errno::{SocketCall, SocketFailure, classify, shortage_pause};
pub use error::WireError;
pub use head::{Head, MAX_HEAD_BYTES, Parsed, StartLine};
pub use lines::LineReader;
pub use objects::{JsonObjectEvent, JsonObjectReader};
