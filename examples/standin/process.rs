//! What every subcommand does as a process: logging, common arguments, the ready line, signals.

use std::io::{Read, Write};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing_subscriber::EnvFilter;

use crate::error::Result;

pub fn init_logging() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}

pub fn with_common_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("port")
                .long("port")
                .value_parser(value_parser!(u16))
                .default_value("0")
                .help("Port of the first listener; 0 picks free ports"),
        )
        .arg(
            Arg::new("until-eof")
                .long("until-eof")
                .action(ArgAction::SetTrue)
                .help("Also exit when stdin is closed, so that no process outlives its test"),
        )
}

/// A `u64` argument with a default.
pub fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

/// A text argument with a default.
pub fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

pub fn get_number(matches: &ArgMatches, name: &str) -> u64 {
    *matches
        .get_one(name)
        .expect("every number argument has a default")
}

pub fn get_text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches
        .get_one::<String>(name)
        .expect("every text argument has a default")
}

pub fn get_port(matches: &ArgMatches) -> u16 {
    *matches
        .get_one("port")
        .expect("the port argument has a default")
}

/// Prints the ready line, then blocks until SIGTERM, SIGINT or, if asked for, the end of stdin.
pub fn serve_until_signal(matches: &ArgMatches, ready: &serde_json::Value) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{ready}")?;
    stdout.flush()?;
    if matches.get_flag("until-eof") {
        std::thread::spawn(|| {
            let _ = std::io::stdin().read_to_end(&mut Vec::new());
            tracing::info!("stdin closed");
            std::process::exit(0);
        });
    }
    let signal = signals.forever().next();
    tracing::info!(?signal, "exiting");
    Ok(())
}
