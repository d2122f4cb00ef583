//! The users' platform: fenced appends, reads, and the orders to a worker.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use yare::parameterized;

use crate::calls::WAIT_LIMIT;
use crate::support::{Client, Reply, Standin, TestDir, wait_until};

const STREAM: &str = "topic=keyed.test&part=0";

fn post(address: &str, path: &str, body: impl Into<Vec<u8>>) -> Reply {
    let reply = Client::new().post(address, path, body);
    reply.expect("the stand-in answers")
}

fn get(address: &str, path: &str) -> Reply {
    let reply = Client::new().get(address, path);
    reply.expect("the stand-in answers")
}

/// A record with a key of one byte and its value.
fn record(key: char, value: &str) -> Vec<u8> {
    let length = (2 + value.len()) as u32;
    let head = [&length.to_be_bytes()[..], &[1, key as u8]].concat();
    [&head, value.as_bytes()].concat()
}

/// Appends a record as producer `p`, after one with epoch 5 and sequence number 3.
// Guards against a store that lets an earlier owner append, or that appends a repetition twice.
#[parameterized(
    next = { "epoch=5&seq=4", 200, json!({ "offset": 1, "end": 2 }), 2 },
    repeated = { "epoch=5&seq=3", 200, json!({ "offset": 0, "end": 1 }), 1 },
    gap = { "epoch=5&seq=5", 409, json!({ "reason": "seq", "seq": 4 }), 1 },
    lower_epoch = { "epoch=4&seq=4", 409, json!({ "reason": "fenced" }), 1 },
    higher_epoch = { "epoch=6&seq=9", 200, json!({ "offset": 1, "end": 2 }), 2 },
    wrong_end = { "epoch=5&seq=4&at=7", 412, json!({ "end": 1 }), 1 },
)]
fn appends_are_fenced(fence: &str, status: u16, answer: Value, end: u64) {
    let dir = TestDir::new("platform-fence");
    let platform = Standin::start(&dir, "platform", &["--workers", "0"]);
    let store = &platform.service;
    let path = |fence: &str| format!("/log-append?{STREAM}&producer=p&{fence}");
    let first = post(store, &path("epoch=5&seq=3"), record('a', "first"));
    assert_eq!(first.status, 200, "{}", first.text());
    let reply = post(store, &path(fence), record('a', "second"));
    assert_eq!((reply.status, reply.json::<Value>()), (status, answer));
    let page: Value = get(store, &format!("/log-newest?{STREAM}")).json();
    assert_eq!(page["end"], end);
    let newest = if end == 2 { "second" } else { "first" };
    assert_eq!(page["items"][0]["value"], STANDARD.encode(newest));
}

// Guards against a system under test that could write the workers' or the operator's entries.
#[parameterized(config = { "keyed.op" }, registry = { "keyed.servers" })]
fn entries_of_others_are_read_only(topic: &str) {
    let dir = TestDir::new("platform-foreign");
    let platform = Standin::start(&dir, "platform", &["--workers", "0"]);
    let path = format!("/log-append?topic={topic}&part=0");
    let reply = post(&platform.service, &path, record('a', "value"));
    assert_eq!(reply.status, 403);
}

/// Address of the only worker.
fn worker(platform: &Standin) -> String {
    let page: Value = get(&platform.service, "/log-newest?topic=keyed.servers&part=0").json();
    let value = page["items"][0]["value"].as_str().expect("an entry");
    let entry = STANDARD.decode(value).expect("Base64");
    let entry: Value = serde_json::from_slice(&entry).expect("JSON");
    entry["address"].as_str().expect("an address").to_owned()
}

fn order(worker: &str, path: &str, body: &Value) -> (u16, Value) {
    let reply = post(worker, path, body.to_string());
    (reply.status, reply.json())
}

/// Sends an order after run 2 of task `t` was started with token 5 and then stopped.
// Guards against a worker that takes late orders of an earlier owner or of an ended run.
#[parameterized(
    next_run = { json!({ "task": "t", "run": 3, "untilMs": 60_000, "fencingToken": 5 }), None },
    stopped_run = { json!({ "task": "t", "run": 2, "untilMs": 60_000, "fencingToken": 5 }), Some("old") },
    earlier_run = { json!({ "task": "t", "run": 1, "untilMs": 60_000, "fencingToken": 5 }), Some("old") },
    earlier_owner = { json!({ "task": "u", "run": 1, "untilMs": 60_000, "fencingToken": 4 }), Some("fence") },
)]
fn late_starts_are_refused(start: Value, reason: Option<&str>) {
    let dir = TestDir::new("platform-starts");
    let platform = Standin::start(&dir, "platform", &["--workers", "1"]);
    let worker = worker(&platform);
    let first =
        json!({ "task": "t", "run": 2, "spec": "{}", "untilMs": 60_000, "fencingToken": 5 });
    assert_eq!(order(&worker, "/run-start", &first).0, 200);
    let stop = json!({ "task": "t", "run": 2, "fencingToken": 5 });
    assert_eq!(order(&worker, "/run-stop", &stop).0, 200);
    let (status, answer) = order(&worker, "/run-start", &start);
    assert_eq!(status, if reason.is_none() { 200 } else { 409 });
    assert_eq!(answer["reason"].as_str(), reason);
}

// Guards against a worker that runs on after its lease, or that forgets an end before it is acknowledged.
#[test]
fn runs_end_with_their_lease_and_ends_are_kept_until_acknowledged() {
    let dir = TestDir::new("platform-lease");
    let platform = Standin::start(&dir, "platform", &["--workers", "1", "--lease-ms", "300"]);
    let worker = worker(&platform);
    let start =
        json!({ "task": "t", "run": 1, "spec": "{}", "untilMs": 60_000, "fencingToken": 5 });
    let (status, answer) = order(&worker, "/run-start", &start);
    assert_eq!(status, 200, "{answer}");
    let hold = |seen: u64| {
        let (_, report) = order(
            &worker,
            "/hold",
            &json!({ "fencingToken": 5, "lastSeen": seen }),
        );
        (report["running"].clone(), report["ended"].clone())
    };
    let ended = json!([[1, "t", 1, "lapsed", ""]]);
    wait_until("the end of the lease", WAIT_LIMIT, || hold(0).1 == ended);
    assert_eq!(hold(0), (json!([]), ended));
    assert_eq!(hold(1), (json!([]), json!([])));
}

fn control(platform: &Standin, path: &str, body: &Value) {
    let reply = post(&platform.control, path, body.to_string());
    assert_eq!(reply.status, 200);
}

fn runs(platform: &Standin) -> Value {
    get(&platform.control, "/runs").json()
}

// Guards against a cut link that carries calls or answers, or that cannot be restored.
#[test]
fn a_cut_link_carries_nothing_until_it_is_restored() {
    let dir = TestDir::new("platform-cut");
    let platform = Standin::start(&dir, "platform", &["--workers", "1"]);
    let worker = worker(&platform);
    let start =
        json!({ "task": "t", "run": 1, "spec": "{}", "untilMs": 60_000, "fencingToken": 5 });
    assert_eq!(order(&worker, "/run-start", &start).0, 200);
    control(&platform, "/cut", &json!({ "task": "t" }));
    let next = json!({ "task": "u", "run": 1, "spec": "{}", "untilMs": 60_000, "fencingToken": 5 });
    let call = std::thread::spawn(move || order(&worker, "/run-start", &next));
    std::thread::sleep(Duration::from_millis(300));
    assert!(!call.is_finished());
    assert_eq!(runs(&platform)["starts"], 1);
    control(&platform, "/restore", &json!({}));
    assert_eq!(call.join().expect("the worker answers").0, 200);
    assert_eq!(runs(&platform)["starts"], 2);
}

/// Starts run 2 of a task whose run 1 has ended as done, and acknowledges that end before, after or never.
// Guards against a check that misses a start after an end as done, or that counts one that the rules allow: the
// end is never acknowledged, or the lease has ended another run in between.
#[parameterized(
    acknowledged_before = { 1, 1, false, json!(["t"]) },
    acknowledged_later = { 0, 1, false, json!(["t"]) },
    never_acknowledged = { 0, 0, false, json!([]) },
    lapsed_in_between = { 0, 1, true, json!([]) },
)]
fn starts_after_acknowledged_ends(before: u64, after: u64, lapses: bool, repeated: Value) {
    let dir = TestDir::new("platform-repeated");
    let platform = Standin::start(&dir, "platform", &["--workers", "1", "--lease-ms", "500"]);
    let worker = worker(&platform);
    let start = |task: &str, run: u64, spec: &str| {
        let body =
            json!({ "task": task, "run": run, "spec": spec, "untilMs": 60_000, "fencingToken": 5 });
        assert_eq!(order(&worker, "/run-start", &body).0, 200);
    };
    let hold = |seen: u64| {
        let body = json!({ "fencingToken": 5, "lastSeen": seen });
        order(&worker, "/hold", &body).1
    };
    start("t", 1, r#"{"run_ms":0}"#);
    wait_until("the end of the run", WAIT_LIMIT, || {
        hold(0)["ended"] != json!([])
    });
    hold(before);
    if lapses {
        start("u", 1, "{}");
        wait_until("the end of the lease", WAIT_LIMIT, || {
            hold(0)["running"] == json!([])
        });
    }
    start("t", 2, "{}");
    hold(after);
    assert_eq!(runs(&platform)["repeated"], repeated);
}
