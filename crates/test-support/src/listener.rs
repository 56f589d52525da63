//! Listeners on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// A listener on a loopback port that the system chooses, and its address.
///
/// # Panics
/// If the system has no port or descriptor left.
pub fn open_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}
