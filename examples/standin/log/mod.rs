//! The append-only log.

mod rate;
mod service;
mod store;
mod stream;

use std::sync::Arc;

use clap::{ArgMatches, Command};

use crate::error::Result;
use crate::net::NetworkFaults;
use crate::process::{get_number, number_arg, serve_with_control};
use service::LogService;
use store::LogStore;
use stream::Retention;

pub fn command() -> Command {
    Command::new("log")
        .about("Serves the append-only log")
        .arg(number_arg(
            "retention-ms",
            "0",
            "Age at which records expire, in milliseconds; 0 keeps them",
        ))
        .arg(number_arg(
            "retention-records",
            "0",
            "Maximum number of records in a stream; 0 keeps all",
        ))
        .arg(number_arg(
            "rate",
            "400",
            "Appends per second to all streams together; 0 is unlimited",
        ))
        .arg(number_arg(
            "burst",
            "100",
            "Capacity of the token bucket that limits the rate, in appends",
        ))
}

pub fn run(matches: &ArgMatches) -> Result<()> {
    let retention = Retention {
        age: get_number(matches, "retention-ms"),
        records: get_number(matches, "retention-records"),
    };
    let rate = rate::RateLimit::new(get_number(matches, "rate"), get_number(matches, "burst"));
    let faults = Arc::new(NetworkFaults::new("/streams"));
    let service = LogService::new(LogStore::new(retention, rate), faults.clone());
    serve_with_control(matches, "log", faults, service)
}
