//! `stallmoor`: the node and the operators' commands in one program.
//!
//! | module | owns |
//! |---|---|
//! | `arguments` | the command line |
//! | `node_command` | `stallmoor node` |
//! | `serving_commands` | `stallmoor gateway`, `stallmoor storage` |
//! | `configuration_commands` | `check`, `apply`, `diff` |
//! | `fleet_commands`, `log_story` | `status`, `explain` |
//! | `batch_commands` | `batch submit`, `status`, `results`, `cancel` |
//! | `client` | HTTP to a node |
//! | `output`, `outcome` | what a command prints, its exit code |
//! | `logging` | where log lines go |

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
    // A process on the users' platform has one core; a second thread would only cost switches.
    let mut builder = match matches.subcommand_name() {
        Some("gateway" | "storage") => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            output::complain(format_args!("can't start: {error}"));
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output::complain(&error);
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
