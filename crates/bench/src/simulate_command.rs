//! The `stallmoor-bench simulate` subcommand.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Instant;

use clap::{Arg, ArgAction, ArgMatches, Command};
use stallmoor_bench::simulation::{SimulationOptions, SimulationReport, simulate};

use crate::arguments::{json, number, print_json, value_of};

/// Maximum number of violations printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Defines the subcommand.
pub fn command() -> Command {
    Command::new("simulate")
        .about("Simulates the nodes' decision code on a virtual clock with fault injection and checks invariants")
        .after_help(
            "Example: stallmoor-bench simulate --seeds 200 --minutes 10\n\
             Exit codes: 0 everything held; 1 something was violated. To replay a seed with its trace:\n\
             stallmoor-bench simulate --seeds 1 --first-seed SEED --trace",
        )
        .arg(number("seeds", "Number of seeds to run", "20"))
        .arg(number("first-seed", "First seed", "1"))
        .arg(number("nodes", "Number of nodes in each run", "7"))
        .arg(number("minutes", "Simulated minutes per seed", "10"))
        .arg(json())
        .arg(Arg::new("trace").long("trace").action(ArgAction::SetTrue).help("Print the last lines of the trace"))
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let options = SimulationOptions {
        seed: value_of(arguments, "first-seed"),
        nodes: value_of::<u64>(arguments, "nodes") as usize,
        minutes: value_of(arguments, "minutes"),
        trace: arguments.get_flag("trace"),
    };
    let started = Instant::now();
    let report = run_seeds(options, value_of(arguments, "seeds"));
    for line in &report.trace {
        println!("{line}");
    }
    for (seed, violation) in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        eprintln!("seed {seed}: {violation}");
    }
    if arguments.get_flag("json") {
        print_json(&report);
    } else {
        print_report(&report, started);
    }
    if report.has_violations() { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Runs seeds on all cores. Each run depends only on its seed, so their order does not matter.
fn run_seeds(options: SimulationOptions, seeds: u64) -> SimulationReport {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let next = AtomicU64::new(0);
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..threads {
            let (next, sender) = (&next, sender.clone());
            scope.spawn(move || {
                loop {
                    let offset = next.fetch_add(1, Ordering::Relaxed);
                    if offset >= seeds {
                        return;
                    }
                    let report = simulate(SimulationOptions { seed: options.seed + offset, ..options });
                    // The receiver outlives the scope.
                    let _ = sender.send(report);
                }
            });
        }
    });
    drop(sender);
    let mut total = SimulationReport::default();
    for report in receiver {
        total.merge(report);
    }
    total.violations.sort();
    total
}

fn print_report(report: &SimulationReport, started: Instant) {
    println!(
        "{} seeds, {} simulated minutes, {:.1} s",
        report.seeds,
        report.simulated_minutes,
        started.elapsed().as_secs_f64()
    );
    println!("operations:");
    for (name, count) in &report.operations {
        println!("  {name:<36} {count:>10}");
    }
    println!("failures injected:");
    for (name, count) in &report.faults {
        println!("  {name:<36} {count:>10}");
    }
    println!("invariants:");
    for (name, tally) in &report.invariants {
        println!("  {name:<36} {:>10} checked {:>6} violated", tally.checked, tally.violations);
    }
    let (slowest_ms, seed) = report.slowest_propagation;
    println!("slowest propagation of a revision: {slowest_ms} ms, in seed {seed}");
    println!("after the failures end:");
    for (name, tally) in &report.liveness {
        let outcome = format!("{:>10} checked {:>6} violated", tally.checked, tally.violations);
        println!("  {name:<36} {outcome}, worst {} ms", tally.worst_ms);
    }
}
