//! Settings of an entry host on the platform.

use std::fs;
use std::sync::atomic::{AtomicU32, Ordering};

use jayfork::base::Millis;
use jayfork::process::EntrySettings;
use yare::parameterized;

const VALID: &str = "[host]\nname = edge-1\ndata_centre = cluj-a\nregion = transilvania\n\
    processor = 0.25\n[listen]\nfront = 10.1.0.13:8161\nready = 10.1.0.13:8167\n\
    peer = 10.1.0.13:8166\nmetrics = 10.1.0.13:7720\n[peers]\n\
    seeds = 10.1.0.13:8166,10.2.0.30:8166\n[store]\naddress = 10.200.1.7:8169\n[workers]\n\
    lease = 6000\nstop_time = 400\n[jobs]\nstatus_keep = 120 s\n[log]\nlevel = info\nformat = json\n";

static NUMBER: AtomicU32 = AtomicU32::new(0);

fn open(text: &str) -> Result<EntrySettings, String> {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("jayfork-entry-{}-{number}.ini", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).expect("a file");
    let settings = EntrySettings::open(&path).map_err(|error| error.to_string());
    fs::remove_file(&path).expect("the file goes");
    settings
}

#[test]
fn a_whole_file_is_read() {
    let settings = open(VALID).expect("settings");
    assert_eq!(&*settings.name, "edge-1");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.lease, Millis(6_000));
    assert_eq!(settings.stop_time, Millis(400));
    assert_eq!(settings.status_keep, Millis(120_000));
}

/// Guards against a start with a value that was not meant, and an error that does not name its key.
#[parameterized(
    unknown_key = { "processor = 0.25", "procesor = 0.25", "procesor" },
    missing_key = { "front = 10.1.0.13:8161\n", "", "front" },
    host_name_for_an_address = { "10.200.1.7:8169", "store:8169", "address" },
    lease_of_nothing = { "lease = 6000", "lease = 0", "lease" },
    unknown_unit = { "120 s", "120 days", "status_keep" },
    bad_seed = { ",10.2.0.30:8166", ",10.2.0.30", "seeds" },
    unknown_section = { "[store]", "[sore]", "sore" },
)]
fn a_fault_names_its_key(from: &str, to: &str, key: &str) {
    assert!(VALID.contains(from));
    let error = open(&VALID.replace(from, to)).expect_err("a fault");
    assert!(error.contains(key), "{error}");
}

/// Guards against a deploy template that lacks a section or names a key that does not exist.
#[test]
fn the_deploy_template_has_only_known_keys() {
    let template = include_str!("../deploy/entry.ini");
    let keys = |text: &str| -> Vec<String> {
        let lines = text.lines().map(str::trim);
        let named = lines.filter(|line| !line.is_empty());
        named
            .map(|line| line.split('=').next().unwrap_or_default().trim().to_owned())
            .collect()
    };
    assert_eq!(keys(template), keys(VALID));
}
