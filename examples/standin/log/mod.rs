//! The append-only log.

mod rate;
mod service;
mod store;
mod stream;

use std::sync::Arc;

use clap::{ArgMatches, Command};

use crate::error::Result;
use crate::net::Gate;
use crate::process::{get_number, number, serve_with_control};
use service::LogService;
use store::LogStore;
use stream::Retention;

pub fn command() -> Command {
    Command::new("log")
        .about("Serves the append-only log")
        .arg(number(
            "retention-ms",
            "0",
            "Age at which a record expires; 0 keeps it",
        ))
        .arg(number(
            "retention-records",
            "0",
            "Records that a stream retains; 0 keeps all",
        ))
        .arg(number(
            "rate",
            "400",
            "Appends per second, over all streams; 0 is unlimited",
        ))
        .arg(number(
            "burst",
            "100",
            "Appends that may exceed the rate at once",
        ))
}

pub fn run(matches: &ArgMatches) -> Result<()> {
    let retention = Retention {
        age: get_number(matches, "retention-ms"),
        records: get_number(matches, "retention-records"),
    };
    let rate = rate::RateLimit::new(get_number(matches, "rate"), get_number(matches, "burst"));
    let gate = Arc::new(Gate::new("/streams"));
    let service = LogService::new(LogStore::new(retention, rate), gate.clone());
    serve_with_control(matches, "log", gate, service)
}
