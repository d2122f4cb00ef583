//! `jayfork status`.

use clap::ArgMatches;

use crate::base::{Name, Size};
use crate::connection::wire::{EntryState, HostState, Status};
use crate::process::table::{Cell, Table};

use super::client::Call;
use super::error::Result;
use super::output::Output;
use super::run::client;

pub(super) fn status(arguments: &ArgMatches, output: Output) -> Result<()> {
    let status: Status = client(arguments)?.call(&Call::get("/v1/status"))?.json()?;
    output.show(&status, |colour| {
        [
            summary(&status),
            entries(&status, colour),
            workers(&status, colour),
            instances(&status, colour),
        ]
        .join("\n")
    });
    Ok(())
}

fn summary(status: &Status) -> String {
    let tasks = &status.tasks;
    format!(
        "{} in {} ({}), version {}, incarnation {}\n\
         tasks: {} pending, {} claimed, {} succeeded, {} failed, {} cancelled, {} unknown\n\
         contracts: {} customers, offset {}, confirmed {} ago\n",
        status.host,
        status.data_centre,
        status.region,
        status.version,
        status.incarnation,
        tasks.pending,
        tasks.claimed,
        tasks.succeeded,
        tasks.failed,
        tasks.cancelled,
        tasks.unknown,
        status.contracts.customers,
        status.contracts.offset.0,
        milliseconds(status.contracts.age),
    )
}

fn entries(status: &Status, colour: bool) -> String {
    let mut table = Table::new(&["ENTRY HOST", "DATA CENTRE", "STATE", "LOG LAG"]);
    for entry in &status.entries {
        let state = match entry.state {
            EntryState::Live => "live",
            EntryState::Dead => "dead",
            EntryState::Draining => "draining",
        };
        table.push(vec![
            Cell::text(&entry.name),
            Cell::text(&entry.data_centre),
            Cell::alert(state, entry.state == EntryState::Dead),
            Cell::text(milliseconds(entry.log_lag)),
        ]);
    }
    table.render(colour)
}

fn workers(status: &Status, colour: bool) -> String {
    let mut table = Table::new(&[
        "WORKER",
        "RACK",
        "STATE",
        "HOLDER",
        "COMMITTED",
        "CAPACITY",
        "TASKS",
    ]);
    for worker in &status.workers {
        table.push(vec![
            Cell::text(&worker.name),
            Cell::text(optional(&worker.rack)),
            backend(worker.state),
            holder(&worker.holder),
            Cell::text(size(worker.committed)),
            Cell::text(size(worker.capacity)),
            Cell::text(worker.tasks.to_string()),
        ]);
    }
    table.render(colour)
}

fn instances(status: &Status, colour: bool) -> String {
    let number = |n: Option<u32>| n.map_or("-".to_owned(), |n| n.to_string());
    let mut table = Table::new(&["INSTANCE", "SERVICE", "STATE", "HOLDER", "USED", "SLOTS"]);
    for instance in &status.instances {
        table.push(vec![
            Cell::text(&instance.name),
            Cell::text(optional(&instance.service)),
            backend(instance.state),
            holder(&instance.holder),
            Cell::text(number(instance.used)),
            Cell::text(number(instance.slots)),
        ]);
    }
    table.render(colour)
}

fn backend(state: HostState) -> Cell {
    match state {
        HostState::Live => Cell::text("live"),
        HostState::Leaving => Cell::text("leaving"),
    }
}

fn holder(holder: &Option<Name>) -> Cell {
    Cell::alert(optional(holder), holder.is_none())
}

fn optional(name: &Option<Name>) -> &str {
    name.as_deref().unwrap_or("-")
}

fn milliseconds(span: Option<u64>) -> String {
    span.map_or("-".to_owned(), |span| format!("{span} ms"))
}

fn size(size: Option<Size>) -> String {
    size.map_or("-".to_owned(), |size| {
        format!(
            "{} mcores {} MiB {} acc",
            size.processors, size.memory, size.accelerators
        )
    })
}
