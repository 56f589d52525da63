//! Adopts the listening socket that the platform holds and hands to each process it starts, and counts those that live.
//!
//! Two processes may hold the one socket at the same time: what is queued on it goes to whichever accepts first, and
//! whatever is set on it holds for both. So nothing is set here, and it is never shut down.

mod process_registry;

pub use process_registry::ProcessRegistry;

use rustix::fd::{BorrowedFd, RawFd};
use rustix::io::{Errno, fcntl_dupfd_cloexec};
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::{SocketType, getsockname};
use std::net::{SocketAddr, TcpListener};

/// Standard input, output and error are no sockets to listen on.
const FIRST: RawFd = 3;

/// The listening socket at descriptor `number`, through a duplicate that is closed with the listener; the descriptor
/// itself stays as it is. To be called before this process opens any descriptor, which could get that number.
///
/// # Errors
/// What is wrong with the descriptor: it is not open, not a TCP socket, or does not listen.
pub fn listener(number: RawFd) -> Result<TcpListener, String> {
    if number < FIRST {
        return Err(format!("descriptor {number} is not one that a program is handed"));
    }
    // SAFETY: the number is used for one `fcntl`, which fails on one that is not open; nothing owns or closes it here.
    #[allow(unsafe_code)]
    let given = unsafe { BorrowedFd::borrow_raw(number) };
    let fd = fcntl_dupfd_cloexec(given, FIRST).map_err(|_| format!("descriptor {number} is not open"))?;
    match socket_acceptconn(&fd) {
        Ok(true) => {}
        Ok(false) => return Err(format!("the socket at descriptor {number} does not listen")),
        Err(Errno::NOTSOCK) => return Err(format!("descriptor {number} is not a socket")),
        Err(error) => return Err(format!("descriptor {number}: {error}")),
    }
    let address = getsockname(&fd).ok().and_then(|a| SocketAddr::try_from(a).ok());
    if address.is_none() || socket_type(&fd) != Ok(SocketType::STREAM) {
        return Err(format!("the socket at descriptor {number} is not one for TCP"));
    }
    Ok(TcpListener::from(fd))
}

#[cfg(test)]
mod tests {
    use super::listener;
    use std::net::{TcpListener, TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;

    #[test]
    fn a_listening_socket_is_shared_and_outlives_its_adopter() {
        let held = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = held.local_addr().expect("its address");
        for _ in 0..2 {
            let adopted = listener(held.as_raw_fd()).expect("it listens");
            assert_eq!(adopted.local_addr().expect("its address"), address);
            let client = TcpStream::connect(address).expect("it listens");
            let (_, peer) = adopted.accept().expect("the client");
            assert_eq!(peer, client.local_addr().expect("its address"));
        }
        let _client = TcpStream::connect(address).expect("it still listens");
        held.accept().expect("the client");
    }

    #[test]
    fn what_is_not_there_not_a_socket_or_does_not_listen_is_named() {
        let file = std::fs::File::open("/dev/null").expect("a file");
        let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let held = TcpListener::bind("127.0.0.1:0").expect("a port");
        let talks = TcpStream::connect(held.local_addr().expect("its address")).expect("it listens");
        let cases = [
            (1, "not one that a program is handed"),
            (-7, "not one that a program is handed"),
            (100_000, "is not open"),
            (file.as_raw_fd(), "is not a socket"),
            (udp.as_raw_fd(), "does not listen"),
            (talks.as_raw_fd(), "does not listen"),
        ];
        for (number, what) in cases {
            let fault = listener(number).expect_err("a fault");
            assert!(fault.contains(what) && fault.contains(&number.to_string()), "{fault}");
        }
    }
}
