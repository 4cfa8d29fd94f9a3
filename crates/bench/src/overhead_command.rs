//! `stallmoor-bench overhead`.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stallmoor_bench::overhead::{self, WayReport};

/// The subcommand.
pub fn command() -> Command {
    Command::new("overhead")
        .about("What a node adds to an online request, against a bare pass-through in the same run, on loopback")
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("3000")
                .help("Requests each way"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON and nothing else"))
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let requests = arguments.get_one::<u64>("requests").copied().unwrap_or(1) as usize;
    let Ok(runtime) = tokio::runtime::Runtime::new() else { return ExitCode::FAILURE };
    let report = match runtime.block_on(overhead::measure(requests)) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if arguments.get_flag("json") {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    print_way("engine alone", &report.engine);
    print_way("bare pass-through", &report.pass_through);
    print_way("stallmoor node", &report.node);
    println!("the node's p99 over the pass-through's: {:.2}", report.p99_ratio);
    ExitCode::SUCCESS
}

fn print_way(name: &str, way: &WayReport) {
    let latency = way.latency_ms;
    println!(
        "{name:<18} p50/p95/p99 {:.2}/{:.2}/{:.2} ms, {:.0} requests/s with 64 at once",
        latency.p50, latency.p95, latency.p99, way.requests_per_s
    );
}
