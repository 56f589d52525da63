//! Damaged messages in correctly signed datagrams, as a faulty member could send them.

use super::{Membership, OutgoingDatagram};
use crate::authentication::{Authenticator, MAX_MESSAGE_BYTES};
use crate::{MemberId, Metrics, Settings};
use std::net::SocketAddr;
use std::time::Duration;

const KEY: &[u8] = b"a key of the tests alone";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(name: &str, port: u16, seed_port: u16, rng: &mut fastrand::Rng) -> Membership {
    let settings = Settings { seeds: vec![address(seed_port)], ..Settings::new(KEY.to_vec()) };
    Membership::new(MemberId::new(name, 1, address(port)), settings, rng.u64(..), 0)
}

fn damage(message: &mut Vec<u8>, rng: &mut fastrand::Rng) {
    for _ in 0..rng.usize(1..6) {
        let position = rng.usize(..message.len());
        match rng.u8(..4) {
            0 => message[position] = rng.u8(..),
            1 => message.truncate(position.max(1)),
            2 => message.insert(position, rng.u8(..)),
            _ => message.extend((0..rng.usize(..40)).map(|_| rng.u8(..))),
        }
    }
    message.truncate(MAX_MESSAGE_BYTES);
}

/// Runs two members, of which the receiver gets each message of the sender twice: as sent, then damaged and
/// signed again. Returns the receiver's metrics.
fn exchange_damaged_messages(rng: &mut fastrand::Rng, steps: usize) -> Metrics {
    let mut sender = member("a", 1, 2, rng);
    let mut receiver = member("b", 2, 1, rng);
    let mut signer = Authenticator::new(KEY, rng.u64(..));
    let mut verifier = Authenticator::new(KEY, rng.u64(..));
    let mut now = 0;
    for _ in 0..steps {
        now += rng.i64(1_000..200_000);
        for OutgoingDatagram { bytes, .. } in receiver.tick(now) {
            sender.handle_datagram(now, &bytes);
        }
        for OutgoingDatagram { bytes, .. } in sender.tick(now) {
            receiver.handle_datagram(now, &bytes);
            let mut message = verifier.verify(&bytes).expect("the sender's datagram is valid").to_vec();
            damage(&mut message, rng);
            receiver.handle_datagram(now, &signer.sign(&message));
        }
    }
    assert!(
        receiver.table().len() <= 1 + steps * 64,
        "the member table has more entries than the received messages can hold"
    );
    receiver.metrics()
}

#[test]
fn signed_messages_that_are_damaged_are_rejected_without_a_panic() {
    let mut rng = fastrand::Rng::with_seed(9);
    let protocol_errors: u64 = (0..60).map(|_| exchange_damaged_messages(&mut rng, 40).protocol_errors).sum();
    assert!(protocol_errors > 500, "only {protocol_errors} damaged messages were rejected by the protocol");
}

/// Repeats the exchange for `FUZZ_SECONDS` seconds, 600 if the variable is not set.
#[test]
#[ignore = "runs for ten minutes by default"]
fn fuzz_signed_messages() {
    let seconds = std::env::var("FUZZ_SECONDS").ok().and_then(|text| text.parse().ok()).unwrap_or(600);
    let started_at = std::time::Instant::now();
    let mut rng = fastrand::Rng::with_seed(10);
    let mut exchanges = 0_u64;
    while started_at.elapsed() < Duration::from_secs(seconds) {
        exchange_damaged_messages(&mut rng, 60);
        exchanges += 1;
    }
    println!("{exchanges} exchanges");
}
