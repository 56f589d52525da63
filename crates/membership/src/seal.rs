//! The seal on a datagram: who sent it, its number, and a code that only holders of the key can make.
//!
//! ```text
//! byte 0         the version, 1
//! bytes 1 to 8   the sender's life, drawn at its start
//! bytes 9 to 16  the datagram's number in that life, from 1
//! then           what membership says
//! last 16 bytes  HMAC-SHA256 of all before, cut
//! ```

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::collections::HashMap;

/// The most that a datagram holds, in bytes.
pub const DATAGRAM_MOST: usize = 1_392;
const VERSION: u8 = 1;
const HEAD: usize = 17;
const CODE: usize = 16;
/// The most that a message holds within its seal.
pub(crate) const MESSAGE_MOST: usize = DATAGRAM_MOST - HEAD - CODE;
/// Datagrams may overtake each other by so many.
const WINDOW: u64 = 64;
/// Lives whose numbers are remembered; the one heard from the longest ago is forgotten first.
const LIVES_MOST: usize = 4_096;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsealed {
    /// It is too short or too long to be one, or of another version.
    Misshapen,
    /// Its code is not what the key makes of it.
    Forged,
    /// Its number has come before, or is too old to tell.
    Replayed,
}

/// The numbers of one life that have come.
struct Seen {
    last: u64,
    /// Bit i: the number `last - i` has come.
    window: u64,
    heard: u64,
}

/// Seals what is sent, and opens what has come.
pub(crate) struct Seal {
    mac: Hmac<Sha256>,
    life: u64,
    number: u64,
    seen: HashMap<u64, Seen>,
    opened: u64,
}

impl Seal {
    pub(crate) fn new(key: &[u8], life: u64) -> Seal {
        // A MAC of this kind takes a key of any length.
        let mac =
            Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("keys of any length fit"));
        Seal { mac, life, number: 0, seen: HashMap::new(), opened: 0 }
    }

    pub(crate) fn seal(&mut self, message: &[u8]) -> Vec<u8> {
        self.number += 1;
        let mut out = Vec::with_capacity(HEAD + message.len() + CODE);
        out.push(VERSION);
        out.extend_from_slice(&self.life.to_be_bytes());
        out.extend_from_slice(&self.number.to_be_bytes());
        out.extend_from_slice(message);
        let code = self.mac.clone().chain_update(&out).finalize().into_bytes();
        out.extend_from_slice(&code[..CODE]);
        out
    }

    /// What a datagram says.
    pub(crate) fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<&'a [u8], Unsealed> {
        let long = HEAD + CODE < datagram.len() && datagram.len() <= DATAGRAM_MOST;
        if !long || datagram[0] != VERSION {
            return Err(Unsealed::Misshapen);
        }
        let (signed, code) = datagram.split_at(datagram.len() - CODE);
        let mac = self.mac.clone().chain_update(signed);
        mac.verify_truncated_left(code).map_err(|_| Unsealed::Forged)?;
        let word = |at: usize| signed[at..at + 8].iter().fold(0, |w, &b| w << 8 | u64::from(b));
        if !self.fresh(word(1), word(9)) {
            return Err(Unsealed::Replayed);
        }
        Ok(&signed[HEAD..])
    }

    /// Whether a number of a life comes for the first time.
    fn fresh(&mut self, life: u64, number: u64) -> bool {
        self.opened += 1;
        if self.seen.len() >= LIVES_MOST && !self.seen.contains_key(&life) {
            let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.heard).map(|(&life, _)| life);
            oldest.and_then(|life| self.seen.remove(&life));
        }
        let seen = self.seen.entry(life).or_insert(Seen { last: 0, window: 0, heard: 0 });
        seen.heard = self.opened;
        if number > seen.last {
            let ahead = number - seen.last;
            seen.window = if ahead >= WINDOW { 0 } else { seen.window << ahead };
            seen.window |= 1;
            seen.last = number;
            return true;
        }
        let behind = seen.last - number;
        if number == 0 || behind >= WINDOW || seen.window >> behind & 1 == 1 {
            return false;
        }
        seen.window |= 1 << behind;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use sorrelhaven_test_support::check_cases;
    use std::collections::BTreeSet;

    const KEY: &[u8] = b"a key of the tests alone";

    #[test]
    fn what_was_forged_cut_or_lengthened_is_dropped() {
        check_cases(
            300,
            (prop::collection::vec(any::<u8>(), 1..200), any::<prop::sample::Index>(), 1..=255u8),
            |case| {
                let (message, place, flip) = case;
                let datagram = Seal::new(KEY, 7).seal(&message);
                let open = |bytes: &[u8]| Seal::new(KEY, 8).open(bytes).map(<[u8]>::to_vec);
                prop_assert_eq!(open(&datagram), Ok(message.clone()));
                let mut forged = datagram.clone();
                forged[place.index(datagram.len())] ^= flip;
                prop_assert!(open(&forged).is_err());
                prop_assert!(open(&datagram[..place.index(datagram.len())]).is_err());
                let mut longer = datagram.clone();
                longer.push(flip);
                prop_assert_eq!(open(&longer), Err(Unsealed::Forged));
                prop_assert_eq!(
                    Seal::new(b"another key than that", 8).open(&datagram),
                    Err(Unsealed::Forged)
                );
                Ok(())
            },
        );
    }

    #[test]
    fn any_bytes_are_dropped_and_nothing_breaks() {
        check_cases(2_000, prop::collection::vec(any::<u8>(), 0..1_600), |bytes| {
            prop_assert!(Seal::new(KEY, 8).open(&bytes).is_err());
            Ok(())
        });
    }

    /// Against a set of all numbers that have come: none is taken twice, none within the window is turned away.
    #[test]
    fn a_datagram_is_taken_once_in_whatever_order() {
        check_cases(300, prop::collection::vec((0..3u64, 1..200u64), 1..300), |numbers| {
            let mut seal = Seal::new(KEY, 8);
            let mut taken: BTreeSet<(u64, u64)> = BTreeSet::new();
            for (life, number) in numbers {
                let last = taken.range((life, 0)..(life + 1, 0)).next_back().map_or(0, |t| t.1);
                let expected = !taken.contains(&(life, number)) && number + WINDOW > last;
                prop_assert_eq!(seal.fresh(life, number), expected);
                if expected {
                    taken.insert((life, number));
                }
            }
            Ok(())
        });
    }

    #[test]
    fn lives_that_are_remembered_are_bounded() {
        let mut seal = Seal::new(KEY, 8);
        for life in 0..3 * LIVES_MOST as u64 {
            assert!(seal.fresh(life, 1));
        }
        assert_eq!(seal.seen.len(), LIVES_MOST);
        assert!(!seal.fresh(3 * LIVES_MOST as u64 - 1, 1));
    }
}
