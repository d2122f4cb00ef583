//! Many service instances in one process.

mod instance;
mod instance_fleet;
mod reorder;
mod service;

use std::sync::Arc;

use clap::{ArgMatches, Command};
use jayfork::connection::wire::HostKind;

use crate::error::Result;
use crate::fleet::{HostGroup, LockedFleet, launch};
use crate::process::{get_number, get_text, number_arg, text_arg};
use instance::Limits;
use instance_fleet::{InstanceFleet, ServiceTime};
use reorder::ReorderBuffer;
use service::InstanceService;

pub fn command() -> Command {
    Command::new("instances")
        .about("Serves many service instances")
        .arg(text_arg(
            "data-centre",
            "dc",
            "Data centre of all instances",
        ))
        .arg(text_arg(
            "service",
            "service",
            "Service that all instances run",
        ))
        .arg(text_arg(
            "prefix",
            "",
            "Prefix of the names; `<data centre>-<service>-` if empty",
        ))
        .arg(number_arg("count", "1", "Number of instances"))
        .arg(number_arg("rack-size", "8", "Instances per rack"))
        .arg(number_arg(
            "slots",
            "8",
            "Requests that an instance runs at the same time",
        ))
        .arg(number_arg(
            "connections",
            "64",
            "Connections that an instance keeps open",
        ))
        .arg(text_arg(
            "on-workers",
            "",
            "Prefix of the names of the workers on which the instances run; on no workers if empty",
        ))
        .arg(number_arg(
            "service-ms",
            "20",
            "Mean time to run a request, in milliseconds",
        ))
        .arg(number_arg(
            "spread-percent",
            "0",
            "Maximum deviation of the run time from its mean, in percent",
        ))
        .arg(number_arg("seed", "1", "Seed of the run times"))
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
        worker_prefix: Some(get_text(matches, "on-workers"))
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
    let service_time = ServiceTime {
        mean: get_number(matches, "service-ms"),
        spread: get_number(matches, "spread-percent").min(100),
        seed: get_number(matches, "seed"),
    };
    let instances = InstanceFleet::new(&group.names, limits, service_time);
    let fleet = Arc::new(LockedFleet::new(instances));
    let reorder_buffer = Arc::new(ReorderBuffer::default());
    launch(matches, &group, &fleet, |instance, fleet| InstanceService {
        instance,
        fleet,
        reorder_buffer: reorder_buffer.clone(),
    })
}
