//! Configuration shared by the stateful tests.

use proptest::test_runner::{Config, RngSeed};

/// Number of cases per stateful test, unless set by `STALLMOOR_FUZZ_CASES`.
const CASES: u32 = 400;
/// Seed of the random cases, unless set by `STALLMOOR_FUZZ_SEED`.
const SEED: u64 = 20_261_202;

/// Returns a configuration that produces the same cases on every run. For longer or varying runs, set
/// `STALLMOOR_FUZZ_CASES` to a larger number and `STALLMOOR_FUZZ_SEED` to a number or `random`.
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
