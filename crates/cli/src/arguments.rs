//! Command-line definition and argument accessors.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Exit codes listed in the help text.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 refused, failed, or files differ; 2 wrong usage; \
    3 files have errors; 4 another revision was accepted meanwhile; 5 no node answered";

/// Builds the `stallmoor` command with all subcommands.
pub fn command() -> Command {
    Command::new("stallmoor")
        .about("Serves online and batch inference on one fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(node())
        .subcommand(gateway())
        .subcommand(storage())
        .subcommand(check())
        .subcommand(apply())
        .subcommand(diff())
        .subcommand(status())
        .subcommand(explain())
        .subcommand(batch())
}

fn node() -> Command {
    Command::new("node")
        .about("Runs one node")
        .after_help("Example: stallmoor node --settings /etc/stallmoor/node.toml --zone cebu-a")
        .arg(path("settings", "The node's settings file").required(true))
        .arg(Arg::new("zone").long("zone").value_name("ZONE").help("Overrides node.zone"))
        .arg(address("peer-address", "Overrides node.peer_address"))
        .arg(address("caller-address", "Overrides node.caller_address"))
        .arg(path("data-folder", "Overrides node.data_folder"))
        .arg(
            Arg::new("adopt-data-folder")
                .long("adopt-data-folder")
                .action(ArgAction::SetTrue)
                .help("Take over a data folder that was formatted at another address; its former node must be gone"),
        )
}

fn gateway() -> Command {
    Command::new("gateway")
        .about("Runs a gateway on the users' platform: passes requests through to workers")
        .after_help("Example: stallmoor gateway --settings /etc/stallmoor/local.toml")
        .arg(serving_settings())
}

fn storage() -> Command {
    Command::new("storage")
        .about("Runs a storing node on the users' platform: keeps batch jobs and runs their items")
        .after_help("Example: stallmoor storage --settings /etc/stallmoor/local.toml")
        .arg(serving_settings())
}

fn serving_settings() -> Arg {
    path("settings", "The settings file; without it, the one that the platform names")
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a set of operators' files without applying it")
        .after_help("Example: stallmoor check examples/tubigwatch")
        .arg(folder())
        .arg(output())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Applies a set of operators' files, as a whole or not at all")
        .after_help("Example: stallmoor apply examples/tubigwatch --node 127.0.0.1:7200 --expect 41")
        .arg(folder())
        .arg(node_address())
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("Apply only if this revision is in force; without it, the one in force now"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the revision is in force on every node that answers"),
        )
        .arg(output())
}

fn diff() -> Command {
    Command::new("diff")
        .about("Compares a set of operators' files with those in force")
        .after_help("Example: stallmoor diff examples/tubigwatch --node 127.0.0.1:7200")
        .arg(folder())
        .arg(node_address())
        .arg(output())
}

fn status() -> Command {
    Command::new("status")
        .about("Shows every node: revision in force, groups led, work in hand")
        .after_help("Example: stallmoor status --node 127.0.0.1:7200 --output json")
        .arg(node_address())
        .arg(output())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows each decision for a request, at the node that served it or from logs")
        .after_help(
            "Examples: stallmoor explain request-5f3a9c01-17 --node 127.0.0.1:7200\n          \
             stallmoor explain 9c41d07be2a35f68 --log gateway-1.log --log storage-1.log",
        )
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("A request's id; with --log also a job, worker or machine"),
        )
        .arg(
            path("log", "Read the decisions from this log of a gateway or storing node; may be given often")
                .action(ArgAction::Append),
        )
        .arg(node_address())
        .arg(output())
}

fn batch() -> Command {
    let job = || Arg::new("job").value_name("JOB").required(true).help("The job's id");
    Command::new("batch")
        .about("Submits and follows batch jobs")
        .subcommand_required(true)
        .subcommand(
            Command::new("submit")
                .about("Submits a file of JSON Lines as a job")
                .after_help(
                    "Example: stallmoor batch submit sweep.jsonl --tenant planners --model logger-7b \
                     --key sweep-2026-12-02 --wait --node 127.0.0.1:7200",
                )
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("One item a line: {\"prompt\": ...} or OpenAI's {\"custom_id\": ..., \"body\": ...}"),
                )
                .arg(Arg::new("tenant").long("tenant").value_name("TENANT").required(true).help("Who submits"))
                .arg(Arg::new("model").long("model").value_name("MODEL").help("The model, unless the lines name it"))
                .arg(Arg::new("adapter").long("adapter").value_name("ADAPTER").help("The model's adapter"))
                .arg(
                    Arg::new("key")
                        .long("key")
                        .value_name("KEY")
                        .help("The idempotency key: submitting the same file again with it gives the same job"),
                )
                .arg(
                    Arg::new("within-ms")
                        .long("within-ms")
                        .value_name("MILLISECONDS")
                        .value_parser(value_parser!(u64))
                        .help("How long the job may take; a day if absent"),
                )
                .arg(Arg::new("wait").long("wait").action(ArgAction::SetTrue).help("Wait until the job has ended"))
                .arg(node_address())
                .arg(output()),
        )
        .subcommand(Command::new("status").about("Shows how far a job is").arg(job()).arg(node_address()).arg(output()))
        .subcommand(
            Command::new("results")
                .about("Writes a job's results, one JSON object a line")
                .arg(job())
                .arg(path("to", "Write to this file instead of standard output"))
                .arg(node_address()),
        )
        .subcommand(
            Command::new("cancel")
                .about("Stops a job; results that are there stay readable")
                .arg(job())
                .arg(node_address())
                .arg(output()),
        )
}

fn folder() -> Arg {
    Arg::new("folder")
        .value_name("FOLDER")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The folder whose *.toml files are the set")
}

fn node_address() -> Arg {
    address("node", "Any node, by IP address and port").default_value("127.0.0.1:7200")
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORM")
        .value_parser(PossibleValuesParser::new(["text", "json"]))
        .default_value("text")
        .help("How the result is written to standard output")
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("PATH").value_parser(value_parser!(PathBuf)).help(help)
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("ADDRESS").value_parser(value_parser!(SocketAddr)).help(help)
}

/// Returns whether `--output json` was given.
pub fn wants_json(arguments: &ArgMatches) -> bool {
    text(arguments, "output") == Some("json")
}

/// Returns the value of a string argument, if present.
pub fn text<'a>(arguments: &'a ArgMatches, name: &str) -> Option<&'a str> {
    arguments.get_one::<String>(name).map(String::as_str)
}

/// Returns the address given by `--node`, or the default.
pub fn selected_node(arguments: &ArgMatches) -> SocketAddr {
    let default = SocketAddr::from(([127, 0, 0, 1], 7200));
    arguments.get_one::<SocketAddr>("node").copied().unwrap_or(default)
}
