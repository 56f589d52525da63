//! HTTP/1.1 as far as both sides need it: heads, bodies and lines, every buffer bounded; and deadlines.
//!
//! The parsing ([`Head`], [`Body`]) does no I/O; [`Link`] feeds it from a socket. What a peer did wrong is a
//! [`Fault`]. Sources: RFC 9110 and 9112, and the platform's PROTOCOL for the bounds.
//!
//! ```
//! use sorrelhaven_wire::{Body, Head};
//!
//! let text = b"POST /api HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
//! let (head, used) = Head::request(text)?.expect("the whole head is there");
//! let (mut body, mut out) = (head.body()?, Vec::new());
//! body.decode(&text[used..], &mut out)?;
//! assert_eq!((body, out.as_slice()), (Body::Done, b"body".as_slice()));
//! # Ok::<(), sorrelhaven_wire::Fault>(())
//! ```

mod body;
mod connect;
mod deadline;
mod errno;
mod fault;
mod head;
mod lines;
mod link;
mod objects;

pub use body::Body;
pub use deadline::by;
pub use errno::{Call, Failure, classify, shortage_pause};
pub use fault::Fault;
pub use head::{HEAD_MOST, Head, Parsed, Start};
pub use lines::Lines;
pub use link::{BODY_MOST, EndProbe, Link};
pub use objects::{Came, Objects};
