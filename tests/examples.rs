//! The example files of both user organisations.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use jayfork::process::Settings;
use jayfork::version::{Contract, Urgency};
use yare::parameterized;

fn files(organisation: &str, extension: &str) -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(organisation);
    let mut files: Vec<PathBuf> = fs::read_dir(directory)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|found| found == extension))
        .collect();
    files.sort();
    files
}

fn contracts(organisation: &str) -> Vec<Contract> {
    files(organisation, "json")
        .iter()
        .map(|path| Contract::parse(&fs::read(path).unwrap()).unwrap())
        .collect()
}

fn settings(organisation: &str) -> Vec<Settings> {
    files(organisation, "ini")
        .iter()
        .map(|path| Settings::open(path).unwrap_or_else(|error| panic!("{error}")))
        .collect()
}

/// Guards against an example that the programs refuse.
#[parameterized(
    vltava_contracts = { "vltava", "json", env!("CARGO_BIN_EXE_jayfork"), &["contract", "check"] },
    biometan_contracts = { "biometan", "json", env!("CARGO_BIN_EXE_jayfork"), &["contract", "check"] },
    vltava_settings = { "vltava", "ini", env!("CARGO_BIN_EXE_jayforkd"), &["--check", "--settings"] },
    biometan_settings = { "biometan", "ini", env!("CARGO_BIN_EXE_jayforkd"), &["--check", "--settings"] },
)]
fn programs_accept(organisation: &str, extension: &str, program: &str, arguments: &[&str]) {
    let paths = files(organisation, extension);
    assert_eq!(paths.len(), 3);
    for path in paths {
        let output = Command::new(program)
            .args(arguments)
            .arg(&path)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(0), "{path:?}: {output:?}");
    }
}

/// Guards against an example with a kind of work missing or declared as another kind.
#[parameterized(
    vltava = { "vltava", &[("index", Urgency::Background, false), ("merge", Urgency::Deferrable, true), ("proof", Urgency::Urgent, false)] },
    biometan = { "biometan", &[("check", Urgency::Urgent, false), ("dosing", Urgency::Watcher, false), ("tally", Urgency::Deferrable, true)] },
)]
fn contracts_cover_all_work(organisation: &str, expected: &[(&str, Urgency, bool)]) {
    let contracts = contracts(organisation);
    let mut classes: Vec<(&str, Urgency, bool)> = contracts
        .iter()
        .flat_map(|contract| &contract.classes)
        .map(|class| (&*class.name, class.urgency, class.at_most_once))
        .collect();
    classes.sort_by_key(|class| class.0);
    assert_eq!(classes, expected);
}

/// Guards against hosts that disagree on the list of entry hosts, and against a contract that names
/// a data centre without an entry host.
#[parameterized(vltava = { "vltava" }, biometan = { "biometan" })]
fn settings_agree(organisation: &str) {
    let settings = settings(organisation);
    let own: BTreeSet<_> = settings
        .iter()
        .map(|s| s.host.data_centre.clone())
        .collect();
    let listed: BTreeSet<_> = settings[0]
        .peers
        .iter()
        .map(|p| p.data_centre.clone())
        .collect();
    assert_eq!(own, listed);
    assert!(
        settings
            .iter()
            .all(|other| other.peers == settings[0].peers)
    );
    assert!(settings.iter().all(|host| host.local_peers().count() == 3));
    for contract in contracts(organisation) {
        let named: BTreeSet<_> = contract.data_centres.iter().cloned().collect();
        assert!(named.is_subset(&listed), "{named:?}");
    }
}
