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

/// How long to retry a call that fails because this machine lacks resources.
const SHORTAGE_TIMEOUT: Duration = Duration::from_millis(200);

/// A socket that is registered with the event loop. The stream is shared with each
/// [`PeerCloseDetector`](crate::PeerCloseDetector), which another task than the reader may hold.
pub(crate) type Socket = Async<Arc<TcpStream>>;

/// Connects to `address`. While this machine lacks resources, retries for [`SHORTAGE_TIMEOUT`].
///
/// # Errors
/// The error of the last try. `classify` with [`SocketCall::Connect`] tells whether it concerns the peer or
/// this machine.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Socket> {
    retry_on_shortage(SocketCall::Connect, SHORTAGE_TIMEOUT, async || connect_once(address).await).await
}

async fn connect_once(address: SocketAddr) -> io::Result<Socket> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
    match rustix::net::connect(&socket, &address) {
        // POSIX: a connect that a signal interrupts continues in the background, like one in progress.
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

/// Registers a stream with the event loop. While this machine lacks resources, retries for
/// [`SHORTAGE_TIMEOUT`]: an accepted connection must not be dropped for a transient lack of memory.
///
/// # Errors
/// The error of the last try.
pub(crate) async fn register(stream: TcpStream) -> io::Result<Socket> {
    stream.set_nonblocking(true)?;
    let stream = Arc::new(stream);
    let register_once = async || Async::new_nonblocking(stream.clone());
    retry_on_shortage(SocketCall::Transfer, SHORTAGE_TIMEOUT, register_once).await
}
