//! A member on a socket: the only part of this package that knows of I/O and of the time.

use crate::state::micros;
use crate::{DATAGRAM_MOST, Membership, Micros};
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

/// Datagrams that are read before anything else has its turn: a storm must not stop the rest of the node.
const READS_MOST: usize = 256;

/// The time of a member that was made at `begun` with the time 0.
pub fn time(begun: Instant) -> Micros {
    micros(begun.elapsed())
}

/// Runs a member, made at `begun` with the time 0, for ever.
pub async fn run(socket: &Async<UdpSocket>, member: &RefCell<Membership>, begun: Instant) -> Infallible {
    loop {
        // Datagrams that wait go first: a node that was held up must not take those that spoke meanwhile for silent.
        let mut buffer = [0; DATAGRAM_MOST + 1];
        for _ in 0..READS_MOST {
            // An error of the socket is of one datagram that could not be sent, or nothing that can be mended here.
            let Ok((length, _)) = socket.get_ref().recv_from(&mut buffer) else { break };
            member.borrow_mut().datagram(time(begun), &buffer[..length]);
        }
        let out = member.borrow_mut().tick(time(begun));
        send(socket, out);
        let next = u64::try_from(member.borrow().next()).unwrap_or(0);
        let timer = async {
            Timer::at(begun + Duration::from_micros(next)).await;
        };
        let news = async {
            let _ = socket.readable().await;
        };
        or(news, timer).await;
    }
}

/// Sends what a member wants sent. What the socket does not take at once is lost, as on the way.
pub fn send(socket: &Async<UdpSocket>, out: Vec<(std::net::SocketAddr, Vec<u8>)>) {
    for (to, datagram) in out {
        let _ = socket.get_ref().send_to(&datagram, to);
    }
}
