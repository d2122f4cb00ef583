//! Settings files: which are rejected with which message, and the defaults.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

use jayfork::base::Millis;
use jayfork::process::settings::{Error, Limits, LogFormat, Settings, Timing};
use yare::parameterized;

const VALID: &str = "\
[host]
name = k1
data_centre = praha-karlin
region = praha
incarnation = 7

[listen]
api = 127.0.0.1:7300
peer = 127.0.0.1:7400

[platform]
log = http://127.0.0.1:8100
hosts = http://127.0.0.1:8200/
retention = 7200

[peers]
k1 = praha-karlin, praha, 127.0.0.1:7400
h1 = praha-holesovice, praha, 127.0.0.2:7400
b1 = brno-zabovresky, brno, 127.0.0.3:7400

[limits]
threads = 32
body = 1 MiB

[timing]
lease_ttl = 3000
run_ttl = 20 s

[log]
level = jayfork=debug,warn
format = json
";

fn write_file(text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("settings-{}-{number}.ini", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the temporary directory is writable");
    path
}

/// Runs `jayforkd --check`.
fn check(path: &PathBuf) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jayforkd"))
        .arg("--settings")
        .arg(path)
        .arg("--check")
        .output()
        .expect("jayforkd starts")
}

/// `VALID` with `from` replaced by `to`.
fn edited(from: &str, to: &str) -> String {
    assert_eq!(VALID.matches(from).count(), 1, "{from:?} must occur once");
    VALID.replace(from, to)
}

fn fault_count(error: &Error) -> usize {
    match error {
        Error::Invalid { faults, .. } => faults.len(),
        Error::Read { .. } | Error::Syntax { .. } => 0,
    }
}

/// Guards against a host that starts with an invalid file, and against a message that does not say
/// what is wrong.
#[parameterized(
    unknown_section = { "[limits]", "[limit]", r#"unknown section [limit]; did you mean "limits"?"# },
    unrelated_section = { "[limits]\nthreads = 32\nbody = 1 MiB", "[zzzzzzzzzzzz]", "unknown section [zzzzzzzzzzzz]" },
    unknown_key = { "threads = 32", "treads = 32", r#"unknown key "treads" in [limits]; did you mean "threads"?"# },
    key_of_another_section = { "name = k1", "name = k1\nlease_ttl = 3 s", r#"unknown key "lease_ttl" in [host]"# },
    missing_name = { "name = k1\n", "", r#"missing key "name" in [host] (1 to 63 letters"# },
    missing_region = { "region = praha\n", "", r#"missing key "region" in [host]"# },
    missing_api = { "api = 127.0.0.1:7300\n", "", r#"missing key "api" in [listen]"# },
    missing_log = { "log = http://127.0.0.1:8100\n", "", r#"missing key "log" in [platform] (http://"# },
    missing_retention = { "retention = 7200\n", "", r#"missing key "retention" in [platform] (10 s to 720 h"# },
    duplicate_key = { "threads = 32", "threads = 32\nthreads = 33", r#"key "threads" appears more than once in [limits]"# },
    duplicate_section = { "[log]", "[host]\n[log]", "section [host] appears more than once" },
    duplicate_peer = { "h1 = praha-holesovice", "k1 = praha-holesovice", r#"key "k1" appears more than once in [peers]"# },
    key_before_section = { "[host]", "name = k0\n[host]", r#"key "name" stands before the first section"# },
    no_separator = { "threads = 32", "threads\nbodies = 2 MiB", r#"line "threads" in [limits] is not of the form key = value"# },
    empty_name = { "name = k1", "name =", "[host] name = : allowed is 1 to 63 letters" },
    name_with_slash = { "data_centre = praha-karlin", "data_centre = praha/karlin", "[host] data_centre = praha/karlin: allowed is 1 to 63 letters" },
    zero_incarnation = { "incarnation = 7", "incarnation = 0", "[host] incarnation = 0: allowed is a whole number from 1" },
    api_host_name = { "api = 127.0.0.1:7300", "api = localhost:7300", "[listen] api = localhost:7300: allowed is an IP address and a port" },
    api_port_zero = { "api = 127.0.0.1:7300", "api = 127.0.0.1:0", "[listen] api = 127.0.0.1:0: allowed is an IP address and a port from 1 to 65535" },
    api_without_port = { "api = 127.0.0.1:7300", "api = 127.0.0.1", "[listen] api = 127.0.0.1: allowed is" },
    same_listeners = { "api = 127.0.0.1:7300", "api = 127.0.0.1:7400", "[listen] peer = 127.0.0.1:7400: must differ from [listen] api" },
    log_host_name = { "log = http://127.0.0.1:8100", "log = http://log.example:8100", "[platform] log = http://log.example:8100: allowed is http:// with an IP address" },
    log_https = { "log = http://127.0.0.1:8100", "log = https://127.0.0.1:8100", "[platform] log = https://127.0.0.1:8100: allowed is http://" },
    hosts_with_path = { "hosts = http://127.0.0.1:8200/", "hosts = http://127.0.0.1:8200/x", "[platform] hosts = http://127.0.0.1:8200/x: allowed is" },
    retention_too_short = { "retention = 7200", "retention = 9", "[platform] retention = 9: allowed is 10 s to 720 h" },
    retention_not_a_number = { "retention = 7200", "retention = week", "[platform] retention = week: allowed is 10 s to 720 h" },
    threads_zero = { "threads = 32", "threads = 0", "[limits] threads = 0: allowed is 1 to 1024" },
    threads_negative = { "threads = 32", "threads = -4", "[limits] threads = -4: allowed is 1 to 1024" },
    body_too_large = { "body = 1 MiB", "body = 17 MiB", "[limits] body = 17 MiB: allowed is 1 KiB to 16 MiB" },
    body_bad_unit = { "body = 1 MiB", "body = 1 MB", "[limits] body = 1 MB: allowed is 1 KiB to 16 MiB" },
    share_above_range = { "threads = 32", "retry_budget = 0.6", "[limits] retry_budget = 0.6: allowed is 0 to 0.5" },
    share_not_finite = { "threads = 32", "retry_budget = NaN", "[limits] retry_budget = NaN: allowed is 0 to 0.5" },
    ttl_out_of_range = { "lease_ttl = 3000", "lease_ttl = 2 min", "[timing] lease_ttl = 2 min: allowed is 300 ms to 1 min" },
    ttl_bad_unit = { "lease_ttl = 3000", "lease_ttl = 3 sec", "[timing] lease_ttl = 3 sec: allowed is 300 ms to 1 min" },
    ttl_overflow = { "lease_ttl = 3000", "lease_ttl = 18446744073709551615 h", "[timing] lease_ttl = 18446744073709551615 h: allowed is" },
    ttl_below_renewals = { "lease_ttl = 3000", "lease_ttl = 2900", "[timing] lease_ttl = 2900 ms: must be at least 3 x lease_renewal = 3 s" },
    margin_too_large = { "lease_ttl = 3000", "lease_margin = 700", "[timing] lease_margin = 700 ms: with lease_drift it leaves 2 s of lease_ttl" },
    run_ttl_below_takeover = { "run_ttl = 20 s", "run_ttl = 7 s", "[timing] run_ttl = 7 s: must be at least 2 x (lease_ttl + lease_retry) = 8 s" },
    peer_timeout_too_short = { "lease_ttl = 3000", "peer_timeout = 1 s", "[timing] peer_timeout = 1 s: must be at least 3 x hello_interval = 1500 ms" },
    remote_timeout_too_short = { "lease_ttl = 3000", "remote_timeout = 14 s", "[timing] remote_timeout = 14 s: must be at least 3 x remote_interval = 15 s" },
    handback_delay_too_short = { "lease_ttl = 3000", "handback_delay = 1 s", "[timing] handback_delay = 1 s: must be at least peer_timeout = 2 s" },
    quarantine_max_below_min = { "lease_ttl = 3000", "quarantine_max = 10 s", "[timing] quarantine_max = 10 s: must be at least quarantine_min = 30 s" },
    bad_filter = { "level = jayfork=debug,warn", "level = jayfork=loud", "[log] level = jayfork=loud: allowed is a filter" },
    bad_format = { "format = json", "format = xml", "[log] format = xml: allowed is human or json" },
    peer_without_region = { "h1 = praha-holesovice, praha, 127.0.0.2:7400", "h1 = praha-holesovice, 127.0.0.2:7400", "[peers] h1 = praha-holesovice, 127.0.0.2:7400: allowed is data_centre, region, IP:port" },
    peer_host_name = { "127.0.0.2:7400", "h1.example:7400", "h1.example:7400: allowed is data_centre, region, IP:port" },
    peer_any_address = { "127.0.0.2:7400", "0.0.0.0:7400", "praha, 0.0.0.0:7400: allowed is data_centre, region, IP:port" },
    peer_bad_name = { "h1 = ", "h/1 = ", "[peers] h/1 = praha-holesovice, praha, 127.0.0.2:7400: allowed is a host name" },
    peer_same_address = { "127.0.0.2:7400", "127.0.0.3:7400", "[peers] b1 = 127.0.0.3:7400: h1 has the same address" },
    data_centre_in_two_regions = { "h1 = praha-holesovice, praha", "h1 = praha-karlin, brno", "[peers] h1 = praha-karlin, brno: k1 puts data centre praha-karlin into region praha" },
    not_among_peers = { "name = k1", "name = k9", r#"missing key "k9" in [peers] (the host itself must be listed"# },
    own_data_centre_differs = { "data_centre = praha-karlin\n", "data_centre = praha-holesovice\n", "[host] data_centre = praha-holesovice: [peers] k1 has data centre praha-karlin" },
    own_region_differs = { "region = praha\n", "region = brno\n", "[host] region = brno: [peers] k1 has region praha" },
    own_address_differs = { "peer = 127.0.0.1:7400", "peer = 127.0.0.1:7401", "[listen] peer = 127.0.0.1:7401: [peers] k1 has address 127.0.0.1:7400" },
    unclosed_section = { "[host]", "[host", r#"section header "[host" has no closing bracket"# },
)]
fn invalid_files_are_rejected(from: &str, to: &str, expected: &str) {
    let path = write_file(&edited(from, to));
    let output = check(&path);
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains(expected), "{expected:?} in {message}");
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(output.stdout.is_empty());
}

/// Guards against further messages that are only consequences of the first fault.
#[parameterized(
    missing_name = { "name = k1\n", "" },
    bad_name = { "name = k1", "name = k/1" },
    bad_listener = { "peer = 127.0.0.1:7400", "peer = x" },
    bad_own_peer = { "k1 = praha-karlin, praha, 127.0.0.1:7400", "k1 = praha-karlin" },
    bad_number = { "lease_ttl = 3000", "lease_ttl = x" },
    missing_section = { "[log]\nlevel = jayfork=debug,warn\nformat = json\n", "[logs]" },
)]
fn one_mistake_is_reported_once(from: &str, to: &str) {
    let error = Settings::open(write_file(&edited(from, to))).unwrap_err();
    assert_eq!(fault_count(&error), 1, "{error}");
}

/// Guards against a check that stops at the first fault, so that an operator needs one run per
/// fault.
#[test]
fn all_faults_are_reported_at_once() {
    let text = VALID
        .replace("threads = 32", "threads = 0\ntreads = 1")
        .replace("api = 127.0.0.1:7300", "api = here")
        .replace("run_ttl = 20 s", "run_ttl = 2 s")
        .replace("format = json", "format = xml");
    let error = Settings::open(write_file(&text)).unwrap_err();
    let message = error.to_string();
    assert_eq!(fault_count(&error), 5, "{message}");
    for fragment in [
        "threads = 0",
        "treads",
        "api = here",
        "run_ttl = 2 s",
        "format = xml",
    ] {
        assert!(message.contains(fragment), "{fragment:?} in {message}");
    }
}

/// Guards against an empty file that is accepted, and against a message that does not list all
/// required keys.
#[test]
fn all_missing_keys_are_reported() {
    let error = Settings::open(write_file("")).unwrap_err();
    let message = error.to_string();
    assert_eq!(fault_count(&error), 8, "{message}");
    for key in [
        "name",
        "data_centre",
        "region",
        "api",
        "peer",
        "log",
        "hosts",
        "retention",
    ] {
        assert!(
            message.contains(&format!("missing key {key:?}")),
            "{message}"
        );
    }
}

/// Guards against a daemon that starts without its settings file.
#[test]
fn a_missing_file_is_rejected() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("absent.ini");
    let output = check(&path);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("absent.ini"));
}

/// Guards against a value that is read wrongly, and against a check that rejects a valid file.
#[test]
fn every_section_is_read() {
    let path = write_file(VALID);
    let output = check(&path);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");

    let settings = Settings::open(&path).unwrap();
    assert_eq!(&*settings.host.name, "k1");
    assert_eq!(settings.host.incarnation, Some(7));
    assert_eq!(settings.listen.api.port(), 7_300);
    assert_eq!(settings.platform.log, "http://127.0.0.1:8100");
    assert_eq!(settings.platform.hosts, "http://127.0.0.1:8200");
    assert_eq!(settings.platform.retention, Millis(7_200_000));
    assert_eq!(settings.peers.len(), 3);
    assert_eq!(settings.local_peers().count(), 1);
    assert_eq!(settings.limits.threads, 32);
    assert_eq!(settings.limits.body, 1 << 20);
    assert_eq!(settings.timing, Timing::default());
    assert_eq!(settings.log.level, "jayfork=debug,warn");
    assert_eq!(settings.log.format, LogFormat::Json);
}

/// Guards against defaults that differ from those on the design page.
#[test]
fn defaults_match_the_design() {
    let timing = Timing::default();
    assert_eq!(timing.lease_ttl, Millis(3_000));
    assert_eq!(timing.lease_renewal, Millis(1_000));
    assert_eq!(timing.usable_lease_time(), Millis(2_500));
    assert_eq!(timing.run_ttl, Millis(20_000));
    assert_eq!(timing.suspicion_wait(), Millis(45_000));
    assert_eq!(timing.append_interval, Millis(100));
    assert_eq!(timing.claim_ahead, 4);
    assert_eq!(timing.hello_interval, Millis(500));
    assert_eq!(timing.peer_timeout, Millis(2_000));
    assert_eq!(timing.remote_interval, Millis(5_000));
    assert_eq!(timing.remote_timeout, Millis(15_000));
    assert_eq!(timing.handback_delay, Millis(5_000));
    assert_eq!(timing.finished_ttl, Millis(3_600_000));
    assert_eq!(timing.retain_fraction, 0.5);
    assert_eq!(timing.retain_step, Millis(5_000));
    assert_eq!(timing.quarantine_min, Millis(30_000));
    assert_eq!(timing.quarantine_max, Millis(1_800_000));
    let limits = Limits::default();
    assert_eq!(limits.body, 16 << 20);
    assert_eq!(limits.retry_budget, 0.1);
    assert_eq!(limits.urgent_reserve, 0.2);
    assert_eq!(limits.eviction_budget, 0.02);
    assert_eq!(limits.start_failures, 3);
}

/// Guards against a host that listens on all interfaces and is rejected because its address in
/// `[peers]` is a different one.
#[test]
fn a_listener_on_all_interfaces_is_accepted() {
    let text = edited("peer = 127.0.0.1:7400", "peer = 0.0.0.0:7400");
    Settings::open(write_file(&text)).unwrap();
}
