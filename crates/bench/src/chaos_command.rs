//! The `stallmoor-bench chaos` subcommand.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stallmoor_bench::chaos::{self, ChaosOptions};

use crate::arguments::{number, read_target, target, value_of, values_of};

/// Maximum number of violations printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Defines the subcommand.
pub fn command() -> Command {
    Command::new("chaos")
        .about("Sends load to a fleet under fault injection and checks the results. See scripts/chaos.sh")
        .args(target("burst-sweep"))
        .arg(
            Arg::new("runs-file")
                .long("runs-file")
                .value_name("PATH")
                .action(ArgAction::Append)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File in which an engine records its runs; may be repeated"),
        )
        .arg(number("seconds", "Duration of the load in seconds", "60"))
        .arg(number("settle-seconds", "Time in seconds for jobs to complete after the load", "120"))
        .arg(number("seed", "Seed for the generated load", "1"))
}

/// Runs the subcommand.
pub async fn run(arguments: &ArgMatches) -> ExitCode {
    let options = ChaosOptions {
        target: read_target(arguments),
        runs_files: values_of(arguments, "runs-file"),
        load: Duration::from_secs(value_of(arguments, "seconds")),
        settle: Duration::from_secs(value_of(arguments, "settle-seconds")),
        seed: value_of(arguments, "seed"),
    };
    let verdict = chaos::run(options).await;
    println!("{}", serde_json::to_string_pretty(&verdict).unwrap_or_default());
    for violation in verdict.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        eprintln!("violated: {violation}");
    }
    if verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
