//! The list of hosts, whose changes become visible with a delay.

mod list;
mod service;

use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};

use crate::error::Result;
use crate::net::NetworkFaults;
use crate::process::{get_number, number_arg, serve_with_control};
use list::DelayedList;
use service::HostsService;

pub fn command() -> Command {
    Command::new("hosts")
        .about("Serves the list of hosts")
        .arg(
            Arg::new("file")
                .long("file")
                .help("JSON file with the initial list; without it the list is empty"),
        )
        .arg(number_arg(
            "lag-ms",
            "0",
            "Time until a change becomes visible",
        ))
}

pub fn run(matches: &ArgMatches) -> Result<()> {
    let mut list = DelayedList::new(Duration::from_millis(get_number(matches, "lag-ms")));
    if let Some(file) = matches.get_one::<String>("file") {
        list.replace(serde_json::from_slice(&std::fs::read(file)?)?);
    }
    let faults = Arc::new(NetworkFaults::new("/hosts"));
    let service = HostsService::new(list, faults.clone());
    serve_with_control(matches, "hosts", faults, service)
}
