//! Compares the nearest workers to a key with the definition of weighted rendezvous hashing.

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

/// Returns all candidates in ascending order of their distance to a key, as weighted rendezvous hashing
/// defines it.
fn all_by_distance(candidates: &[Candidate], key: u64) -> Vec<WorkerId> {
    let distance = |candidate: &Candidate| {
        (-uniform_hash(key, candidate.name_hash).ln() / candidate.weight.max(1e-6), candidate.id)
    };
    let mut all: Vec<(f64, WorkerId)> = candidates.iter().map(distance).collect();
    all.sort_by(|left, right| left.partial_cmp(right).expect("no distance is NaN"));
    all.into_iter().map(|(_, id)| id).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() })]

    /// Candidates that are excluded before their distance is computed must not change the result.
    #[test]
    fn nearest_is_the_beginning_of_all_by_distance(
        weights in prop::collection::vec(0.0..3.0, 0..400),
        key in any::<u64>(),
        limit in 0_usize..80,
    ) {
        let candidates = candidates(&weights);
        let mut expected = all_by_distance(&candidates, key);
        expected.truncate(limit);
        prop_assert_eq!(Snapshot::new(candidates).nearest(key, limit), expected);
    }
}

/// An affinity set consists of the workers nearest to its key, whether the order is computed or cached, also
/// when the set grows and shrinks.
#[test]
fn cached_affinity_order_is_the_nearest_workers() {
    for length in [60, 3_200] {
        let candidates = candidates(&vec![1.0; length]);
        let all = all_by_distance(&candidates, 5);
        let mut snapshot = Snapshot::new(candidates);
        for set_size in [1, 2, 3, 1, 20, 9] {
            let order = snapshot.affinity_order(5, set_size, 17).workers;
            let needed = set_size + SPARE_WORKERS;
            assert_eq!(
                order[..needed],
                all[..needed],
                "affinity set of {set_size} workers, and spare ones, in a list of {length}"
            );
        }
        let is_new = snapshot.affinity_order(5, 9, 17).is_new;
        assert!(!is_new, "an order for a larger set is in the cache");
    }
}

/// An affinity set of hundreds of workers: each dispatcher considers a few of them, and all dispatchers
/// together most of them.
#[test]
fn large_affinity_set_is_divided_among_dispatchers() {
    const SET_SIZE: usize = 400;
    let candidates = candidates(&vec![1.0; 3_200]);
    let all = all_by_distance(&candidates, 5);
    let mut used = BTreeSet::new();
    for instance in 0..300 {
        let mut snapshot = Snapshot::new(candidates.clone());
        let order = snapshot.affinity_order(5, SET_SIZE, instance).workers;
        assert!(
            order.len() <= 2 * MAX_WORKERS_PER_KEY,
            "dispatcher {instance} considers {} workers",
            order.len()
        );
        assert!(order.iter().all(|id| all[..SET_SIZE + SET_SIZE / 4 + SPARE_WORKERS].contains(id)));
        used.extend(order.iter().copied());
    }
    assert!(used.len() > SET_SIZE / 2, "{} of the {SET_SIZE} workers are used", used.len());
}
