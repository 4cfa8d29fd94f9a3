//! `stallmoor-bench chaos`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stallmoor_bench::chaos::{self, ChaosOptions};

/// Violations printed at most.
const PRINTED_VIOLATIONS: usize = 20;

/// The subcommand.
pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_name("N").help(help).value_parser(value_parser!(u64)).default_value(default)
    };
    Command::new("chaos")
        .about("Sends load to a fleet that somebody breaks, and checks what came of it. See scripts/chaos.sh")
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDRESS")
                .action(ArgAction::Append)
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("A node, by its address for callers; may be repeated"),
        )
        .arg(
            Arg::new("runs-file")
                .long("runs-file")
                .value_name("PATH")
                .action(ArgAction::Append)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("A file in which an engine writes down its runs; may be repeated"),
        )
        .arg(Arg::new("tenant").long("tenant").value_name("TENANT").default_value("burst-sweep").help("Who asks"))
        .arg(Arg::new("model").long("model").value_name("MODEL").default_value("logger-7b").help("The model"))
        .arg(number("seconds", "How long load is sent", "60"))
        .arg(number("settle-seconds", "How long jobs may take after the load", "120"))
        .arg(number("seed", "Decides what is sent", "1"))
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let number = |name: &str| arguments.get_one::<u64>(name).copied().unwrap_or(1);
    let text = |name: &str| arguments.get_one::<String>(name).cloned().unwrap_or_default();
    let options = ChaosOptions {
        nodes: arguments.get_many::<SocketAddr>("node").into_iter().flatten().copied().collect(),
        runs_files: arguments.get_many::<PathBuf>("runs-file").into_iter().flatten().cloned().collect(),
        load: Duration::from_secs(number("seconds")),
        settle: Duration::from_secs(number("settle-seconds")),
        seed: number("seed"),
        tenant: text("tenant"),
        model: text("model"),
    };
    let Ok(runtime) = tokio::runtime::Runtime::new() else { return ExitCode::FAILURE };
    let verdict = runtime.block_on(chaos::run(options));
    println!("{}", serde_json::to_string_pretty(&verdict).unwrap_or_default());
    for violation in verdict.violations.iter().take(PRINTED_VIOLATIONS) {
        eprintln!("violated: {violation}");
    }
    if verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
