//! `jayfork configuration`.

use clap::ArgMatches;
use serde::Serialize;

use crate::platform::decode_config;
use crate::version::{Difference, Finding, QueueTable, Severity};

use super::error::{Error, Result};
use super::output::Output;
use super::run::{path_argument, read_input};

#[derive(Debug, Serialize)]
struct Report {
    version: u64,
    errors: Vec<Entry>,
    warnings: Vec<Entry>,
    /// `None` without a version to compare with.
    differences: Option<Vec<Change>>,
}

#[derive(Debug, Serialize)]
struct Entry {
    entry: String,
    reason: String,
}

#[derive(Debug, Serialize)]
struct Change {
    entry: String,
    /// `added`, `removed` or `changed`.
    change: &'static str,
    field: Option<&'static str>,
    before: Option<String>,
    now: Option<String>,
}

/// Checks a configuration before it is sent, and compares it with the version in force.
pub(super) fn check(arguments: &ArgMatches, output: Output) -> Result<()> {
    let table = read(arguments, "file")?;
    let current = match arguments.contains_id("against") {
        true => Some(read(arguments, "against")?),
        false => None,
    };
    let (errors, warnings): (Vec<Finding>, Vec<Finding>) = table
        .check()
        .into_iter()
        .partition(|finding| finding.severity == Severity::Error);
    let differences = current.map(|current| table.differences(&current));
    let count = errors.len();
    let report = Report {
        version: table.version,
        errors: errors.into_iter().map(Entry::from).collect(),
        warnings: warnings.into_iter().map(Entry::from).collect(),
        differences: differences.map(|all| all.into_iter().map(Change::from).collect()),
    };
    output.show(&report, |_| render(&report));
    match count {
        0 => Ok(()),
        _ => Err(Error::Configuration {
            path: path_argument(arguments, "file").to_owned(),
            reason: format!("{count} errors"),
        }),
    }
}

/// Reads a file as hosts read the operator's record.
fn read(arguments: &ArgMatches, id: &str) -> Result<QueueTable> {
    let path = path_argument(arguments, id);
    let bytes = read_input(path)?;
    decode_config(&bytes).map_err(|error| Error::Configuration {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

fn render(report: &Report) -> String {
    let line = |kind: &str, found: &Entry| format!("{kind}: {}: {}\n", found.entry, found.reason);
    let errors = report.errors.iter().map(|found| line("error", found));
    let warnings = report.warnings.iter().map(|found| line("warning", found));
    let changes = report.differences.iter().flatten().map(|change| {
        match (change.field, &change.before, &change.now) {
            (Some(field), Some(before), Some(now)) => {
                format!(
                    "{}: {}: {field} {before} -> {now}\n",
                    change.change, change.entry
                )
            }
            _ => format!("{}: {}\n", change.change, change.entry),
        }
    });
    let findings: String = errors.chain(warnings).chain(changes).collect();
    let (errors, warnings) = (report.errors.len(), report.warnings.len());
    format!(
        "{findings}version {}: {errors} errors, {warnings} warnings\n",
        report.version
    )
}

impl From<Finding> for Entry {
    fn from(finding: Finding) -> Self {
        Entry {
            entry: finding.entry,
            reason: finding.reason,
        }
    }
}

impl From<Difference> for Change {
    fn from(difference: Difference) -> Self {
        let whole = |entry, change| Change {
            entry,
            change,
            field: None,
            before: None,
            now: None,
        };
        match difference {
            Difference::Added(entry) => whole(entry, "added"),
            Difference::Removed(entry) => whole(entry, "removed"),
            Difference::Changed(entry, field, before, now) => Change {
                entry,
                change: "changed",
                field: Some(field),
                before: Some(before),
                now: Some(now),
            },
        }
    }
}
