//! `stallmoor-bench recovery`.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stallmoor_bench::recovery;

/// The subcommand.
pub fn command() -> Command {
    Command::new("recovery")
        .about("Measures how long the fleet takes to recover, on a virtual clock, for docs/RELIABILITY.md")
        .arg(
            Arg::new("trials")
                .long("trials")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("40")
                .help("Seeds for each kind of recovery"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON and nothing else"))
}

/// Runs the subcommand. Exits with 1 if a trial did not recover.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let trials = arguments.get_one::<u64>("trials").copied().unwrap_or(1);
    let times = recovery::measure(trials);
    if arguments.get_flag("json") {
        println!("{}", serde_json::to_string(&times).unwrap_or_default());
    } else {
        for (name, time) in &times {
            println!(
                "{name:<46} median {:>6} ms, worst {:>6} ms, {} of {} trials did not recover",
                time.median_ms, time.worst_ms, time.unrecovered, time.trials
            );
        }
    }
    if times.values().any(|time| time.unrecovered > 0) { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
