use std::time::{Duration, Instant};

use jayfork::base::Name;
use jayfork::connection::wire::{HostEntry, HostKind, HostList, HostState};
use serde_json::json;

use crate::calls::WAIT_LIMIT;
use crate::support::{Client, Reply, Standin, TestDir, wait_until};

fn worker(state: HostState) -> HostEntry {
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

// Guards against a change that shows before its lag or never.
#[test]
fn change_shows_after_the_lag() {
    let dir = TestDir::new("hosts-lag");
    let hosts = Standin::start(&dir, "hosts", &["--lag-ms", "300"]);
    hosts.put_hosts(&[worker(HostState::Live)]);
    assert_eq!(states(&hosts), [("w0".into(), HostState::Live)]);
    let changed = Instant::now();
    hosts.put_hosts(&[worker(HostState::Leaving)]);
    wait_until("the change", WAIT_LIMIT, || {
        states(&hosts) == [("w0".into(), HostState::Leaving)]
    });
    assert!(changed.elapsed() >= Duration::from_millis(300));
}

// Guards against a first list that is not read from the file.
#[test]
fn file_gives_the_first_list() {
    let dir = TestDir::new("hosts-file");
    let path = dir.join("hosts.json");
    let list = json!({"hosts": [worker(HostState::Live)]});
    std::fs::write(&path, list.to_string()).unwrap();
    let hosts = Standin::start(&dir, "hosts", &["--file", path.to_str().unwrap()]);
    assert_eq!(states(&hosts), [("w0".into(), HostState::Live)]);
}

// Guards against an outage of the list that does not show or does not end.
#[test]
fn down_list_answers_503() {
    let dir = TestDir::new("hosts-down");
    let hosts = Standin::start(&dir, "hosts", &[]);
    hosts.set(json!({"down": true}));
    assert_eq!(get(&hosts).status, 503);
    hosts.set(json!({"down": false}));
    assert_eq!(get(&hosts).status, 200);
}

// Guards against a slow list that is not slow.
#[test]
fn delay_holds_the_list_back() {
    let dir = TestDir::new("hosts-delay");
    let hosts = Standin::start(&dir, "hosts", &[]);
    hosts.set(json!({"delay_ms": 150}));
    let started = Instant::now();
    assert_eq!(get(&hosts).status, 200);
    assert!(started.elapsed() >= Duration::from_millis(150));
}
