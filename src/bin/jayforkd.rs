//! Daemon that runs an entry host.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use jayfork::process::{self, EntrySettings, Settings};

/// Exit code for wrong usage or invalid settings.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let arguments = command().get_matches();
    let path: &PathBuf = arguments
        .get_one("settings")
        .expect("clap requires --settings");
    if arguments.get_flag("on-platform") {
        return run_on_platform(path, arguments.get_flag("check"));
    }
    let settings = match Settings::open(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("jayforkd: {error}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    if arguments.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jayforkd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs or checks an entry host on the users' platform.
fn run_on_platform(path: &Path, only_check: bool) -> ExitCode {
    let settings = match EntrySettings::open(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("jayforkd: {error}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    if only_check {
        return ExitCode::SUCCESS;
    }
    match process::host::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jayforkd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("jayforkd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs one entry host")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Settings file of this entry host"),
        )
        .arg(
            Arg::new("on-platform")
                .long("on-platform")
                .action(ArgAction::SetTrue)
                .help("Run on the users' platform; FILE must be a settings file for it"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
        .after_help(
            "Exit codes: 0 stopped by a signal or settings valid, 1 failed while running, 2 wrong \
             usage or invalid settings.\n\nExample:\n  jayforkd --settings /etc/jayfork/k1.ini --check",
        )
}
