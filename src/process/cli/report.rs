//! `jayfork report`.

use std::fs;
use std::path::PathBuf;

use clap::ArgMatches;

use crate::connection::wire::BurnReport;
use crate::process::burn;

use super::error::{Error, Result};
use super::output::Output;
use super::run::new_client;

/// Reports error budgets. The counts of all servers are added up, because each entry host counts
/// only the outcomes of its own answers.
pub(super) fn burn(arguments: &ArgMatches, output: Output) -> Result<()> {
    let (reports, errors) = new_client(arguments)?.call_all::<BurnReport>("/v1/burn")?;
    errors
        .iter()
        .for_each(|error| output.write_message(&format!("the report is partial: {error}")));
    let report = burn::merge(reports);
    let Some(path) = arguments.get_one::<PathBuf>("html") else {
        output.show(&report, |colour| burn::table(&report, colour));
        return Ok(());
    };
    fs::write(path, burn::html(&report)).map_err(|source| Error::Write {
        path: path.clone(),
        source,
    })
}
