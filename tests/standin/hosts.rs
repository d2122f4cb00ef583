use std::time::{Duration, Instant};

use jayfork::base::Name;
use jayfork::connection::wire::{HostEntry, HostKind, HostList, HostState};
use serde_json::json;

use crate::calls::WAIT_LIMIT;
use crate::support::{Client, Reply, Standin, TestDir, wait_until};

fn worker_entry(state: HostState) -> HostEntry {
    HostEntry {
        name: "w0".into(),
        address: "127.0.0.1:1".into(),
        data_centre: "dc".into(),
        rack: None,
        kind: HostKind::Worker,
        service: None,
        worker: None,
        state,
    }
}

fn get(hosts: &Standin) -> Reply {
    let reply = Client::new().get(&hosts.service, "/hosts");
    reply.expect("the list answers")
}

fn states(hosts: &Standin) -> Vec<(Name, HostState)> {
    let list: HostList = get(hosts).ok();
    let states = list.hosts.into_iter();
    states.map(|host| (host.name, host.state)).collect()
}

// Guards against a change of the list that is visible before the delay has passed, or never.
#[test]
fn change_is_visible_after_the_delay() {
    let dir = TestDir::new("hosts-lag");
    let hosts = Standin::start(&dir, "hosts", &["--lag-ms", "300"]);
    hosts.put_hosts(&[worker_entry(HostState::Live)]);
    assert_eq!(states(&hosts), [("w0".into(), HostState::Live)]);
    let changed = Instant::now();
    hosts.put_hosts(&[worker_entry(HostState::Leaving)]);
    wait_until("the visible change", WAIT_LIMIT, || {
        states(&hosts) == [("w0".into(), HostState::Leaving)]
    });
    assert!(changed.elapsed() >= Duration::from_millis(300));
}

// Guards against a delay that is cut to whole milliseconds of the clock, so that it may end early.
#[test]
fn no_change_is_visible_before_the_delay() {
    const DELAY: Duration = Duration::from_millis(10);
    let dir = TestDir::new("hosts-lag-repeated");
    let hosts = Standin::start(&dir, "hosts", &["--lag-ms", "10"]);
    hosts.put_hosts(&[worker_entry(HostState::Live)]);
    let client = Client::new();
    for next in [HostState::Leaving, HostState::Live].repeat(25) {
        let changed = Instant::now();
        hosts.put_hosts(&[worker_entry(next)]);
        loop {
            let list: HostList = client
                .get(&hosts.service, "/hosts")
                .expect("an answer")
                .ok();
            let answered = changed.elapsed();
            assert!(answered < WAIT_LIMIT, "the change is never visible");
            if list.hosts[0].state == next {
                assert!(answered >= DELAY, "visible after {answered:?}");
                break;
            }
        }
    }
}

// Guards against a `--file` that is ignored.
#[test]
fn initial_list_is_read_from_the_file() {
    let dir = TestDir::new("hosts-file");
    let path = dir.join("hosts.json");
    let list = json!({"hosts": [worker_entry(HostState::Live)]});
    std::fs::write(&path, list.to_string()).unwrap();
    let hosts = Standin::start(&dir, "hosts", &["--file", path.to_str().unwrap()]);
    assert_eq!(states(&hosts), [("w0".into(), HostState::Live)]);
}

// Guards against a switch `down` that has no effect or cannot be reset.
#[test]
fn list_that_is_down_answers_503() {
    let dir = TestDir::new("hosts-down");
    let hosts = Standin::start(&dir, "hosts", &[]);
    hosts.set(json!({"down": true}));
    assert_eq!(get(&hosts).status, 503);
    hosts.set(json!({"down": false}));
    assert_eq!(get(&hosts).status, 200);
}

// Guards against a switch `delay_ms` that has no effect.
#[test]
fn delay_ms_delays_the_answer() {
    let dir = TestDir::new("hosts-delay");
    let hosts = Standin::start(&dir, "hosts", &[]);
    hosts.set(json!({"delay_ms": 150}));
    let started = Instant::now();
    assert_eq!(get(&hosts).status, 200);
    assert!(started.elapsed() >= Duration::from_millis(150));
}
