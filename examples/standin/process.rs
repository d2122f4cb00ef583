//! What every subcommand does as a process: logging, common arguments, the ready line, signals.

use std::io::{Read, Write};
use std::sync::Arc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing_subscriber::EnvFilter;

use crate::error::Result;
use crate::net::{Gate, Listener, Service};

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

/// The port after `port`, or 0 if that picks free ports.
pub fn next_port(port: u16) -> u16 {
    match port {
        0 => 0,
        port => port + 1,
    }
}

pub fn get_port(matches: &ArgMatches) -> u16 {
    *matches
        .get_one("port")
        .expect("the port argument has a default")
}

/// Serves on the first port, and without faults on the next one, until a signal.
///
/// The second port keeps control calls working while the first one is crashed.
pub fn serve_with_control<S: Service>(
    matches: &ArgMatches,
    kind: &str,
    gate: Arc<Gate>,
    service: S,
) -> Result<()> {
    let port = get_port(matches);
    let listener = Listener::bind(port)?;
    let control = Listener::bind(next_port(port))?;
    let ready = json!({
        "kind": kind,
        "address": listener.address().to_string(),
        "control": control.address().to_string(),
    });
    let service = Arc::new(service);
    listener.spawn(gate, service.clone());
    control.spawn(Arc::new(Gate::new("")), service);
    serve_until_signal(matches, &ready)
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
