//! Short simulations with fault injection violate no invariant, and a run is determined by its seed.

use stallmoor_bench::simulation::{SimulationOptions, SimulationReport, simulate};

fn run(seed: u64, nodes: usize, minutes: u64) -> SimulationReport {
    simulate(SimulationOptions { seed, nodes, minutes, trace: false })
}

#[test]
fn short_runs_violate_no_invariant() {
    for seed in 1..=12 {
        let report = run(seed, 7, 6);
        assert!(!report.has_violations(), "seed {seed}: {:?}", report.violations);
        assert!(report.invariants.values().any(|tally| tally.checked > 0));
    }
}

/// Regression test for seeds that exposed faults in the past.
#[test]
fn regression_seeds_violate_no_invariant() {
    for seed in [2, 11, 13, 23, 368, 388] {
        let report = run(seed, 7, 10);
        assert!(!report.has_violations(), "seed {seed}: {:?}", report.violations);
    }
}

#[test]
fn run_is_determined_by_its_seed() {
    let (first, second) = (run(5, 7, 4), run(5, 7, 4));
    assert_eq!(first.invariants, second.invariants);
    assert_eq!(first.operations, second.operations);
    assert_eq!(first.faults, second.faults);
    assert_ne!(run(6, 7, 4).operations, first.operations);
}

#[test]
fn sixty_nodes_violate_no_invariant() {
    let report = run(1, 60, 4);
    assert!(!report.has_violations(), "{:?}", report.violations);
}
