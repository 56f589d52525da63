//! Opens connections, and registers sockets with the event loop.

use crate::errno::SocketCall;
use crate::retry::retry_on_shortage;
use async_io::Async;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, ipproto};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// How long a call is repeated for which the system lacks resources.
const SHORTAGE_TIMEOUT: Duration = Duration::from_millis(200);

/// A socket that is registered with the event loop. The stream is shared with
/// [`PeerCloseDetector`](crate::PeerCloseDetector), which observes the connection beside its reader.
pub(crate) type Socket = Async<Arc<TcpStream>>;

/// Connects to `address`. A shortage of this machine is retried for [`SHORTAGE_TIMEOUT`].
///
/// # Errors
/// The error of the last attempt; `classify` with [`SocketCall::Connect`] shows whether the peer is at fault.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Socket> {
    retry_on_shortage(SocketCall::Connect, SHORTAGE_TIMEOUT, async || connect_once(address).await).await
}

async fn connect_once(address: SocketAddr) -> io::Result<Socket> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
    match rustix::net::connect(&socket, &address) {
        // An interrupted connect continues in the background, like one that takes its time.
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {}
        Err(error) => return Err(error.into()),
    }
    let socket = register(TcpStream::from(socket)).await?;
    socket.writable().await?;
    match socket.get_ref().take_error()? {
        None => Ok(socket),
        Some(error) => Err(error),
    }
}

/// Registers a stream with the event loop. A shortage is retried for [`SHORTAGE_TIMEOUT`]: an accepted
/// connection must not be dropped for a transient lack of memory.
///
/// # Errors
/// The error of the last attempt.
pub(crate) async fn register(stream: TcpStream) -> io::Result<Socket> {
    stream.set_nonblocking(true)?;
    let stream = Arc::new(stream);
    let register_once = async || Async::new_nonblocking(stream.clone());
    retry_on_shortage(SocketCall::Transfer, SHORTAGE_TIMEOUT, register_once).await
}
