//! The nearest workers to a key, compared with the plain definition.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn candidates(weights: &[f64]) -> Vec<Candidate> {
    let candidate = |(number, weight): (usize, &f64)| Candidate {
        id: WorkerId(number as u32),
        name_hash: (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        weight: *weight,
    };
    weights.iter().enumerate().map(candidate).collect()
}

/// All of them by distance, as weighted rendezvous hashing defines it.
fn by_definition(candidates: &[Candidate], key: u64) -> Vec<WorkerId> {
    let distance = |candidate: &Candidate| {
        (-uniform_hash(key, candidate.name_hash).ln() / candidate.weight.max(1e-6), candidate.id)
    };
    let mut all: Vec<(f64, WorkerId)> = candidates.iter().map(distance).collect();
    all.sort_by(|left, right| left.partial_cmp(right).expect("numbers"));
    all.into_iter().map(|(_, id)| id).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() })]

    /// Whatever is skipped early, the result is that of looking at all.
    #[test]
    fn nearest_is_the_beginning_of_all_by_distance(
        weights in prop::collection::vec(0.0..3.0, 0..400),
        key in any::<u64>(),
        limit in 0_usize..80,
    ) {
        let candidates = candidates(&weights);
        let mut expected = by_definition(&candidates, key);
        expected.truncate(limit);
        prop_assert_eq!(Snapshot::new(candidates).nearest(key, limit), expected);
    }
}

/// The affinity set of a key is its nearest workers, whether asked for once or again, for few or more of them.
#[test]
fn cached_affinity_order_is_the_nearest_workers() {
    for length in [60, 3_200] {
        let candidates = candidates(&vec![1.0; length]);
        let all = by_definition(&candidates, 5);
        let mut snapshot = Snapshot::new(candidates);
        for set_size in [1, 2, 3, 1, 20, 9] {
            let order = snapshot.affinity_order(5, set_size, 17).workers;
            let needed = set_size + SPARE_WORKERS;
            assert_eq!(order[..needed], all[..needed], "{set_size} workers among {length}");
        }
        let is_new = snapshot.affinity_order(5, 9, 17).is_new;
        assert!(!is_new, "it is cached");
    }
}

/// A key with hundreds of workers: each dispatcher looks at a few of them, all dispatchers together at most of them.
#[test]
fn large_affinity_set_is_divided_among_dispatchers() {
    const SET_SIZE: usize = 400;
    let candidates = candidates(&vec![1.0; 3_200]);
    let all = by_definition(&candidates, 5);
    let mut used = BTreeSet::new();
    for instance in 0..300 {
        let mut snapshot = Snapshot::new(candidates.clone());
        let order = snapshot.affinity_order(5, SET_SIZE, instance).workers;
        assert!(order.len() <= 2 * MAX_WORKERS_PER_KEY, "{} looked at", order.len());
        assert!(order.iter().all(|id| all[..SET_SIZE + SET_SIZE / 4 + SPARE_WORKERS].contains(id)));
        used.extend(order.iter().copied());
    }
    assert!(used.len() > SET_SIZE / 2, "{} of them are used", used.len());
}
