//! Arguments that several subcommands take, and how they are read.
//!
//! Relies on clap to check values and fill in defaults: each argument read here has a default or is required.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use stallmoor_bench::fleet_client::FleetTarget;

/// A whole number with a default.
pub fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("N").help(help).value_parser(value_parser!(u64)).default_value(default)
}

/// A number that may have a fraction, with a default.
pub fn fraction(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    number(name, help, default).value_parser(value_parser!(f64))
}

/// The flag that asks for JSON.
pub fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON and nothing else")
}

/// The nodes of a running fleet, and who asks them for which model.
pub fn target(default_tenant: &'static str) -> [Arg; 3] {
    [
        Arg::new("node")
            .long("node")
            .value_name("ADDRESS")
            .action(ArgAction::Append)
            .required(true)
            .value_parser(value_parser!(SocketAddr))
            .help("A node, by its address for callers; may be repeated"),
        Arg::new("tenant").long("tenant").value_name("TENANT").default_value(default_tenant).help("Who asks"),
        Arg::new("model").long("model").value_name("MODEL").default_value("logger-7b").help("The model"),
    ]
}

/// Reads a value that has a default or is required.
pub fn one<T: Clone + Default + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().unwrap_or_default()
}

/// Reads the values of an argument that may be repeated.
pub fn many<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches.get_many::<T>(name).into_iter().flatten().cloned().collect()
}

/// Reads what [`target`] takes.
pub fn read_target(matches: &ArgMatches) -> FleetTarget {
    FleetTarget { nodes: many(matches, "node"), tenant: one(matches, "tenant"), model: one(matches, "model") }
}

/// Prints a report as one line of JSON.
pub fn print_json(report: &impl serde::Serialize) {
    println!("{}", serde_json::to_string(report).unwrap_or_default());
}
