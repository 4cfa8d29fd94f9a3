//! The `stallmoor-bench experiment` subcommand.

use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command, value_parser};
use stallmoor_bench::experiment::{self, ExperimentOptions, ExperimentReport, Profile};
use stallmoor_bench::latency::Percentiles;

use crate::arguments::{json, number, print_json, value_of};

/// Defines the subcommand.
pub fn command() -> Command {
    let shared_fleet = Command::new("shared-fleet")
        .about("Measures batch throughput and its effect on online tail latency for the same arrivals")
        .after_help("Example: stallmoor-bench experiment shared-fleet --profile vidyapath --seed 3 --headroom 0.2")
        .arg(
            Arg::new("profile")
                .long("profile")
                .value_name("PROFILE")
                .value_parser(PossibleValuesParser::new(["tubigwatch", "vidyapath"]))
                .default_value("tubigwatch")
                .help("Profile of the fleet and its load"),
        )
        .arg(number("seed", "Seed for the arrivals", "1"))
        .arg(number("seeds", "Number of consecutive seeds to run, each reported separately", "1"))
        .arg(number("seconds", "Duration of the load in seconds", "60"))
        .arg(
            Arg::new("headroom")
                .long("headroom")
                .value_name("SHARE")
                .value_parser(value_parser!(f64))
                .help("Fraction of slots that batch leaves free, overriding the profile"),
        )
        .arg(json());
    Command::new("experiment")
        .about("Experiments on a virtual clock")
        .subcommand_required(true)
        .subcommand(shared_fleet)
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let Some(("shared-fleet", arguments)) = arguments.subcommand() else { return ExitCode::from(2) };
    let name = arguments.get_one::<String>("profile").map_or("", String::as_str);
    let Some(profile) = Profile::parse(name) else { return ExitCode::from(2) };
    let first: u64 = value_of(arguments, "seed");
    for seed in first..first + value_of::<u64>(arguments, "seeds") {
        let options = ExperimentOptions {
            profile,
            seed,
            seconds: value_of(arguments, "seconds"),
            headroom: arguments.get_one::<f64>("headroom").copied(),
        };
        let report = experiment::run(&options);
        if arguments.get_flag("json") {
            print_json(&report);
        } else {
            print_report(&report);
        }
    }
    ExitCode::SUCCESS
}

fn print_report(report: &ExperimentReport) {
    println!("{} seed {}", report.profile, report.seed);
    println!(
        "{:<14} {:>8} {:>6} {:>24} {:>24} {:>6} {:>7} {:>6} {:>7} {:>7} {:>7} {:>6}",
        "run",
        "items/s",
        "idle",
        "ttft p50/p95/p99 ms",
        "itl p50/p95/p99 ms",
        "harm",
        "behind",
        "late",
        "wasted",
        "online",
        "refused",
        "error"
    );
    for (name, run) in [("online-only", &report.online_only), ("with batch", &report.with_batch)] {
        let triple = |value: Percentiles| format!("{:.1}/{:.1}/{:.1}", value.p50, value.p95, value.p99);
        println!(
            "{name:<14} {:>8.1} {:>6.3} {:>24} {:>24} {:>6.3} {:>7} {:>6} {:>7} {:>7} {:>7} {:>6.2}",
            run.batch_items_per_s,
            run.idle_share,
            triple(run.ttft_ms),
            triple(run.itl_ms),
            run.harm_p99,
            run.online_behind_batch,
            run.items_late,
            run.wasted_tokens,
            run.online_answered,
            run.online_refused,
            run.load_error
        );
    }
}
