//! The `stallmoor-standins` binary: runs one of the stand-ins as a separate process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use stallmoor_emulator::EngineSettings;
use stallmoor_standins::engine::{EngineOptions, StandinEngine};
use stallmoor_standins::http;
use stallmoor_standins::key_value::{KeyValue, KeyValueFaults};
use stallmoor_standins::machines::MachineDirectory;
use tokio::net::TcpListener;

fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .help("IP address and port to listen on; port 0 selects a free port, which is printed to standard output")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0");
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_name("N").help(help).value_parser(value_parser!(u64)).default_value(default)
    };
    Command::new("stallmoor-standins")
        .about("Stand-ins for platform services, for tests. Faults are set by POST /fault")
        .subcommand_required(true)
        .subcommand(
            Command::new("engine")
                .about("An engine emulator")
                .arg(listen.clone())
                .arg(number("slots", "Maximum number of sequences decoded concurrently", "16"))
                .arg(number("iteration-us", "Minimum duration of an iteration, in microseconds", "8000"))
                .arg(number("report-lag-ms", "Age of load reports, in milliseconds", "200"))
                .arg(number("incarnation", "Incarnation number sent in load reports", "1"))
                .arg(number("seed", "Seed of the fault injection", "1"))
                .arg(
                    Arg::new("runs-file")
                        .long("runs-file")
                        .value_name("PATH")
                        .value_parser(value_parser!(PathBuf))
                        .help("Append each run to this file, one JSON object per line"),
                ),
        )
        .subcommand(
            Command::new("kv")
                .about("The key-value service")
                .arg(listen.clone())
                .arg(number("calls-per-second", "Rate limit in requests per second; 0 disables it", "0"))
                .arg(number("seed", "Seed of the fault injection", "1")),
        )
        .subcommand(Command::new("machines").about("The machine list").arg(listen).arg(number(
            "lag-ms",
            "Age of the list, in milliseconds",
            "1000",
        )))
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, arguments)) = matches.subcommand() else { return ExitCode::from(2) };
    let Some(address) = arguments.get_one::<SocketAddr>("listen") else { return ExitCode::from(2) };
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("failed to listen on {address}: {error}");
            return ExitCode::FAILURE;
        }
    };
    match listener.local_addr() {
        Ok(bound) => println!("listening on {bound}"),
        Err(error) => eprintln!("failed to read the local address: {error}"),
    }
    run(name, arguments, listener).await;
    ExitCode::SUCCESS
}

async fn run(name: &str, arguments: &ArgMatches, listener: TcpListener) {
    match name {
        "engine" => {
            let settings = EngineSettings {
                slots: number(arguments, "slots") as usize,
                iteration_us: number(arguments, "iteration-us"),
                ..EngineSettings::default()
            };
            let engine = StandinEngine::new(EngineOptions {
                settings,
                report_lag: Duration::from_millis(number(arguments, "report-lag-ms")),
                incarnation: number(arguments, "incarnation"),
                seed: number(arguments, "seed"),
                runs_file: arguments.get_one::<PathBuf>("runs-file").cloned(),
            });
            tokio::spawn(engine.clone().run());
            http::serve(listener, move |call| engine.clone().handle(call)).await;
        }
        "kv" => {
            let faults = KeyValueFaults {
                calls_per_second: number(arguments, "calls-per-second") as u32,
                ..KeyValueFaults::default()
            };
            let service = KeyValue::new(faults, number(arguments, "seed"));
            http::serve(listener, move |call| service.clone().handle(call)).await;
        }
        _ => {
            let list = MachineDirectory::new(Duration::from_millis(number(arguments, "lag-ms")));
            http::serve(listener, move |call| list.clone().handle(call)).await;
        }
    }
}
