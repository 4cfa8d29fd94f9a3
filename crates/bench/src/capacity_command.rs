//! `stallmoor-bench capacity`.

use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use stallmoor_bench::capacity::{Measure, PARTS, run_parts};

/// The subcommand.
pub fn command() -> Command {
    Command::new("capacity")
        .about("Measures what each role costs at four sizes or more, for docs/CAPACITY.md")
        .arg(
            Arg::new("part")
                .long("part")
                .value_name("PART")
                .value_parser(PossibleValuesParser::new(PARTS.map(|part| part.name)))
                .help("Only what this varies; all parts take some minutes"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON and nothing else"))
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let report = run_parts(arguments.get_one::<String>("part").map(String::as_str));
    if arguments.get_flag("json") {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    for measure in &report.measures {
        print_measure(measure);
    }
    ExitCode::SUCCESS
}

fn print_measure(measure: &Measure) {
    println!("{} ({}), per {}", measure.name, measure.unit, measure.per);
    for point in &measure.points {
        println!("  {:>12.1}: {:>14.4}", point.size, point.value);
    }
    let slope = measure.slope;
    println!("  line: {:.5} + {:.7} x; at {:.1}: {:.3}", slope.base, slope.per_unit, measure.target, measure.at_target);
}
