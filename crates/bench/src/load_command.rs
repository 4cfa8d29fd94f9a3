//! `stallmoor-bench load`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use stallmoor_bench::load::{self, LoadOptions};

use crate::arguments::{fraction, json, number, one, print_json, read_target, target};

/// The subcommand.
pub fn command() -> Command {
    Command::new("load")
        .about("Open-loop load against a running fleet")
        .after_help("Example: stallmoor-bench load --node 127.0.0.1:7200 --rate 50 --batch-rate 20 --seconds 30")
        .args(target("control-room"))
        .arg(fraction("rate", "Online requests a second", "20"))
        .arg(fraction("batch-rate", "Batch items a second", "0"))
        .arg(number("seconds", "How long", "30"))
        .arg(number("seed", "Decides what is sent when", "1"))
        .arg(number("max-tokens", "Most tokens of an answer", "64"))
        .arg(json())
}

/// Runs the subcommand.
pub async fn run(arguments: &ArgMatches) -> ExitCode {
    let json = arguments.get_flag("json");
    let options = LoadOptions {
        target: read_target(arguments),
        rate: one(arguments, "rate"),
        batch_rate: one(arguments, "batch-rate"),
        seconds: one(arguments, "seconds"),
        seed: one(arguments, "seed"),
        max_tokens: one::<u64>(arguments, "max-tokens") as u32,
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
