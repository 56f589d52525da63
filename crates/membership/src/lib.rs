//! The membership of a cluster: which nodes are alive, suspected, dead, or have left.
//!
//! The protocol is SWIM, by the `foca` crate. This crate adds identities, time, authenticated datagrams,
//! tolerance of its own pauses, a leave broadcast, and a table that other subsystems read. [`Membership`]
//! does no I/O and reads no clock: datagrams and the time go in, datagrams come out. [`run`] drives it on a
//! socket. `docs/membership.md` is the page for operators.
//!
//! | module | concern |
//! | --- | --- |
//! | `state` | the state machine of a member |
//! | `authentication`, `replay_filter` | what makes a datagram valid |
//! | `protocol_output`, `timer_queue` | what the protocol asks for: messages and timers |
//! | `local_health` | tolerance of this member's own pauses |
//! | `incarnation_jump` | passing a stale incarnation after the clock was set back |
//! | `leave_broadcast` | members that leave, as distinct from members that die |
//! | `table` | the member table |
//! | `id`, `settings`, `metrics`, `time` | plain values |
//! | `udp` | runs a member on a socket |
//!
//! ```
//! use sorrelhaven_membership::{MemberId, MemberState, Membership, Settings};
//!
//! let settings = |seeds| Settings { seeds, ..Settings::new(b"a key that all members share".to_vec()) };
//! let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
//! let mut a = Membership::new(MemberId::new("a", 1, address(1)), settings(vec![]), 1, 0);
//! let mut b = Membership::new(MemberId::new("b", 1, address(2)), settings(vec![address(1)]), 2, 0);
//! let mut now = 0;
//! while a.table().len() < 2 || b.table().len() < 2 {
//!     now += 10_000;
//!     for datagram in b.tick(now) {
//!         assert_eq!(datagram.to, address(1));
//!         a.handle_datagram(now, &datagram.bytes);
//!     }
//!     for datagram in a.tick(now) {
//!         b.handle_datagram(now, &datagram.bytes);
//!     }
//! }
//! assert!(a.table().iter().all(|member| member.state == MemberState::Alive));
//! ```

mod authentication;
mod id;
mod incarnation_jump;
mod leave_broadcast;
mod local_health;
mod metrics;
mod protocol_output;
mod replay_filter;
mod settings;
mod state;
mod table;
mod time;
mod timer_queue;
mod udp;

pub use authentication::{DatagramError, MAX_DATAGRAM_BYTES};
pub use id::MemberId;
pub use metrics::Metrics;
pub use settings::Settings;
pub use state::{Membership, OutgoingDatagram};
pub use table::{Member, MemberState};
pub use time::Micros;
pub use udp::{elapsed, run, send};
