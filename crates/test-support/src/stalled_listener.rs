//! A TCP listener at which connection attempts wait until the test releases it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The accept queue counts as full once a connection attempt has taken this long.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(200);
/// Length of the accept queue after the release.
const RELEASED_BACKLOG: i32 = 128;

/// A listener with a full accept queue: the system drops the first packet (SYN) of each further connection,
/// as a lossy network does, so that the client waits.
pub struct StalledListener {
    listener: TcpListener,
    /// Established connections that fill the accept queue.
    queued: Vec<TcpStream>,
    /// The address to which clients connect.
    pub address: SocketAddr,
}

impl StalledListener {
    /// Creates a listener on loopback and fills its accept queue.
    ///
    /// # Errors
    /// Those of the socket calls.
    pub fn new() -> io::Result<StalledListener> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        rustix::net::listen(&listener, 0)?;
        let address = listener.local_addr()?;
        let mut queued = Vec::new();
        // The queue length depends on the system: the first connection attempt that times out shows that the
        // queue is full.
        while let Ok(stream) = TcpStream::connect_timeout(&address, QUEUE_FULL_TIMEOUT) {
            queued.push(stream);
        }
        Ok(StalledListener { listener, queued, address })
    }

    /// Empties the accept queue, so that a waiting connection is established when the client's system
    /// retransmits its first packet, within about a second.
    ///
    /// # Errors
    /// Those of the socket calls.
    pub fn release(self) -> io::Result<TcpListener> {
        for _ in &self.queued {
            drop(self.listener.accept()?);
        }
        rustix::net::listen(&self.listener, RELEASED_BACKLOG)?;
        Ok(self.listener)
    }
}
