//! `jayfork evacuations`.

use std::collections::BTreeMap;

use clap::ArgMatches;
use serde::Serialize;

use crate::process::table::{Cell, Table};
use crate::process::telemetry::{EVACUATED, EVACUATING_RUNS, TASKS_AWAITING_EVACUATED};

use super::client::Reply;
use super::error::Result;
use super::output::Output;
use super::run::new_client;

/// The evacuations that the owner of the shard knows.
#[derive(Debug, Default, Serialize)]
struct Evacuations {
    /// Number of runs that are left in each evacuated data centre.
    runs: BTreeMap<String, u64>,
    /// Waiting tasks that can start, or have their data, in these data centres only.
    awaiting: u64,
}

pub(super) fn show(arguments: &ArgMatches, output: Output) -> Result<()> {
    let (answers, errors) = new_client(arguments)?.read_all("/metrics", |reply| Ok(read(reply)))?;
    let known = answers.into_iter().find(|it| !it.runs.is_empty());
    let evacuations = known.unwrap_or_default();
    output.show(&evacuations, |colour| render(&evacuations, colour));
    for error in errors {
        output.write_message(&error.to_string());
    }
    Ok(())
}

fn render(evacuations: &Evacuations, colour: bool) -> String {
    if evacuations.runs.is_empty() {
        return "no data centre is evacuated, as far as these hosts know\n".to_owned();
    }
    let mut table = Table::new(&["DATA CENTRE", "RUNS LEFT"]);
    for (name, runs) in &evacuations.runs {
        table.push(vec![Cell::text(name), Cell::text(runs.to_string())]);
    }
    let awaiting = evacuations.awaiting;
    format!(
        "{}waiting for them: {awaiting} tasks\n",
        table.render(colour)
    )
}

/// Reads the metrics of one host.
fn read(reply: &Reply) -> Evacuations {
    let text = String::from_utf8_lossy(&reply.body);
    let evacuated = gauges(&text, EVACUATED).filter(|(_, value)| *value > 0);
    let names: Vec<&str> = evacuated.map(|(name, _)| name).collect();
    let runs = gauges(&text, EVACUATING_RUNS).filter(|(name, _)| names.contains(name));
    let awaiting = gauges(&text, TASKS_AWAITING_EVACUATED).next();
    Evacuations {
        runs: runs.map(|(name, runs)| (name.to_owned(), runs)).collect(),
        awaiting: awaiting.map_or(0, |(_, value)| value),
    }
}

/// Values of a gauge by data centre; the name is empty if the gauge has no label.
fn gauges<'a>(text: &'a str, metric: &'a str) -> impl Iterator<Item = (&'a str, u64)> {
    text.lines().filter_map(move |line| {
        let (series, value) = line.strip_prefix(metric)?.rsplit_once(' ')?;
        let name = match series {
            "" => "",
            _ => {
                let label = series.strip_prefix("{data_centre=\"")?;
                label.strip_suffix("\"}")?
            }
        };
        Some((name, value.parse::<f64>().ok()? as u64))
    })
}
