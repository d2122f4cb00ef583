//! `jayfork contract`.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use http::Method;
use serde_json::json;

use crate::base::Name;
use crate::connection::wire::{ContractAnswer, ContractHistory, ContractList, Published};
use crate::process::settings::parse_name;
use crate::process::table::{Cell, Table};
use crate::version::Contract;

use super::client::{Call, Effect};
use super::error::{Error, Result};
use super::output::Output;
use super::run::{new_client, path_argument, read_input};

pub(super) fn check(arguments: &ArgMatches, output: Output) -> Result<()> {
    let paths: Vec<&PathBuf> = arguments
        .get_many("file")
        .expect("clap requires a file")
        .collect();
    let total = paths.len();
    let mut valid = Vec::new();
    let mut faults = Vec::new();
    for path in paths {
        match read_contract(path) {
            Ok((_, contract)) => valid.push((path, contract)),
            Err(error) => faults.push(error),
        }
    }
    let answer: Vec<_> = valid
        .iter()
        .map(|(path, contract)| json!({ "file": path, "customer": contract.customer, "valid": true }))
        .collect();
    output.show(&answer, |_| {
        valid
            .iter()
            .map(|(path, contract)| {
                format!(
                    "{}: valid contract of {}\n",
                    path.display(),
                    contract.customer
                )
            })
            .collect()
    });
    match faults.len() {
        0 => Ok(()),
        1 if total == 1 => Err(faults.remove(0)),
        _ => Err(Error::Contracts { faults, total }),
    }
}

pub(super) fn publish(arguments: &ArgMatches, output: Output) -> Result<()> {
    propose(arguments, 0, output)
}

pub(super) fn amend(arguments: &ArgMatches, output: Output) -> Result<()> {
    let base: &u64 = arguments.get_one("base").expect("clap requires a base");
    propose(arguments, *base, output)
}

pub(super) fn list(arguments: &ArgMatches, output: Output) -> Result<()> {
    let list: ContractList = new_client(arguments)?
        .call(&Call::get("/v1/contracts"))?
        .json()?;
    output.show(&list, |colour| {
        let mut table = Table::new(&["CUSTOMER", "VERSION", "OFFSET", "DATA CENTRES", "CLASSES"]);
        for contract in &list.contracts {
            table.push(vec![
                Cell::text(&contract.customer),
                Cell::text(contract.version.to_string()),
                Cell::text(contract.offset.0.to_string()),
                Cell::text(contract.data_centres.join(" ")),
                Cell::text(contract.classes.join(" ")),
            ]);
        }
        table.render(colour)
    });
    Ok(())
}

/// Writes a contract. Without `--json`, standard output gets the contract only, so that it can be
/// edited and passed to `jayfork contract amend`.
pub(super) fn show(arguments: &ArgMatches, output: Output) -> Result<()> {
    let customer = customer_argument(arguments);
    let answer: ContractAnswer = new_client(arguments)?
        .call(&Call::get(format!("/v1/contracts/{customer}")))?
        .json()?;
    output.show(&answer, |_| {
        output.write_message(&format!(
            "{customer} has version {0}; amend it with --base {0}",
            answer.version
        ));
        serde_json::to_string_pretty(&answer.contract).expect("a contract has string keys") + "\n"
    });
    Ok(())
}

pub(super) fn history(arguments: &ArgMatches, output: Output) -> Result<()> {
    let customer = customer_argument(arguments);
    let history: ContractHistory = new_client(arguments)?
        .call(&Call::get(format!("/v1/contracts/{customer}/history")))?
        .json()?;
    output.show(&history, |colour| {
        let mut table = Table::new(&["VERSION", "OFFSET", "QUOTA", "CLASSES"]);
        for answer in &history.versions {
            let quota = answer.contract.quota;
            let classes: Vec<&str> = answer.contract.classes.iter().map(|c| &*c.name).collect();
            table.push(vec![
                Cell::text(answer.version.to_string()),
                Cell::text(answer.offset.0.to_string()),
                Cell::text(format!(
                    "{} mcores {} MiB {} acc",
                    quota.processors, quota.memory, quota.accelerators
                )),
                Cell::text(classes.join(" ")),
            ]);
        }
        table.render(colour)
    });
    Ok(())
}

/// Proposes a version of a contract that replaces version `base`.
fn propose(arguments: &ArgMatches, base: u64, output: Output) -> Result<()> {
    let (bytes, contract) = read_contract(path_argument(arguments, "file"))?;
    let customer = contract.customer;
    let call = Call {
        method: Method::PUT,
        path: format!("/v1/contracts/{customer}?base={base}"),
        request_id: None,
        body: Some(bytes),
        // If the first proposal was accepted, a second one with the same base is refused, which
        // would hide that.
        effect: Effect::NonIdempotent,
        is_work: false,
    };
    let published: Published = new_client(arguments)?
        .call(&call)
        .and_then(|reply| reply.json())
        .map_err(|error| {
            error.with_hint(|| {
                format!("jayfork contract history {customer} shows whether it was accepted")
            })
        })?;
    output.show(&published, |_| {
        format!(
            "{} version {} is in force\n",
            published.customer, published.version
        )
    });
    Ok(())
}

/// Reads and checks a contract file.
fn read_contract(path: &Path) -> Result<(Vec<u8>, Contract)> {
    let bytes = read_input(path)?;
    let invalid = |reason: String| Error::Contract {
        path: path.to_owned(),
        reason,
    };
    let contract = Contract::parse(&bytes).map_err(|error| invalid(error.to_string()))?;
    if parse_name(&contract.customer).is_none() {
        return Err(invalid(format!(
            "customer: {:?} is not a name of 1 to 63 letters, digits, '.', '_' or '-'",
            contract.customer
        )));
    }
    Ok((bytes, contract))
}

fn customer_argument(arguments: &ArgMatches) -> &Name {
    arguments
        .get_one("customer")
        .expect("clap requires a customer")
}
