//! The stand-in between processes does to datagrams what it was told, and the same with the same seed.

use sorrelhaven_test_support::{DatagramFaults, FaultProxy};
use std::net::UdpSocket;
use std::time::{Duration, Instant};

fn pair(seed: u64) -> (FaultProxy, [UdpSocket; 2]) {
    let between = FaultProxy::new(2, seed).expect("addresses");
    let ends = [0, 1].map(|n| {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(Duration::from_millis(300))).expect("a bound");
        between.register_listener(n, socket.local_addr().expect("an address"));
        socket
    });
    (between, ends)
}

/// Sends the numbers up to `count` from one end and gives those that arrive at the other, in their order.
fn send(between: &FaultProxy, ends: &[UdpSocket; 2], from: usize, count: u8) -> Vec<u8> {
    let to = between.address(from, 1 - from).expect("an address");
    (0..count).for_each(|n| _ = ends[from].send_to(&[n], to).expect("sent"));
    let mut buffer = [0; 8];
    std::iter::from_fn(|| {
        let (length, sender) = ends[1 - from].recv_from(&mut buffer).ok()?;
        assert_eq!(
            (length, sender),
            (1, between.address(1 - from, from).expect("an address")),
            "who it came from"
        );
        Some(buffer[0])
    })
    .collect()
}

#[test]
fn without_faults_all_arrive_in_order_both_ways() {
    let (between, ends) = pair(1);
    let all: Vec<u8> = (0..50).collect();
    assert_eq!(send(&between, &ends, 0, 50), all);
    assert_eq!(send(&between, &ends, 1, 50), all);
    let carried = between.traffic(0, 1);
    assert_eq!((carried.came, carried.went, carried.bytes), (50, 50, 50));
}

#[test]
fn a_cut_in_one_direction_leaves_the_other_and_heals() {
    let (between, ends) = pair(2);
    between.set(0, 1, DatagramFaults { cut: true, ..DatagramFaults::default() });
    assert!(send(&between, &ends, 0, 20).is_empty());
    assert_eq!(send(&between, &ends, 1, 20).len(), 20);
    between.partition(&[0, 1]);
    assert_eq!(send(&between, &ends, 0, 20).len(), 20);
    between.partition(&[0]);
    assert_eq!((send(&between, &ends, 0, 9).len(), send(&between, &ends, 1, 9).len()), (0, 0));
}

#[test]
fn loss_and_repeats_follow_from_the_seed() {
    let run = |seed| {
        let (between, ends) = pair(seed);
        between.set_all_faults(DatagramFaults { loss: 0.3, twice: 0.2, ..DatagramFaults::default() });
        send(&between, &ends, 0, 200)
    };
    let (first, again, other) = (run(3), run(3), run(4));
    assert_eq!(first, again);
    assert_ne!(first, other);
    let once: std::collections::BTreeSet<u8> = first.iter().copied().collect();
    assert!((120..160).contains(&once.len()), "{} of 200 arrived", once.len());
    assert!((10..50).contains(&(first.len() - once.len())), "{} came twice", first.len() - once.len());
}

#[test]
fn jitter_reorders_and_loses_nothing() {
    let (between, ends) = pair(5);
    let faults = DatagramFaults {
        delay: Duration::from_millis(20),
        jitter: Duration::from_millis(50),
        ..DatagramFaults::default()
    };
    between.set_all_faults(faults);
    let mut arrived = send(&between, &ends, 0, 100);
    assert!(!arrived.is_sorted(), "none overtook another");
    arrived.sort_unstable();
    assert_eq!(arrived, (0..100).collect::<Vec<u8>>());
}

#[test]
fn what_comes_for_a_process_that_does_not_listen_yet_is_lost() {
    let between = FaultProxy::new(2, 6).expect("addresses");
    let sender = UdpSocket::bind("127.0.0.1:0").expect("a port");
    sender.send_to(&[1], between.address(0, 1).expect("an address")).expect("sent");
    let by = Instant::now() + Duration::from_secs(5);
    while between.traffic(0, 1).lost == 0 && Instant::now() < by {
        std::thread::yield_now();
    }
    let carried = between.traffic(0, 1);
    assert_eq!((carried.came, carried.went, carried.lost), (1, 0, 1));
}
