//! Settings of an entry host that runs with `--on-platform`.

use std::fs;
use std::sync::atomic::{AtomicU32, Ordering};

use jayfork::base::Millis;
use jayfork::process::EntrySettings;
use yare::parameterized;

const VALID: &str = "[host]\nname = edge-1\ndata_centre = cluj-a\nregion = transilvania\n\
    processor = 0.25\n[listen]\nfront = 10.1.0.13:8161\nready = 10.1.0.13:8167\n\
    peer = 10.1.0.13:8166\nmetrics = 10.1.0.13:7720\n[peers]\n\
    seeds = 10.1.0.13:8166,10.2.0.30:8166\n[store]\naddress = 10.200.1.7:8169\n[workers]\n\
    lease = 6000\nstop_time = 400\nevacuation = 5000\n[jobs]\nstatus_keep = 120 s\noutage_retry = adaptive\n\
    [limits]\nmemory = 160 MiB\ndescriptors = 4100\n[log]\nlevel = info\nformat = json\n";

/// Number of the next temporary file.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

fn open(text: &str) -> Result<EntrySettings, String> {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("jayfork-entry-{}-{number}.ini", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).expect("the temporary directory is writable");
    let settings = EntrySettings::open(&path).map_err(|error| error.to_string());
    fs::remove_file(&path).expect("the file can be removed");
    settings
}

/// Guards against a value that is read from the wrong key or in the wrong unit.
#[test]
fn every_section_is_read() {
    let settings = open(VALID).expect("the settings are valid");
    assert_eq!(&*settings.name, "edge-1");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.lease, Millis(6_000));
    assert_eq!(settings.stop_time, Millis(400));
    assert_eq!(settings.evacuation, Some(Millis(5_000)));
    assert_eq!(settings.status_keep, Millis(120_000));
    assert_eq!((settings.memory, settings.descriptors), (160 << 20, 4_100));
}

/// Guards against a host that starts with an invalid file, and against an error that does not name
/// the invalid key or section.
#[parameterized(
    unknown_key = { "processor = 0.25", "procesor = 0.25", "procesor" },
    missing_key = { "front = 10.1.0.13:8161\n", "", "front" },
    host_name_for_an_address = { "10.200.1.7:8169", "store:8169", "address" },
    zero_evacuation = { "evacuation = 5000", "evacuation = 0", "evacuation" },
    little_memory = { "160 MiB", "8 MiB", "memory" },
    memory_without_a_number = { "160 MiB", "much", "memory" },
    few_descriptors = { "descriptors = 4100", "descriptors = 16", "descriptors" },
    misspelt_limit = { "descriptors = 4100", "descriptor = 4100", "did you mean" },
    unknown_retry = { "= adaptive", "= clever", "outage_retry" },
    zero_lease = { "lease = 6000", "lease = 0", "lease" },
    unknown_unit = { "120 s", "120 days", "status_keep" },
    bad_seed = { ",10.2.0.30:8166", ",10.2.0.30", "seeds" },
    unknown_section = { "[store]", "[sore]", "sore" },
)]
fn an_error_names_the_invalid_key(from: &str, to: &str, key: &str) {
    assert!(VALID.contains(from));
    let error = open(&VALID.replace(from, to)).expect_err("the settings are invalid");
    assert!(error.contains(key), "{error}");
}

/// Guards against a deployment without a bound on evacuations that doesn't start: its template leaves the value empty.
#[test]
fn a_bound_on_evacuations_may_be_left_out() {
    let text = VALID.replace("evacuation = 5000", "evacuation = ");
    assert_eq!(open(&text).expect("valid settings").evacuation, None);
}

/// Guards against a deployment template that lacks a section or key, or has an unknown one.
#[test]
fn the_deployment_template_has_all_keys() {
    let template = include_str!("../deploy/entry.ini");
    let keys = |text: &str| -> Vec<String> {
        let lines = text.lines().map(str::trim);
        let non_empty = lines.filter(|line| !line.is_empty());
        non_empty
            .map(|line| line.split('=').next().unwrap_or_default().trim().to_owned())
            .collect()
    };
    assert_eq!(keys(template), keys(VALID));
}
