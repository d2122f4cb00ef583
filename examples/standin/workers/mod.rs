//! Workers, many in one process.

mod model;
mod service;
mod task;
mod worker;
mod worker_fleet;

use std::sync::Arc;

use clap::{ArgMatches, Command};
use jayfork::base::{Millis, Size};
use jayfork::connection::wire::HostKind;

use crate::error::Result;
use crate::fleet::{Fleet, HostGroup, launch};
use crate::process::{get_number, get_text, number, text};
use model::Model;
use service::WorkerService;
use worker::Reporting;
use worker_fleet::WorkerFleet;

pub fn command() -> Command {
    Command::new("workers")
        .about("Serves many workers")
        .arg(text("data-centre", "dc", "Data centre of all workers"))
        .arg(text(
            "prefix",
            "",
            "Start of the names; `<data centre>-w` if empty",
        ))
        .arg(number("count", "1", "Workers"))
        .arg(number("rack-size", "8", "Workers to a rack"))
        .arg(number("processors", "16000", "Millicores of each worker"))
        .arg(number("memory", "61440", "MiB of each worker"))
        .arg(number("accelerators", "0", "Accelerators of each worker"))
        .arg(number(
            "report-lag-ms",
            "1000",
            "Least age of usage figures",
        ))
        .arg(number(
            "report-every-ms",
            "1000",
            "Time between measurements of usage",
        ))
        .arg(number(
            "remember-ms",
            "600000",
            "Time that an attempt is remembered after its end was acknowledged",
        ))
        .arg(number(
            "run-ttl-ms",
            "20000",
            "Run lease of a start before the first lease request sets it",
        ))
        .arg(number("seed", "1", "Seed of the task model"))
}

pub fn run(matches: &ArgMatches) -> Result<()> {
    let data_centre = get_text(matches, "data-centre");
    let prefix = match get_text(matches, "prefix") {
        "" => format!("{data_centre}-w"),
        prefix => prefix.to_owned(),
    };
    let group = HostGroup {
        kind: HostKind::Worker,
        data_centre: data_centre.into(),
        service: None,
        names: (0..get_number(matches, "count"))
            .map(|index| format!("{prefix}{index}").into())
            .collect(),
        workers: None,
        rack_size: get_number(matches, "rack-size") as usize,
        lose_path: "/tasks",
    };
    let capacity = Size::new(
        get_number(matches, "processors") as u32,
        get_number(matches, "memory") as u32,
        get_number(matches, "accelerators") as u32,
    );
    let reporting = Reporting {
        lag: Millis(get_number(matches, "report-lag-ms")),
        interval: Millis(get_number(matches, "report-every-ms").max(1)),
        remember: Millis(get_number(matches, "remember-ms")),
        run_ttl: Millis(get_number(matches, "run-ttl-ms")),
    };
    let model = Model::new(get_number(matches, "seed"));
    let workers = WorkerFleet::new(&group.names, capacity, reporting, model);
    let fleet = Arc::new(Fleet::new(workers));
    let ticker = fleet.clone();
    std::thread::spawn(move || ticker.run(|now, workers| workers.advance(now)));
    launch(matches, &group, &fleet, |worker, fleet| WorkerService {
        worker,
        fleet,
    })
}
