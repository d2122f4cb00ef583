//! The lagging list of hosts.

mod list;
mod service;

use std::sync::Arc;

use clap::{Arg, ArgMatches, Command};

use crate::error::Result;
use crate::net::Gate;
use crate::process::{get_number, number, serve_with_control};
use list::LaggingList;
use service::HostsService;

pub fn command() -> Command {
    Command::new("hosts")
        .about("Serves the list of hosts")
        .arg(
            Arg::new("file")
                .long("file")
                .help("JSON file with the first list; without it the list is empty"),
        )
        .arg(number("lag-ms", "0", "Time before a change shows"))
}

pub fn run(matches: &ArgMatches) -> Result<()> {
    let mut list = LaggingList::new(get_number(matches, "lag-ms"));
    if let Some(file) = matches.get_one::<String>("file") {
        list.put(serde_json::from_slice(&std::fs::read(file)?)?);
    }
    let gate = Arc::new(Gate::new("/hosts"));
    let service = HostsService::new(list, gate.clone());
    serve_with_control(matches, "hosts", gate, service)
}
