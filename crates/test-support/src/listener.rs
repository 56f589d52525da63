//! TCP listeners on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Opens a TCP listener on a loopback port that the operating system chooses. Returns it and its address.
///
/// # Panics
/// If no port or file descriptor is free.
pub fn open_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}
