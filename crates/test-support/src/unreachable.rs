//! Places at which connections come up only once the test says so, or never.

use rustix::fd::OwnedFd;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A listener whose queue is full: whoever connects waits, as on a network that drops the first packet.
pub struct StalledListener {
    listener: TcpListener,
    queue: Vec<TcpStream>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl StalledListener {
    /// A listener with a full queue.
    ///
    /// # Errors
    /// Those of the sockets.
    pub fn new() -> io::Result<StalledListener> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        rustix::net::listen(&listener, 0)?;
        let address = listener.local_addr()?;
        let mut queue = Vec::new();
        // The system takes as many as it has places; the first that waits shows that there are none left.
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            queue.push(stream);
        }
        Ok(StalledListener { listener, queue, address })
    }

    /// Lets connections come up from now on: those that wait within the system's time for sending a packet again,
    /// about a second.
    ///
    /// # Errors
    /// Those of the sockets.
    pub fn release(self) -> io::Result<TcpListener> {
        for _ in &self.queue {
            drop(self.listener.accept()?);
        }
        rustix::net::listen(&self.listener, 128)?;
        Ok(self.listener)
    }
}

/// A port that is taken and at which nobody listens: whoever connects is refused, and nobody else gets it meanwhile.
pub struct RefusingPort {
    _socket: OwnedFd,
    /// Where nobody listens.
    pub address: SocketAddr,
}

impl RefusingPort {
    /// A port that refuses all.
    ///
    /// # Errors
    /// Those of the sockets.
    pub fn new() -> io::Result<RefusingPort> {
        use rustix::net::{AddressFamily, SocketType, bind, getsockname, socket};
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None)?;
        bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = SocketAddr::try_from(getsockname(&socket)?)?;
        Ok(RefusingPort { _socket: socket, address })
    }
}
