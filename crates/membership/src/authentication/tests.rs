//! Verification of forged, damaged, replayed and random datagrams.

use super::{Authenticator, DatagramError};
use crate::replay_filter::{MAX_SENDERS, REORDERING_WINDOW, ReplayFilter};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq};
use sorrelhaven_test_support::check_cases;
use std::collections::BTreeSet;

const KEY: &[u8] = b"a key of the tests alone";

#[test]
fn forged_truncated_and_extended_datagrams_are_dropped() {
    check_cases(
        300,
        (prop::collection::vec(any::<u8>(), 1..200), any::<prop::sample::Index>(), 1..=255u8),
        |case| {
            let (message, position, flip) = case;
            let datagram = Authenticator::new(KEY, 7).sign(&message);
            let verify = |bytes: &[u8]| Authenticator::new(KEY, 8).verify(bytes).map(<[u8]>::to_vec);
            prop_assert_eq!(verify(&datagram), Ok(message.clone()));
            let mut forged = datagram.clone();
            forged[position.index(datagram.len())] ^= flip;
            prop_assert!(verify(&forged).is_err());
            prop_assert!(verify(&datagram[..position.index(datagram.len())]).is_err());
            let mut longer = datagram.clone();
            longer.push(flip);
            prop_assert_eq!(verify(&longer), Err(DatagramError::Unauthenticated));
            prop_assert_eq!(
                Authenticator::new(b"another key than that", 8).verify(&datagram),
                Err(DatagramError::Unauthenticated)
            );
            Ok(())
        },
    );
}

#[test]
fn random_bytes_are_rejected_without_a_panic() {
    check_cases(2_000, prop::collection::vec(any::<u8>(), 0..1_600), |bytes| {
        prop_assert!(Authenticator::new(KEY, 8).verify(&bytes).is_err());
        Ok(())
    });
}

/// A model that keeps the set of all accepted numbers gives the expected result: no number is accepted twice,
/// and a new one within the window is never rejected.
#[test]
fn a_datagram_is_accepted_once_in_any_order() {
    check_cases(300, prop::collection::vec((0..3u64, 1..200u64), 1..300), |numbers| {
        let mut filter = ReplayFilter::default();
        let mut accepted: BTreeSet<(u64, u64)> = BTreeSet::new();
        for (sender, sequence) in numbers {
            let accepted_from_sender = accepted.range((sender, 0)..(sender + 1, 0));
            let highest = accepted_from_sender.map(|(_, sequence)| *sequence).next_back().unwrap_or(0);
            let expected = !accepted.contains(&(sender, sequence)) && sequence + REORDERING_WINDOW > highest;
            prop_assert_eq!(filter.accept(sender, sequence), expected);
            if expected {
                accepted.insert((sender, sequence));
            }
        }
        Ok(())
    });
}

#[test]
fn the_number_of_remembered_senders_is_bounded() {
    let mut filter = ReplayFilter::default();
    for sender in 0..3 * MAX_SENDERS as u64 {
        assert!(filter.accept(sender, 1));
    }
    assert_eq!(filter.sender_count(), MAX_SENDERS);
    assert!(!filter.accept(3 * MAX_SENDERS as u64 - 1, 1));
}
