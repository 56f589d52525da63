//! Cluster membership: which nodes are alive, suspected, dead, or have left the cluster.
//!
//! Failure detection and gossip are SWIM, implemented by the `foca` crate. This crate adds member identities,
//! timers on the caller's clock, authenticated datagrams, Lifeguard's local health (tolerance of pauses of
//! this process), a leave broadcast, and a member table for other subsystems. [`Membership`] does no I/O
//! and reads no clock: the caller passes in received datagrams and the current time, and sends the datagrams
//! that it returns. [`run`] drives it on a UDP socket. `docs/membership.md` describes it for operators.
//!
//! | module | concern |
//! | --- | --- |
//! | `state` | the state machine of a member |
//! | `authentication`, `replay_filter` | signing and verifying datagrams, rejecting replays |
//! | `protocol_output`, `timer_queue` | messages and timers that `foca` requests |
//! | `local_health` | longer suspicion timeouts after a pause of this process |
//! | `incarnation_jump` | overtaking a stale incarnation after the clock was set back |
//! | `leave_broadcast` | distinguishes members that left from members that died |
//! | `table` | the member table |
//! | `id`, `settings`, `metrics`, `time` | plain data types |
//! | `udp` | runs a member on a UDP socket |
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
