//! Nodes that know each other: who is alive, who is suspected, who is dead, who has left.
//!
//! The protocol is SWIM, by the `foca` crate; this crate gives it identities, time, a seal on every datagram, patience
//! with its own pauses, and a table that others read. [`Membership`] does no I/O and reads no clock: datagrams and the time
//! go in, datagrams come out; [`run`] has it do so on a socket. `docs/membership.md` says what an operator needs.
//!
//! ```
//! use sorrelhaven_membership::{Id, Membership, Settings, MemberState};
//!
//! let settings = |seeds| Settings { seeds, ..Settings::new(b"a key that all members share".to_vec()) };
//! let at = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
//! let mut a = Membership::new(Id::new("a", 1, at(1)), settings(vec![]), 1, 0);
//! let mut b = Membership::new(Id::new("b", 1, at(2)), settings(vec![at(1)]), 2, 0);
//! let mut now = 0;
//! while a.table().len() < 2 || b.table().len() < 2 {
//!     now += 10_000;
//!     for (to, datagram) in b.tick(now) {
//!         assert_eq!(to, at(1));
//!         a.datagram(now, &datagram);
//!     }
//!     for (_, datagram) in a.tick(now) {
//!         b.datagram(now, &datagram);
//!     }
//! }
//! assert!(a.table().iter().all(|row| row.state == MemberState::Alive));
//! ```

mod id;
mod seal;
mod state;
mod table;
mod udp;

pub use id::Id;
pub use seal::{DATAGRAM_MOST, Unsealed};
pub use state::{Membership, Metrics, Settings};
pub use table::{Member, MemberState};
pub use udp::{run, send, time};

/// A point in time or a length of it, in microseconds.
pub type Micros = i64;
