//! The nearest workers to a key, held against the plain definition.

use super::*;
use proptest::prelude::*;

fn candidates(weights: &[f64]) -> Vec<Candidate> {
    let candidate = |(number, weight): (usize, &f64)| Candidate {
        id: WorkerId(number as u32),
        key: (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        weight: *weight,
    };
    weights.iter().enumerate().map(candidate).collect()
}

/// All of them by distance, as weighted rendezvous hashing defines it.
fn by_definition(candidates: &[Candidate], key: u64) -> Vec<WorkerId> {
    let distance = |c: &Candidate| (-draw(key, c.key).ln() / c.weight.max(1e-6), c.id);
    let mut all: Vec<(f64, WorkerId)> = candidates.iter().map(distance).collect();
    all.sort_by(|a, b| a.partial_cmp(b).expect("numbers"));
    all.into_iter().map(|(_, id)| id).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() })]

    /// Whatever is passed over early, the result is that of looking at all.
    #[test]
    fn nearest_is_the_beginning_of_all_by_distance(
        weights in prop::collection::vec(0.0..3.0, 0..400),
        key in any::<u64>(),
        most in 0_usize..80,
    ) {
        let candidates = candidates(&weights);
        let mut expected = by_definition(&candidates, key);
        expected.truncate(most);
        prop_assert_eq!(Snapshot::new(candidates).nearest(key, most), expected);
    }
}

/// The homes of a key are its nearest workers, asked for once or again, few or more of them.
#[test]
fn remembered_homes_are_the_nearest() {
    for length in [60, 3_200] {
        let candidates = candidates(&vec![1.0; length]);
        let all = by_definition(&candidates, 5);
        let mut snapshot = Snapshot::new(candidates);
        for homes in [1, 2, 3, 1, 20, 9] {
            let (order, _) = snapshot.homes(5, homes, 17);
            assert_eq!(order[..homes + SPARE], all[..homes + SPARE], "{homes} homes among {length}");
        }
        let (_, is_new) = snapshot.homes(5, 9, 17);
        assert!(!is_new, "they are remembered");
    }
}

/// A key with hundreds of homes: each dispatcher looks at a few of them, all dispatchers together at most of them.
#[test]
fn a_popular_key_is_spread_over_its_homes() {
    const HOMES: usize = 400;
    let candidates = candidates(&vec![1.0; 3_200]);
    let all = by_definition(&candidates, 5);
    let mut used = std::collections::BTreeSet::new();
    for me in 0..300 {
        let mut snapshot = Snapshot::new(candidates.clone());
        let (order, _) = snapshot.homes(5, HOMES, me);
        assert!(order.len() <= 2 * HOMES_MOST, "{} looked at", order.len());
        assert!(order.iter().all(|id| all[..HOMES + HOMES / 4 + SPARE].contains(id)));
        used.extend(order.iter().copied());
    }
    assert!(used.len() > HOMES / 2, "{} of them are used", used.len());
}
