//! A listener whose connections are established only once the test allows it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A connection attempt that takes longer than this shows that the accept queue is full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(200);
/// Length of the accept queue after the release.
const RELEASED_BACKLOG: i32 = 128;

/// A listener with a full accept queue: whoever connects waits, as on a network that drops the first packet.
pub struct StalledListener {
    listener: TcpListener,
    /// The connections that fill the accept queue.
    queued: Vec<TcpStream>,
    /// The address of the listener.
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
        // How many connections the system queues is its own affair: the first that waits shows that it is
        // full.
        while let Ok(stream) = TcpStream::connect_timeout(&address, QUEUE_FULL_TIMEOUT) {
            queued.push(stream);
        }
        Ok(StalledListener { listener, queued, address })
    }

    /// Empties the accept queue, so that waiting connections are established when the system next retransmits
    /// their first packet, within about a second.
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
