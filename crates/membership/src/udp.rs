//! Runs a member on a socket: the only part of this crate that does I/O and reads the clock.

use crate::authentication::MAX_DATAGRAM_BYTES;
use crate::state::{Membership, OutgoingDatagram};
use crate::time::{Micros, micros};
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

/// Datagrams that are read in one go: a flood must not starve the other tasks of the node.
const MAX_READS_PER_TURN: usize = 256;

/// The time on the clock of a member that was created at `started_at` with the time 0.
pub fn elapsed(started_at: Instant) -> Micros {
    micros(started_at.elapsed())
}

/// Runs a member that was created at `started_at` with the time 0. Never returns.
pub async fn run(socket: &Async<UdpSocket>, member: &RefCell<Membership>, started_at: Instant) -> Infallible {
    loop {
        // Datagrams that wait are handled before timers: after a pause the member must not suspect those that
        // have answered meanwhile.
        receive(socket, member, started_at);
        let outgoing = member.borrow_mut().tick(elapsed(started_at));
        send(socket, outgoing);
        wait(socket, member, started_at).await;
    }
}

fn receive(socket: &Async<UdpSocket>, member: &RefCell<Membership>, started_at: Instant) {
    // One byte more than the longest datagram, so that a longer one is recognised.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    for _ in 0..MAX_READS_PER_TURN {
        // An error concerns one datagram that could not be sent, or nothing that can be repaired here.
        let Ok((length, _)) = socket.get_ref().recv_from(&mut buffer) else { return };
        member.borrow_mut().handle_datagram(elapsed(started_at), &buffer[..length]);
    }
}

/// Waits for a datagram or until the member's next tick.
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

/// Sends datagrams. Those that the socket does not take at once are lost, as any datagram may be.
pub fn send(socket: &Async<UdpSocket>, outgoing: Vec<OutgoingDatagram>) {
    for datagram in outgoing {
        let _ = socket.get_ref().send_to(&datagram.bytes, datagram.to);
    }
}
