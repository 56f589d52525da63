//! Connections that are made, and sockets that are taken into the event loop.

use crate::errno::{SocketCall, SocketFailure, classify, shortage_pause};
use async_io::Async;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, ipproto};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a call is made again for which the machine has no room, before that is told.
const SHORTAGE_MOST: Duration = Duration::from_millis(200);

/// A socket in the event loop. The stream is shared so that its state can be asked for beside whoever reads from it.
pub(crate) type Socket = Async<Arc<TcpStream>>;

/// Connects to `address`. A shortage of this machine is waited out for [`SHORTAGE_MOST`].
///
/// # Errors
/// Those of the last call; `classify` with [`SocketCall::Connect`] tells whose fault it is.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Socket> {
    let until = Instant::now() + SHORTAGE_MOST;
    loop {
        match connect_once(address).await {
            Err(error) if Instant::now() < until => match classify(SocketCall::Connect, &error) {
                SocketFailure::Interrupted => {}
                SocketFailure::Shortage => shortage_pause().await,
                SocketFailure::NotReady | SocketFailure::DescriptorLimit | SocketFailure::Connection => {
                    return Err(error);
                }
            },
            ended => return ended,
        }
    }
}

async fn connect_once(address: SocketAddr) -> io::Result<Socket> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
    match rustix::net::connect(&socket, &address) {
        // An interrupted connect goes on, like one that takes its time.
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {}
        Err(error) => return Err(error.into()),
    }
    let socket = registered(TcpStream::from(socket)).await?;
    socket.writable().await?;
    match socket.get_ref().take_error()? {
        None => Ok(socket),
        Some(error) => Err(error),
    }
}

/// Takes a stream into the event loop. A shortage is waited out for [`SHORTAGE_MOST`]: a connection that was accepted
/// must not be dropped, unread, for a moment's want of memory.
pub(crate) async fn registered(stream: TcpStream) -> io::Result<Socket> {
    stream.set_nonblocking(true)?;
    let (stream, until) = (Arc::new(stream), Instant::now() + SHORTAGE_MOST);
    loop {
        match Async::new_nonblocking(stream.clone()) {
            Err(error) if Instant::now() < until => match classify(SocketCall::Transfer, &error) {
                SocketFailure::Interrupted => {}
                SocketFailure::Shortage => shortage_pause().await,
                SocketFailure::NotReady | SocketFailure::DescriptorLimit | SocketFailure::Connection => {
                    return Err(error);
                }
            },
            ended => return ended,
        }
    }
}
