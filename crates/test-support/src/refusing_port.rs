//! A TCP port that refuses connections.

use rustix::fd::OwnedFd;
use rustix::net::{AddressFamily, SocketType, bind, getsockname, socket};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// A bound TCP port without a listener: connections to it are refused, and no other process can bind it until
/// this is dropped.
pub struct RefusingPort {
    _socket: OwnedFd,
    /// The loopback address to which no client can connect.
    pub address: SocketAddr,
}

impl RefusingPort {
    /// Binds a loopback port that the operating system chooses.
    ///
    /// # Errors
    /// Those of the socket calls.
    pub fn new() -> io::Result<RefusingPort> {
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None)?;
        bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = SocketAddr::try_from(getsockname(&socket)?)?;
        Ok(RefusingPort { _socket: socket, address })
    }
}
