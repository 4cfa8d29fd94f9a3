//! The `stallmoor-bench` command: simulation, experiments and load generation.

mod arguments;
mod chaos_command;
mod experiment_command;
mod load_command;
mod simulate_command;

use std::process::ExitCode;

use clap::Command;

#[tokio::main]
async fn main() -> ExitCode {
    let command = Command::new("stallmoor-bench")
        .about("Simulation, experiments and load generation")
        .subcommand_required(true)
        .subcommand(simulate_command::command())
        .subcommand(chaos_command::command())
        .subcommand(experiment_command::command())
        .subcommand(load_command::command());
    match command.get_matches().subcommand() {
        Some(("simulate", arguments)) => simulate_command::run(arguments),
        Some(("load", arguments)) => load_command::run(arguments).await,
        Some(("experiment", arguments)) => experiment_command::run(arguments),
        Some(("chaos", arguments)) => chaos_command::run(arguments).await,
        _ => ExitCode::from(2),
    }
}
