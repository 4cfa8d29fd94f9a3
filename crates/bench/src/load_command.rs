//! `stallmoor-bench load`.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stallmoor_bench::load::{self, LoadOptions};

/// The subcommand.
pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_name("N").help(help).value_parser(value_parser!(f64)).default_value(default)
    };
    Command::new("load")
        .about("Open-loop load against a running fleet")
        .after_help("Example: stallmoor-bench load --node 127.0.0.1:7200 --rate 50 --batch-rate 20 --seconds 30")
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDRESS")
                .action(ArgAction::Append)
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("A node, by its address for callers; may be repeated"),
        )
        .arg(number("rate", "Online requests a second", "20"))
        .arg(number("batch-rate", "Batch items a second", "0"))
        .arg(number("seconds", "How long", "30"))
        .arg(number("seed", "Decides what is sent when", "1"))
        .arg(number("max-tokens", "Most tokens of an answer", "64"))
        .arg(Arg::new("tenant").long("tenant").value_name("TENANT").default_value("control-room").help("Who asks"))
        .arg(Arg::new("model").long("model").value_name("MODEL").default_value("logger-7b").help("The model"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON and nothing else"))
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let number = |name: &str| arguments.get_one::<f64>(name).copied().unwrap_or(0.0);
    let text = |name: &str| arguments.get_one::<String>(name).cloned().unwrap_or_default();
    let json = arguments.get_flag("json");
    let options = LoadOptions {
        nodes: arguments.get_many::<SocketAddr>("node").into_iter().flatten().copied().collect(),
        rate: number("rate"),
        batch_rate: number("batch-rate"),
        seconds: number("seconds") as u64,
        seed: number("seed") as u64,
        tenant: text("tenant"),
        model: text("model"),
        max_tokens: number("max-tokens") as u32,
        progress: !json,
    };
    let Ok(runtime) = tokio::runtime::Runtime::new() else { return ExitCode::FAILURE };
    let report = runtime.block_on(load::run(options));
    if json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    println!("sent {}, answered {}, refused {}, lost {}", report.sent, report.answered, report.refused, report.lost);
    println!(
        "first token p50/p95/p99 {:.1}/{:.1}/{:.1} ms",
        report.ttft_ms.p50, report.ttft_ms.p95, report.ttft_ms.p99
    );
    println!(
        "between tokens p50/p95/p99 {:.1}/{:.1}/{:.1} ms",
        report.itl_ms.p50, report.itl_ms.p95, report.itl_ms.p99
    );
    println!("jobs accepted {}, not accepted {}", report.jobs, report.jobs_failed);
    ExitCode::SUCCESS
}
