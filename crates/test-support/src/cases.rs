//! Property tests that check the same random cases in each run.

use proptest::prelude::{Strategy, TestCaseError};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Fixed seed of the case generator: a failure occurs again in the next run.
const CASE_SEED: [u8; 32] = [7; 32];

/// Checks the property `test` on `cases` values that `strategy` generates from a fixed seed.
///
/// # Panics
/// If the property does not hold; the message shows the smallest failing case that shrinking found.
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
