//! Shared by the stateful tests.

use proptest::test_runner::{Config, RngSeed};

/// Cases of each stateful test unless `STALLMOOR_FUZZ_CASES` says otherwise.
const CASES: u32 = 400;
/// The seed unless `STALLMOOR_FUZZ_SEED` says otherwise.
const SEED: u64 = 20_261_202;

/// A configuration that gives the same cases on every run. For an open-ended run, set
/// `STALLMOOR_FUZZ_CASES` to a large number and `STALLMOOR_FUZZ_SEED` to `random` or to a number.
pub fn fuzz_config() -> Config {
    let variable = |name: &str| std::env::var(name).ok();
    let cases = variable("STALLMOOR_FUZZ_CASES").and_then(|cases| cases.parse().ok()).unwrap_or(CASES);
    let rng_seed = match variable("STALLMOOR_FUZZ_SEED").as_deref() {
        Some("random") => RngSeed::Random,
        Some(seed) => RngSeed::Fixed(seed.parse().unwrap_or(SEED)),
        None => RngSeed::Fixed(SEED),
    };
    Config { cases, rng_seed, failure_persistence: None, max_shrink_iters: 4_000, ..Config::default() }
}
