//! Service instances, many in one process.

mod instance;
mod instance_fleet;
mod reorder;
mod service;

use std::sync::Arc;

use clap::{ArgMatches, Command};
use jayfork::connection::wire::HostKind;

use crate::error::Result;
use crate::fleet::{Fleet, HostGroup, launch};
use crate::process::{get_number, get_text, number, text};
use instance::Limits;
use instance_fleet::{InstanceFleet, ServiceTime};
use reorder::Reorder;
use service::InstanceService;

pub fn command() -> Command {
    Command::new("instances")
        .about("Serves many service instances")
        .arg(text("data-centre", "dc", "Data centre of all instances"))
        .arg(text("service", "service", "Service that all instances run"))
        .arg(text(
            "prefix",
            "",
            "Start of the names; `<data centre>-<service>-` if empty",
        ))
        .arg(number("count", "1", "Instances"))
        .arg(number("rack-size", "8", "Instances to a rack"))
        .arg(number(
            "slots",
            "8",
            "Requests that an instance runs at once",
        ))
        .arg(number(
            "connections",
            "64",
            "Connections that an instance keeps open",
        ))
        .arg(text(
            "on-workers",
            "",
            "Start of the names of the workers on which the instances run; none if empty",
        ))
        .arg(number("service-ms", "20", "Mean time to run a request"))
        .arg(number(
            "spread-percent",
            "0",
            "The time varies by up to this percentage around its mean",
        ))
        .arg(number("seed", "1", "Seed of the spread"))
}

pub fn run(matches: &ArgMatches) -> Result<()> {
    let data_centre = get_text(matches, "data-centre");
    let service = get_text(matches, "service");
    let prefix = match get_text(matches, "prefix") {
        "" => format!("{data_centre}-{service}-"),
        prefix => prefix.to_owned(),
    };
    let group = HostGroup {
        kind: HostKind::Instance,
        data_centre: data_centre.into(),
        service: Some(service.into()),
        workers: Some(get_text(matches, "on-workers"))
            .filter(|prefix| !prefix.is_empty())
            .map(Into::into),
        names: (0..get_number(matches, "count"))
            .map(|index| format!("{prefix}{index}").into())
            .collect(),
        rack_size: get_number(matches, "rack-size") as usize,
        lose_path: "/requests",
    };
    let limits = Limits {
        slots: get_number(matches, "slots") as u32,
        connections: get_number(matches, "connections") as u32,
    };
    let time = ServiceTime {
        mean: get_number(matches, "service-ms"),
        spread: get_number(matches, "spread-percent").min(100),
        seed: get_number(matches, "seed"),
    };
    let instances = InstanceFleet::new(&group.names, limits, time);
    let fleet = Arc::new(Fleet::new(instances));
    let reorder = Arc::new(Reorder::default());
    launch(matches, &group, &fleet, |instance, fleet| InstanceService {
        instance,
        fleet,
        reorder: reorder.clone(),
    })
}
