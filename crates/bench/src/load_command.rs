//! The `stallmoor-bench load` subcommand.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use stallmoor_bench::load::{self, LoadOptions};

use crate::arguments::{fraction, json, number, print_json, read_target, target, value_of};

/// Defines the subcommand.
pub fn command() -> Command {
    Command::new("load")
        .about("Generates open-loop load against a running fleet")
        .after_help("Example: stallmoor-bench load --node 127.0.0.1:7200 --rate 50 --batch-rate 20 --seconds 30")
        .args(target("control-room"))
        .arg(fraction("rate", "Online requests per second", "20"))
        .arg(fraction("batch-rate", "Batch items per second", "0"))
        .arg(number("seconds", "Duration of the load in seconds", "30"))
        .arg(number("seed", "Seed for the generated load", "1"))
        .arg(number("max-tokens", "Maximum number of tokens in an answer", "64"))
        .arg(json())
}

/// Runs the subcommand.
pub async fn run(arguments: &ArgMatches) -> ExitCode {
    let json = arguments.get_flag("json");
    let options = LoadOptions {
        target: read_target(arguments),
        rate: value_of(arguments, "rate"),
        batch_rate: value_of(arguments, "batch-rate"),
        seconds: value_of(arguments, "seconds"),
        seed: value_of(arguments, "seed"),
        max_tokens: value_of::<u64>(arguments, "max-tokens") as u32,
        progress: !json,
    };
    let report = load::run(options).await;
    if json {
        print_json(&report);
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
