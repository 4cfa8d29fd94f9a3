//! Command-line arguments shared by several subcommands.
//!
//! Relies on clap to validate values and supply defaults: each argument read here is required or has a default.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use stallmoor_bench::fleet_client::FleetTarget;

/// Defines an integer argument with a default.
pub fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("N").help(help).value_parser(value_parser!(u64)).default_value(default)
}

/// Defines a floating-point argument with a default.
pub fn fraction(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    number(name, help, default).value_parser(value_parser!(f64))
}

/// Defines the flag that selects JSON output.
pub fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print only JSON")
}

/// Defines the arguments that select a running fleet, the tenant and the model.
pub fn target(default_tenant: &'static str) -> [Arg; 3] {
    [
        Arg::new("node")
            .long("node")
            .value_name("ADDRESS")
            .action(ArgAction::Append)
            .required(true)
            .value_parser(value_parser!(SocketAddr))
            .help("Address on which a node accepts callers; may be repeated"),
        Arg::new("tenant")
            .long("tenant")
            .value_name("TENANT")
            .default_value(default_tenant)
            .help("Tenant that sends the requests"),
        Arg::new("model").long("model").value_name("MODEL").default_value("logger-7b").help("Model to request"),
    ]
}

/// Returns the value of an argument that is required or has a default.
pub fn value_of<T: Clone + Default + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().unwrap_or_default()
}

/// Returns all values of an argument that may be repeated.
pub fn values_of<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches.get_many::<T>(name).into_iter().flatten().cloned().collect()
}

/// Reads the arguments defined by [`target`].
pub fn read_target(matches: &ArgMatches) -> FleetTarget {
    FleetTarget {
        nodes: values_of(matches, "node"),
        tenant: value_of(matches, "tenant"),
        model: value_of(matches, "model"),
    }
}

/// Prints a report as a single line of JSON.
pub fn print_json(report: &impl serde::Serialize) {
    println!("{}", serde_json::to_string(report).unwrap_or_default());
}
