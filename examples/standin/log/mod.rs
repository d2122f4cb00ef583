//! The append-only log.

mod rate;
mod service;
mod store;
mod stream;

use std::sync::Arc;

use clap::{ArgMatches, Command};
use serde_json::json;

use crate::error::Result;
use crate::net::{Gate, Listener};
use crate::process::{get_number, get_port, number, serve_until_signal};
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
    let listener = Listener::bind(get_port(matches))?;
    let address = listener.address().to_string();
    listener.spawn(gate, Arc::new(service));
    serve_until_signal(
        matches,
        &json!({"kind": "log", "address": address, "control": address}),
    )
}
