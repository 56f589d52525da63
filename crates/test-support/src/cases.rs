//! Properties checked on the same random cases at every run.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Checks a property on `cases` cases drawn from a fixed seed; panics with the smallest case that fails.
pub fn check_cases<S: Strategy>(
    cases: u32,
    strategy: S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(error) = runner.run(&strategy, test) {
        panic!("{error}");
    }
}
