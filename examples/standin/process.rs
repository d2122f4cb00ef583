//! Process setup shared by all subcommands: logging, arguments, the ready line and signals.

use std::io::{Read, Write};
use std::sync::Arc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing_subscriber::EnvFilter;

use crate::error::Result;
use crate::net::{Listener, NetworkFaults, Service};

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
                .help("Port of the first listener; the others follow it; 0 takes free ports"),
        )
        .arg(
            Arg::new("until-eof")
                .long("until-eof")
                .action(ArgAction::SetTrue)
                .help("Also exit at the end of stdin, so that no process outlives its test"),
        )
}

/// Returns a `u64` argument with a default.
pub fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

/// Returns a text argument with a default.
pub fn text_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
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

/// Returns the port after `port`, or 0 (any free port) if `port` is 0.
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

/// Serves on one port with injected faults and on the next port without them, until a signal.
///
/// Control requests on the second port work while a fault closes the first one's connections.
pub fn serve_with_control<S: Service>(
    matches: &ArgMatches,
    kind: &str,
    faults: Arc<NetworkFaults>,
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
    listener.spawn(faults, service.clone());
    control.spawn(Arc::new(NetworkFaults::new("")), service);
    serve_until_signal(matches, &ready)
}

/// Prints the ready line, then blocks until SIGTERM or SIGINT.
///
/// With `--until-eof`, the end of stdin ends the process as well.
pub fn serve_until_signal(matches: &ArgMatches, ready: &serde_json::Value) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{ready}")?;
    stdout.flush()?;
    if matches.get_flag("until-eof") {
        std::thread::spawn(|| {
            let _ = std::io::stdin().read_to_end(&mut Vec::new());
            tracing::info!("exiting because stdin was closed");
            std::process::exit(0);
        });
    }
    let signal = signals.forever().next();
    tracing::info!(?signal, "exiting on a signal");
    Ok(())
}
