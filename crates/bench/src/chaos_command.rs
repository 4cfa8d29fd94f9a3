//! `stallmoor-bench chaos`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stallmoor_bench::chaos::{self, ChaosOptions};

use crate::arguments::{many, number, one, read_target, target};

/// Violations printed at most.
const PRINTED_VIOLATIONS: usize = 20;

/// The subcommand.
pub fn command() -> Command {
    Command::new("chaos")
        .about("Sends load to a fleet that somebody breaks, and checks what came of it. See scripts/chaos.sh")
        .args(target("burst-sweep"))
        .arg(
            Arg::new("runs-file")
                .long("runs-file")
                .value_name("PATH")
                .action(ArgAction::Append)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("A file in which an engine writes down its runs; may be repeated"),
        )
        .arg(number("seconds", "How long load is sent", "60"))
        .arg(number("settle-seconds", "How long jobs may take after the load", "120"))
        .arg(number("seed", "Decides what is sent", "1"))
}

/// Runs the subcommand.
pub async fn run(arguments: &ArgMatches) -> ExitCode {
    let options = ChaosOptions {
        target: read_target(arguments),
        runs_files: many(arguments, "runs-file"),
        load: Duration::from_secs(one(arguments, "seconds")),
        settle: Duration::from_secs(one(arguments, "settle-seconds")),
        seed: one(arguments, "seed"),
    };
    let verdict = chaos::run(options).await;
    println!("{}", serde_json::to_string_pretty(&verdict).unwrap_or_default());
    for violation in verdict.violations.iter().take(PRINTED_VIOLATIONS) {
        eprintln!("violated: {violation}");
    }
    if verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
