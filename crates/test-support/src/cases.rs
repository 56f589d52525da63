//! Property tests that check the same random cases at every run.

use proptest::prelude::{Strategy, TestCaseError};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Seed of the case generator, so that a failure reproduces.
const CASE_SEED: [u8; 32] = [7; 32];

/// Checks a property on `cases` cases drawn from a fixed seed.
///
/// # Panics
/// With the smallest failing case that shrinking finds, if the property does not hold.
pub fn check_cases<S: Strategy>(
    cases: u32,
    strategy: S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &CASE_SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(error) = runner.run(&strategy, test) {
        panic!("{error}");
    }
}
