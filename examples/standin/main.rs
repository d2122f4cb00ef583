//! Stand-ins for the platform: log, host list, workers and service instances, and the users' platform.
//!
//! Each subcommand but `load` serves HTTP on 127.0.0.1, prints one JSON line with its addresses, logs to
//! stderr and exits on SIGTERM. `load` submits jobs and prints one JSON line with a summary.

mod clock;
mod error;
mod fleet;
mod hosts;
mod instances;
mod lease;
mod log;
mod net;
mod platform;
mod process;
mod recorder;
mod switches;
mod workers;

use clap::Command;

use crate::error::Result;

fn main() -> std::process::ExitCode {
    process::init_logging();
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "stand-in failed");
            std::process::ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let matches = Command::new("standin")
        .about("Stand-ins for the platform's log, host list, workers and service instances")
        .subcommand_required(true)
        .subcommand(process::with_common_args(log::command()))
        .subcommand(process::with_common_args(hosts::command()))
        .subcommand(process::with_common_args(workers::command()))
        .subcommand(process::with_common_args(instances::command()))
        .subcommand(process::with_common_args(platform::command()))
        .subcommand(platform::load_command())
        .get_matches();
    match matches.subcommand() {
        Some(("log", matches)) => log::run(matches),
        Some(("hosts", matches)) => hosts::run(matches),
        Some(("workers", matches)) => workers::run(matches),
        Some(("instances", matches)) => instances::run(matches),
        Some(("platform", matches)) => platform::run(matches),
        Some(("load", matches)) => platform::run_load(matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}
