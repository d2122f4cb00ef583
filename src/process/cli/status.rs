//! `jayfork status`.

use clap::ArgMatches;

use crate::base::{Name, Size};
use crate::connection::wire::{EntryState, HostState, Status};
use crate::process::table::{Cell, Table};

use super::client::Call;
use super::error::Result;
use super::output::Output;
use super::run::new_client;

pub(super) fn status(arguments: &ArgMatches, output: Output) -> Result<()> {
    let status: Status = new_client(arguments)?
        .call(&Call::get("/v1/status"))?
        .json()?;
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
        format_millis(status.contracts.age),
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
            Cell::text(format_millis(entry.log_lag)),
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
            Cell::text(name_or_dash(&worker.rack)),
            state_cell(worker.state),
            holder_cell(&worker.holder),
            Cell::text(format_size(worker.committed)),
            Cell::text(format_size(worker.capacity)),
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
            Cell::text(name_or_dash(&instance.service)),
            state_cell(instance.state),
            holder_cell(&instance.holder),
            Cell::text(number(instance.used)),
            Cell::text(number(instance.slots)),
        ]);
    }
    table.render(colour)
}

fn state_cell(state: HostState) -> Cell {
    match state {
        HostState::Live => Cell::text("live"),
        HostState::Leaving => Cell::text("leaving"),
    }
}

fn holder_cell(holder: &Option<Name>) -> Cell {
    Cell::alert(name_or_dash(holder), holder.is_none())
}

fn name_or_dash(name: &Option<Name>) -> &str {
    name.as_deref().unwrap_or("-")
}

fn format_millis(span: Option<u64>) -> String {
    span.map_or("-".to_owned(), |span| format!("{span} ms"))
}

fn format_size(size: Option<Size>) -> String {
    size.map_or("-".to_owned(), |size| {
        format!(
            "{} mcores {} MiB {} acc",
            size.processors, size.memory, size.accelerators
        )
    })
}
