//! `stallmoor-bench experiment`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stallmoor_bench::experiment::{self, ExperimentOptions, ExperimentReport, Policy, Profile, plot_report};

/// The subcommand.
pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_name("N").help(help).value_parser(value_parser!(u64)).default_value(default)
    };
    let policies: Vec<&str> = Policy::ALL.iter().map(|policy| policy.name()).collect();
    let shared_fleet = Command::new("shared-fleet")
        .about("Batch throughput against harm to the online tail, policies side by side on the same arrivals")
        .after_help("Example: stallmoor-bench experiment shared-fleet --profile vidyapath --seed 3 --plot frontier.svg")
        .arg(
            Arg::new("profile")
                .long("profile")
                .value_name("PROFILE")
                .value_parser(PossibleValuesParser::new(["tubigwatch", "vidyapath"]))
                .default_value("tubigwatch")
                .help("Whose fleet and load"),
        )
        .arg(number("seed", "Decides the arrivals", "1"))
        .arg(number("seeds", "Runs this many seeds from the first on, and prints each", "1"))
        .arg(number("seconds", "Seconds of load", "60"))
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("POLICY")
                .action(ArgAction::Append)
                .value_parser(PossibleValuesParser::new(policies))
                .help("Only these policies, and online-only; may be repeated"),
        )
        .arg(
            Arg::new("headroom")
                .long("headroom")
                .value_name("SHARE")
                .value_parser(value_parser!(f64))
                .help("The share of slots that batch leaves free, instead of the profile's"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON and nothing else"))
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draw the last report as SVG"),
        );
    Command::new("experiment")
        .about("Experiments on a virtual clock")
        .subcommand_required(true)
        .subcommand(shared_fleet)
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let Some(("shared-fleet", arguments)) = arguments.subcommand() else { return ExitCode::from(2) };
    let number = |name: &str| arguments.get_one::<u64>(name).copied().unwrap_or(1);
    let name = arguments.get_one::<String>("profile").map_or("", String::as_str);
    let Some(profile) = Profile::parse(name) else { return ExitCode::from(2) };
    let chosen: Vec<Policy> =
        arguments.get_many::<String>("policy").into_iter().flatten().filter_map(|name| Policy::parse(name)).collect();
    let first = number("seed");
    for seed in first..first + number("seeds") {
        let options = ExperimentOptions {
            profile,
            seed,
            seconds: number("seconds"),
            policies: if chosen.is_empty() { Policy::ALL.to_vec() } else { chosen.clone() },
            headroom: arguments.get_one::<f64>("headroom").copied(),
        };
        let report = experiment::run(&options);
        if arguments.get_flag("json") {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            print_report(&report);
        }
        if let Some(path) = arguments.get_one::<PathBuf>("plot")
            && let Err(error) = plot_report(&report, path)
        {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn print_report(report: &ExperimentReport) {
    println!("{} seed {}", report.profile, report.seed);
    println!(
        "{:<14} {:>8} {:>6} {:>24} {:>24} {:>6} {:>7} {:>6} {:>7} {:>7} {:>7} {:>6}",
        "policy",
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
    for (name, policy) in &report.policies {
        let triple = |value: experiment::Percentiles| format!("{:.1}/{:.1}/{:.1}", value.p50, value.p95, value.p99);
        println!(
            "{name:<14} {:>8.1} {:>6.3} {:>24} {:>24} {:>6.3} {:>7} {:>6} {:>7} {:>7} {:>7} {:>6.2}",
            policy.batch_items_per_s,
            policy.idle_share,
            triple(policy.ttft_ms),
            triple(policy.itl_ms),
            policy.harm_p99,
            policy.online_behind_batch,
            policy.items_late,
            policy.wasted_tokens,
            policy.online_answered,
            policy.online_refused,
            policy.load_error
        );
    }
}
