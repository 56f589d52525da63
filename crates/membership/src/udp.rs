//! Runs a member on a UDP socket: the only module of this crate that does I/O and reads the clock.

use crate::authentication::MAX_DATAGRAM_BYTES;
use crate::state::{Membership, OutgoingDatagram};
use crate::time::{Micros, micros};
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

/// Datagrams read before each tick, at most: a flood of datagrams must not starve the other tasks of the
/// node.
const MAX_READS_PER_TICK: usize = 256;

/// The current time for a member that was created at `started_at` with the time 0: the microseconds since
/// then.
pub fn elapsed(started_at: Instant) -> Micros {
    micros(started_at.elapsed())
}

/// Runs a member on a socket, without ever returning. The member must have been created at `started_at` with
/// the time 0.
pub async fn run(socket: &Async<UdpSocket>, member: &RefCell<Membership>, started_at: Instant) -> Infallible {
    loop {
        // Received datagrams are handled before timers: after a pause of this process the acks of live
        // members may still be in the socket's buffer, and a timer would suspect those members.
        receive(socket, member, started_at);
        let outgoing = member.borrow_mut().tick(elapsed(started_at));
        send(socket, outgoing);
        wait(socket, member, started_at).await;
    }
}

fn receive(socket: &Async<UdpSocket>, member: &RefCell<Membership>, started_at: Instant) {
    // One byte more than the longest valid datagram: a longer one is cut to a length that is rejected.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    for _ in 0..MAX_READS_PER_TICK {
        // As a rule an error means that no datagram is waiting. Any other can't be repaired here; the next
        // call reads again.
        let Ok((length, _)) = socket.get_ref().recv_from(&mut buffer) else { return };
        member.borrow_mut().handle_datagram(elapsed(started_at), &buffer[..length]);
    }
}

/// Waits until a datagram can be read or the member's next tick is due.
async fn wait(socket: &Async<UdpSocket>, member: &RefCell<Membership>, started_at: Instant) {
    let next_tick_at = u64::try_from(member.borrow().next_tick_at()).unwrap_or(0);
    let timer = async {
        Timer::at(started_at + Duration::from_micros(next_tick_at)).await;
    };
    let readable = async {
        let _ = socket.readable().await;
    };
    or(readable, timer).await;
}

/// Sends datagrams without waiting. One that the socket does not accept at once is dropped, which the
/// protocol tolerates as it does any lost datagram.
pub fn send(socket: &Async<UdpSocket>, outgoing: Vec<OutgoingDatagram>) {
    for datagram in outgoing {
        let _ = socket.get_ref().send_to(&datagram.bytes, datagram.to);
    }
}
