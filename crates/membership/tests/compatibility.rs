//! Compatibility with the previous version: during a rolling upgrade nodes of both versions are members of
//! one cluster. Datagrams recorded from the previous version are accepted, and the same inputs give the same
//! bytes.

use sorrelhaven_membership::{Member, MemberId, MemberState, Membership, Micros, OutgoingDatagram, Settings};
use std::net::SocketAddr;

/// The exchange recorded from the previous version: each line is a [`Datagram`].
const RECORDED_EXCHANGE: &str = include_str!("fixtures/exchange.txt");
const KEY: &[u8] = b"a key that all members share";
const TICK_INTERVAL: Micros = 10_000;
const LEAVE_TIME: Micros = 3_000_000;

/// One datagram of the recorded exchange.
#[derive(Debug, PartialEq, Eq)]
struct Datagram {
    sender: String,
    sent_at: Micros,
    receiver: SocketAddr,
    bytes: Vec<u8>,
}

fn recorded_exchange() -> Vec<Datagram> {
    let lines = RECORDED_EXCHANGE.lines().filter(|line| !line.starts_with('#'));
    lines.map(parse_datagram).collect()
}

fn parse_datagram(line: &str) -> Datagram {
    let columns: Vec<&str> = line.split(' ').collect();
    let [sender, sent_at, receiver, hex] = columns[..] else {
        panic!("a recorded datagram does not have four columns: {line}")
    };
    Datagram {
        sender: sender.to_string(),
        sent_at: sent_at.parse().expect("the second column is a time in microseconds"),
        receiver: receiver.parse().expect("the third column is an address with a port"),
        bytes: hex.as_bytes().chunks(2).map(parse_hex_byte).collect(),
    }
}

fn parse_hex_byte(digits: &[u8]) -> u8 {
    let digits = std::str::from_utf8(digits).expect("the recorded bytes are ASCII text");
    u8::from_str_radix(digits, 16).expect("the recorded bytes are hexadecimal")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn settings(seeds: Vec<SocketAddr>) -> Settings {
    Settings { seeds, ..Settings::new(KEY.to_vec()) }
}

/// The member that announces itself to its seed, and leaves at [`LEAVE_TIME`].
fn member_a() -> Membership {
    Membership::new(
        MemberId::new("a", 1_700_000_000_000_001, address(7001)),
        settings(vec![address(7002)]),
        1,
        0,
    )
}

/// The member that is the seed of member `a`.
fn member_b() -> Membership {
    Membership::new(MemberId::new("b", 1_700_000_000_000_002, address(7002)), settings(vec![]), 2, 0)
}

fn sent_by(sender: &str, sent_at: Micros, datagrams: Vec<OutgoingDatagram>) -> Vec<Datagram> {
    let datagram = |OutgoingDatagram { to: receiver, bytes }| Datagram {
        sender: sender.to_string(),
        sent_at,
        receiver,
        bytes,
    };
    datagrams.into_iter().map(datagram).collect()
}

fn state_of_a(member: &Membership) -> Option<Member> {
    member.table().into_iter().find(|other| other.id.name == "a")
}

#[test]
fn datagrams_of_the_previous_version_are_read() {
    let mut member = member_b();
    let mut now = 0;
    for datagram in recorded_exchange().iter().filter(|datagram| datagram.sender.starts_with('a')) {
        while now < datagram.sent_at {
            now += TICK_INTERVAL;
            member.tick(now);
        }
        if datagram.sender == "a-leaves" {
            let state = state_of_a(&member).map(|member| member.state);
            assert!(
                matches!(state, Some(MemberState::Alive | MemberState::Left)),
                "member a is {state:?} before its leave message"
            );
        }
        member.handle_datagram(now, &datagram.bytes);
    }
    for _ in 0..20 {
        now += TICK_INTERVAL;
        member.tick(now);
    }
    let left = state_of_a(&member).expect("member a is in the table");
    assert_eq!(left.id, MemberId::new("a", 1_700_000_000_000_001, address(7001)));
    assert_eq!(left.state, MemberState::Left);
    let metrics = member.metrics();
    assert_eq!((metrics.malformed, metrics.unauthenticated, metrics.replayed), (0, 0, 0));
    assert_eq!((metrics.protocol_errors, metrics.declared_dead), (0, 0));
}

#[test]
fn the_same_inputs_give_the_datagrams_of_the_previous_version() {
    let (mut leaving, mut staying) = (member_a(), member_b());
    let mut exchange = Vec::new();
    let mut now = 0;
    while now < LEAVE_TIME {
        now += TICK_INTERVAL;
        for datagram in sent_by("a", now, leaving.tick(now)) {
            staying.handle_datagram(now, &datagram.bytes);
            exchange.push(datagram);
        }
        for datagram in sent_by("b", now, staying.tick(now)) {
            leaving.handle_datagram(now, &datagram.bytes);
            exchange.push(datagram);
        }
    }
    exchange.extend(sent_by("a-leaves", now, leaving.leave(now)));
    assert_eq!(exchange, recorded_exchange());
}
