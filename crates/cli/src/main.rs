//! The `stallmoor` binary: server processes and operator commands.
//!
//! | module | contents |
//! |---|---|
//! | `arguments` | command-line definition |
//! | `node_command` | `stallmoor node` |
//! | `serving_commands` | `stallmoor gateway`, `stallmoor storage` |
//! | `configuration_commands` | `check`, `apply`, `diff` |
//! | `fleet_commands`, `log_story` | `status`, `explain` |
//! | `batch_commands` | `batch submit`, `status`, `results`, `cancel` |
//! | `client` | HTTP client for a node |
//! | `output`, `outcome` | command output, errors and exit codes |
//! | `logging` | logger setup of `stallmoor node` |

mod arguments;
mod batch_commands;
mod client;
mod configuration_commands;
mod fleet_commands;
mod log_story;
mod logging;
mod node_command;
mod outcome;
mod output;
mod serving_commands;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::outcome::CommandError;
use crate::output::CommandOutput;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    // Processes on the users' platform have one core, where more threads only add context switches.
    let mut builder = match matches.subcommand_name() {
        Some("gateway" | "storage") => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            output::print_error(format_args!("failed to start the async runtime: {error}"));
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output::print_error(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let output = &mut CommandOutput::standard();
    match matches.subcommand() {
        Some(("node", arguments)) => node_command::run(arguments, output).await,
        Some(("gateway", arguments)) => serving_commands::gateway(arguments).await,
        Some(("storage", arguments)) => serving_commands::storage(arguments).await,
        Some(("check", arguments)) => configuration_commands::check(arguments, output),
        Some(("apply", arguments)) => configuration_commands::apply(arguments, output).await,
        Some(("diff", arguments)) => configuration_commands::diff(arguments, output).await,
        Some(("status", arguments)) => fleet_commands::status(arguments, output).await,
        Some(("explain", arguments)) => fleet_commands::explain(arguments, output).await,
        Some(("batch", arguments)) => batch_commands::run(arguments, output).await,
        _ => Ok(()),
    }
}
