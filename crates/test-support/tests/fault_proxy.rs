//! The proxy applies the configured faults, and equal seeds give equal losses and duplicates.

use sorrelhaven_test_support::{DatagramFaults, FaultProxy};
use std::net::UdpSocket;
use std::time::{Duration, Instant};

fn proxy_and_endpoints(seed: u64) -> (FaultProxy, [UdpSocket; 2]) {
    let proxy = FaultProxy::new(2, seed).expect("the proxy has its sockets");
    let endpoints = [0, 1].map(|n| {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        socket.set_read_timeout(Some(Duration::from_millis(300))).expect("the socket takes a time limit");
        proxy.register_listener(n, socket.local_addr().expect("the socket has an address"));
        socket
    });
    (proxy, endpoints)
}

/// Sends the numbers below `count` from one endpoint and returns those that arrive at the other, in the order
/// of arrival.
fn send(proxy: &FaultProxy, endpoints: &[UdpSocket; 2], from: usize, count: u8) -> Vec<u8> {
    let to = proxy.address(from, 1 - from).expect("the socket has an address");
    (0..count).for_each(|n| _ = endpoints[from].send_to(&[n], to).expect("the datagram is sent"));
    let mut buffer = [0; 8];
    std::iter::from_fn(|| {
        let (length, sender) = endpoints[1 - from].recv_from(&mut buffer).ok()?;
        assert_eq!(
            (length, sender),
            (1, proxy.address(1 - from, from).expect("the socket has an address")),
            "the source address is the one at which the receiver reaches the sender"
        );
        Some(buffer[0])
    })
    .collect()
}

#[test]
fn without_faults_all_datagrams_arrive_in_sequence_both_directions() {
    let (proxy, endpoints) = proxy_and_endpoints(1);
    let all: Vec<u8> = (0..50).collect();
    assert_eq!(send(&proxy, &endpoints, 0, 50), all);
    assert_eq!(send(&proxy, &endpoints, 1, 50), all);
    let traffic = proxy.traffic(0, 1);
    assert_eq!((traffic.received, traffic.forwarded, traffic.received_bytes), (50, 50, 50));
}

#[test]
fn a_blocked_direction_leaves_the_other_open_and_can_be_unblocked() {
    let (proxy, endpoints) = proxy_and_endpoints(2);
    proxy.set_faults(0, 1, DatagramFaults { blocked: true, ..DatagramFaults::default() });
    assert!(send(&proxy, &endpoints, 0, 20).is_empty());
    assert_eq!(send(&proxy, &endpoints, 1, 20).len(), 20);
    proxy.partition(&[0, 1]);
    assert_eq!(send(&proxy, &endpoints, 0, 20).len(), 20);
    proxy.partition(&[0]);
    assert_eq!((send(&proxy, &endpoints, 0, 9).len(), send(&proxy, &endpoints, 1, 9).len()), (0, 0));
}

#[test]
fn loss_and_duplication_follow_from_the_seed() {
    let run = |seed| {
        let (proxy, endpoints) = proxy_and_endpoints(seed);
        proxy.set_all_faults(DatagramFaults { loss: 0.3, duplication: 0.2, ..DatagramFaults::default() });
        send(&proxy, &endpoints, 0, 200)
    };
    let (first, again, other) = (run(3), run(3), run(4));
    assert_eq!(first, again);
    assert_ne!(first, other);
    let once: std::collections::BTreeSet<u8> = first.iter().copied().collect();
    assert!((120..160).contains(&once.len()), "{} of 200 datagrams arrived", once.len());
    assert!(
        (10..50).contains(&(first.len() - once.len())),
        "{} datagrams arrived twice",
        first.len() - once.len()
    );
}

#[test]
fn jitter_reorders_and_loses_nothing() {
    let (proxy, endpoints) = proxy_and_endpoints(5);
    let faults = DatagramFaults {
        delay: Duration::from_millis(20),
        jitter: Duration::from_millis(50),
        ..DatagramFaults::default()
    };
    proxy.set_all_faults(faults);
    let mut arrived = send(&proxy, &endpoints, 0, 100);
    assert!(!arrived.is_sorted(), "no datagram overtook another");
    arrived.sort_unstable();
    assert_eq!(arrived, (0..100).collect::<Vec<u8>>());
}

#[test]
fn a_datagram_for_a_process_without_a_listener_is_lost() {
    let proxy = FaultProxy::new(2, 6).expect("the proxy has its sockets");
    let sender = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    sender
        .send_to(&[1], proxy.address(0, 1).expect("the socket has an address"))
        .expect("the datagram is sent");
    let deadline = Instant::now() + Duration::from_secs(5);
    while proxy.traffic(0, 1).lost == 0 && Instant::now() < deadline {
        std::thread::yield_now();
    }
    let traffic = proxy.traffic(0, 1);
    assert_eq!((traffic.received, traffic.forwarded, traffic.lost), (1, 0, 1));
}
