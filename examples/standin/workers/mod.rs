//! Many workers in one process.

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
use crate::fleet::{HostGroup, LockedFleet, launch};
use crate::process::{get_number, get_text, number_arg, text_arg};
use model::Model;
use service::WorkerService;
use worker::WorkerTiming;
use worker_fleet::WorkerFleet;

pub fn command() -> Command {
    Command::new("workers")
        .about("Serves many workers")
        .arg(text_arg("data-centre", "dc", "Data centre of all workers"))
        .arg(text_arg(
            "prefix",
            "",
            "Prefix of the names; `<data centre>-w` if empty",
        ))
        .arg(number_arg("count", "1", "Number of workers"))
        .arg(number_arg("rack-size", "8", "Workers per rack"))
        .arg(number_arg(
            "processors",
            "16000",
            "Processor capacity of each worker, in millicores",
        ))
        .arg(number_arg(
            "memory",
            "61440",
            "Memory of each worker, in MiB",
        ))
        .arg(number_arg(
            "accelerators",
            "0",
            "Number of accelerators of each worker",
        ))
        .arg(number_arg(
            "report-lag-ms",
            "1000",
            "Minimum age of reported usage, in milliseconds",
        ))
        .arg(number_arg(
            "report-every-ms",
            "1000",
            "Time between two measurements of usage, in milliseconds",
        ))
        .arg(number_arg(
            "remember-ms",
            "600000",
            "Time that a worker keeps an attempt after its end was acknowledged, in milliseconds",
        ))
        .arg(number_arg(
            "run-ttl-ms",
            "20000",
            "Run lease of tasks that start before a lease request sets its length, in milliseconds",
        ))
        .arg(number_arg("seed", "1", "Seed of the task model"))
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
        worker_prefix: None,
        rack_size: get_number(matches, "rack-size") as usize,
        lose_path: "/tasks",
    };
    let capacity = Size::new(
        get_number(matches, "processors") as u32,
        get_number(matches, "memory") as u32,
        get_number(matches, "accelerators") as u32,
    );
    let timing = WorkerTiming {
        report_lag: Millis(get_number(matches, "report-lag-ms")),
        report_interval: Millis(get_number(matches, "report-every-ms").max(1)),
        attempt_retention: Millis(get_number(matches, "remember-ms")),
        run_ttl: Millis(get_number(matches, "run-ttl-ms")),
    };
    let model = Model::new(get_number(matches, "seed"));
    let workers = WorkerFleet::new(&group.names, capacity, timing, model);
    let fleet = Arc::new(LockedFleet::new(workers));
    let ticker = fleet.clone();
    std::thread::spawn(move || ticker.run(|now, workers| workers.end_due_tasks(now)));
    launch(matches, &group, &fleet, |worker, fleet| WorkerService {
        worker,
        fleet,
    })
}
