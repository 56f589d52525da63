//! Adopting an inherited listening socket, and the errors for descriptors that are not one.

use sorrelhaven_handover::inherited_listener;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;

#[test]
fn a_listening_socket_is_shared_and_stays_open_after_its_adopter() {
    let original = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = original.local_addr().expect("the socket has an address");
    for _ in 0..2 {
        let adopted = inherited_listener(original.as_raw_fd()).expect("the descriptor is a listening socket");
        assert_eq!(adopted.local_addr().expect("the socket has an address"), address);
        let client = TcpStream::connect(address).expect("the adopted listener accepts connections");
        let (_, peer) = adopted.accept().expect("the client has connected");
        assert_eq!(peer, client.local_addr().expect("the socket has an address"));
    }
    let _client = TcpStream::connect(address).expect("the original socket still listens");
    original.accept().expect("the client has connected");
}

#[test]
fn a_descriptor_that_is_no_listening_socket_is_reported_with_its_number_and_fault() {
    let file = std::fs::File::open("/dev/null").expect("/dev/null can be opened");
    let udp = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let connected = TcpStream::connect(listener.local_addr().expect("the socket has an address"))
        .expect("the listener accepts connections");
    let cases = [
        (1, "not one that a program is handed"),
        (-7, "not one that a program is handed"),
        (100_000, "is not open"),
        (file.as_raw_fd(), "is not a socket"),
        (udp.as_raw_fd(), "does not listen"),
        (connected.as_raw_fd(), "does not listen"),
    ];
    for (descriptor, fault) in cases {
        let message = inherited_listener(descriptor)
            .expect_err("the descriptor is not a listening TCP socket")
            .to_string();
        assert!(message.contains(fault) && message.contains(&descriptor.to_string()), "{message}");
    }
}
