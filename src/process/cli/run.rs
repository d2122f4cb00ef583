//! Entry point of the command-line client.

use std::env;
use std::ffi::OsString;
use std::fs;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use serde_json::json;

use crate::process::settings::Settings;

use super::client::Client;
use super::command::command;
use super::error::{Error, Result};
use super::output::Output;
use super::{configuration, contract, evacuations, job, report, request, status};

/// Runs one command and returns its exit code; `jayfork --help` lists the codes.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let _ = error.print();
            return ExitCode::from(if error.use_stderr() { 2 } else { 0 });
        }
    };
    let output = Output::new(matches.get_flag("json"));
    match dispatch(&matches, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output.write_error(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

fn dispatch(matches: &ArgMatches, output: Output) -> Result<()> {
    let (command, arguments) = matches.subcommand().expect("clap requires a subcommand");
    match (command, arguments.subcommand()) {
        ("configuration", Some(("check", arguments))) => configuration::check(arguments, output),
        ("contract", Some(("check", arguments))) => contract::check(arguments, output),
        ("contract", Some(("publish", arguments))) => contract::publish(arguments, output),
        ("contract", Some(("amend", arguments))) => contract::amend(arguments, output),
        ("contract", Some(("list", arguments))) => contract::list(arguments, output),
        ("contract", Some(("show", arguments))) => contract::show(arguments, output),
        ("contract", Some(("history", arguments))) => contract::history(arguments, output),
        ("job", Some(("submit", arguments))) => job::submit(arguments, output),
        ("job", Some(("status", arguments))) => job::status(arguments, output),
        ("job", Some(("cancel", arguments))) => job::cancel(arguments, output),
        ("job", Some(("list", arguments))) => job::list(arguments, output),
        ("request", Some(("send", arguments))) => request::send(arguments, output),
        ("evacuations", _) => evacuations::show(arguments, output),
        ("status", _) => status::status(arguments, output),
        ("report", Some(("burn", arguments))) => report::burn(arguments, output),
        ("settings", Some(("check", arguments))) => check_settings(arguments, output),
        ("completion", _) => completion(arguments, output),
        (command, _) => unreachable!("clap accepts no other command than those above: {command}"),
    }
}

fn check_settings(arguments: &ArgMatches, output: Output) -> Result<()> {
    let path = path_argument(arguments, "file");
    let settings = Settings::open(path)?;
    let host = &settings.host.name;
    let answer = json!({ "host": host, "valid": true });
    output.show(&answer, |_| {
        format!("{}: valid settings of {host}\n", path.display())
    });
    Ok(())
}

fn completion(arguments: &ArgMatches, output: Output) -> Result<()> {
    let shell: &Shell = arguments.get_one("shell").expect("clap requires a shell");
    let mut script = Vec::new();
    clap_complete::generate(*shell, &mut command(), "jayfork", &mut script);
    output.write_bytes(&script);
    Ok(())
}

/// Returns a client of the servers that are given in the arguments or in the environment.
pub(super) fn new_client(arguments: &ArgMatches) -> Result<Client> {
    let servers = match arguments.get_many::<SocketAddr>("server") {
        Some(servers) => servers.copied().collect(),
        None => servers_from_environment()?,
    };
    if servers.is_empty() {
        return Err(Error::NoServer);
    }
    let seconds: &u64 = arguments.get_one("timeout").expect("timeout has a default");
    Ok(Client::new(servers, Duration::from_secs(*seconds)))
}

fn servers_from_environment() -> Result<Vec<SocketAddr>> {
    let list = env::var("JAYFORK_SERVERS").unwrap_or_default();
    list.split(',')
        .map(str::trim)
        .filter(|server| !server.is_empty())
        .map(|server| {
            server
                .parse()
                .map_err(|_| Error::Servers(server.to_owned()))
        })
        .collect()
}

pub(super) fn path_argument<'a>(arguments: &'a ArgMatches, id: &str) -> &'a Path {
    let path: &PathBuf = arguments.get_one(id).expect("clap requires the path");
    path
}

/// Reads a file, or standard input if the path is `-`.
pub(super) fn read_input(path: &Path) -> Result<Vec<u8>> {
    let bytes = if path == Path::new("-") {
        let mut bytes = Vec::new();
        io::stdin().read_to_end(&mut bytes).map(|_| bytes)
    } else {
        fs::read(path)
    };
    bytes.map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}
