use std::time::{Duration, Instant};

use jayfork::base::Offset;
use jayfork::connection::wire::{AppendReply, ReadReply};
use serde_json::{Value, json};
use yare::parameterized;

use crate::calls::{WAIT_LIMIT, append, read, stored};
use crate::support::{Client, Standin, TestDir, wait_until};

/// Appends records whose data is their own offset.
fn append_numbers(log: &Standin, count: u64) {
    for offset in 0..count {
        let reply: AppendReply = append(log, offset.to_string().as_bytes()).unwrap().ok();
        assert_eq!(reply.offset, Offset(offset));
    }
}

fn offsets(reply: &ReadReply) -> Vec<u64> {
    for record in &reply.records {
        assert_eq!(record.data, record.offset.0.to_string().as_bytes());
    }
    reply.records.iter().map(|record| record.offset.0).collect()
}

// Guards against reads that skip, repeat or reorder records.
#[parameterized(
    whole = { "from=0", &[0, 1, 2, 3, 4] },
    from_middle = { "from=3", &[3, 4] },
    limited = { "from=1&max=2", &[1, 2] },
    at_end = { "from=5", &[] },
    beyond_end = { "from=9", &[] },
    no_arguments = { "", &[0, 1, 2, 3, 4] },
)]
fn read_returns_a_range(query: &str, expected: &[u64]) {
    let dir = TestDir::new("log-range");
    let log = Standin::start(&dir, "log", &[]);
    append_numbers(&log, 5);
    let reply: ReadReply = read(&log, query).ok();
    assert_eq!(offsets(&reply), expected);
    assert_eq!((reply.first, reply.next), (Offset(0), Offset(5)));
}

// Guards against a retention that never expires records or that renumbers them.
#[test]
fn retention_by_records_moves_the_first_offset() {
    let dir = TestDir::new("log-records");
    let log = Standin::start(&dir, "log", &["--retention-records", "2"]);
    append_numbers(&log, 5);
    let reply: ReadReply = read(&log, "from=0").ok();
    assert_eq!((reply.first, reply.next), (Offset(3), Offset(5)));
    assert_eq!(offsets(&reply), [3, 4]);
}

// Guards against records that outlive the retention time, and against offsets that start over.
#[test]
fn retention_by_age_empties_the_stream() {
    let dir = TestDir::new("log-age");
    let log = Standin::start(&dir, "log", &["--retention-ms", "300"]);
    append_numbers(&log, 3);
    wait_until("expiry", WAIT_LIMIT, || {
        read(&log, "from=0").ok::<ReadReply>().records.is_empty()
    });
    let reply: ReadReply = read(&log, "from=0").ok();
    assert_eq!((reply.first, reply.next), (Offset(3), Offset(3)));
    let reply: AppendReply = append(&log, b"3").unwrap().ok();
    assert_eq!(reply.offset, Offset(3));
}

// Guards against records that expire before their time.
#[test]
fn retention_by_age_keeps_recent_records() {
    let dir = TestDir::new("log-recent");
    let log = Standin::start(&dir, "log", &["--retention-ms", "600000"]);
    append_numbers(&log, 3);
    assert_eq!(offsets(&read(&log, "from=0").ok()), [0, 1, 2]);
}

// Guards against a call that was under way when its connection was lost and takes effect later.
#[parameterized(
    crash = { &[json!({"crash": true}), json!({"crash": false})] },
    cut = { &[json!({"cuts": ["*"]})] },
)]
fn held_append_is_lost(patches: &[Value]) {
    let dir = TestDir::new("log-held");
    let log = Standin::start(&dir, "log", &[]);
    log.set(json!({"freeze": true}));
    std::thread::scope(|scope| {
        let call = scope.spawn(|| append(&log, b"x").is_err());
        wait_until("the held append", WAIT_LIMIT, || {
            log.stats()["waiting"] == 1
        });
        for patch in patches {
            log.set(patch.clone());
        }
        log.set(json!({"freeze": false}));
        assert!(call.join().unwrap());
    });
    wait_until("the end of the call", WAIT_LIMIT, || {
        log.stats()["waiting"] == 0
    });
    log.set(json!({"cuts": []}));
    assert_eq!(
        append(&log, b"x").unwrap().ok::<AppendReply>().offset,
        Offset(0)
    );
}

// Guards against refusals that take effect, and against faults that hit the wrong calls.
#[parameterized(
    down = { json!({"down": true}), 503, "down", 503 },
    read_only = { json!({"read_only": true}), 503, "read_only", 200 },
)]
fn outage_refuses_without_effect(patch: Value, append_status: u16, error: &str, read_status: u16) {
    let dir = TestDir::new("log-outage");
    let log = Standin::start(&dir, "log", &[]);
    append_numbers(&log, 1);
    log.set(patch);
    let reply = append(&log, b"1").unwrap();
    assert_eq!(
        (reply.status, reply.error()),
        (append_status, error.to_owned())
    );
    assert_eq!(read(&log, "from=0").status, read_status);
    assert_eq!(stored(&log).next, Offset(1));
    log.set(json!({"down": false, "read_only": false}));
    assert_eq!(append(&log, b"1").unwrap().status, 200);
}

// Guards against an append limit that is not enforced or that loses admitted records.
#[test]
fn appends_over_the_rate_get_429() {
    let dir = TestDir::new("log-rate");
    let log = Standin::start(&dir, "log", &["--rate", "1", "--burst", "3"]);
    let statuses: Vec<u16> = (0..10)
        .map(|_| append(&log, b"x").unwrap().status)
        .collect();
    let admitted = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(&statuses[..3], [200, 200, 200]);
    assert!(statuses.contains(&429), "{statuses:?}");
    assert_eq!(stored(&log).next, Offset(admitted as u64));
    let stats = log.stats();
    assert_eq!(stats["appends"], admitted);
    assert_eq!(stats["over_rate"], 10 - admitted);
}

// Guards against a lost answer that also loses the record, or that hits more calls than asked.
#[parameterized(
    one = { json!(1), &[false, true, true] },
    two = { json!(2), &[false, false, true] },
    always = { json!({"probability": 1.0, "seed": 7}), &[false, false, false] },
    never = { json!({"probability": 0.0, "seed": 7}), &[true, true, true] },
)]
fn lost_append_answer_takes_effect(faults: Value, answered: &[bool]) {
    let dir = TestDir::new("log-lost");
    let log = Standin::start(&dir, "log", &[]);
    log.set(json!({"lose_answers": faults}));
    let outcomes: Vec<bool> = (0..answered.len())
        .map(|number| append(&log, number.to_string().as_bytes()).is_ok())
        .collect();
    assert_eq!(outcomes, answered);
    assert_eq!(offsets(&stored(&log)), [0, 1, 2]);
}

// Guards against a seed that does not repeat the same faults.
#[test]
fn lost_answers_repeat_with_the_seed() {
    let dir = TestDir::new("log-seed");
    let outcomes = || -> Vec<bool> {
        let log = Standin::start(&dir, "log", &[]);
        log.set(json!({"lose_answers": {"probability": 0.5, "seed": 42}}));
        (0..20).map(|_| append(&log, b"x").is_ok()).collect()
    };
    let first = outcomes();
    assert!(first.contains(&true) && first.contains(&false), "{first:?}");
    assert_eq!(first, outcomes());
}

// Guards against a cut that lets a call through or that cuts other clients off.
#[parameterized(
    named = { json!(["e1"]), &["e1"], &["e2"] },
    several = { json!(["e1", "e2"]), &["e1", "e2"], &["e3"] },
    all = { json!(["*"]), &["e1", "e2", "e3"], &[] },
)]
fn cut_clients_lose_their_connection(cuts: Value, cut: &[&str], served: &[&str]) {
    let dir = TestDir::new("log-cut");
    let log = Standin::start(&dir, "log", &[]);
    log.set(json!({"cuts": cuts}));
    let call = |client: &str| {
        let client = Client::new().with_header("client", client);
        client.post(&log.service, "/streams/s/records", "x")
    };
    for client in cut {
        assert!(call(client).is_err(), "{client}");
    }
    assert_eq!(stored(&log).next, Offset(0));
    for client in served {
        assert_eq!(call(client).unwrap().status, 200, "{client}");
    }
}

// Guards against a long poll that misses a record appended while it waits.
#[test]
fn long_poll_returns_the_next_append() {
    let dir = TestDir::new("log-poll");
    let log = Standin::start(&dir, "log", &[]);
    std::thread::scope(|scope| {
        let poll = scope.spawn(|| read(&log, "from=0&wait=15000").ok::<ReadReply>());
        wait_until("waiting read", WAIT_LIMIT, || log.stats()["reads"] == 1);
        append_numbers(&log, 1);
        let started = Instant::now();
        assert_eq!(offsets(&poll.join().unwrap()), [0]);
        assert!(started.elapsed() < WAIT_LIMIT);
    });
}

// Guards against a long poll that returns early or never.
#[test]
fn long_poll_ends_empty_after_its_wait() {
    let dir = TestDir::new("log-wait");
    let log = Standin::start(&dir, "log", &[]);
    let started = Instant::now();
    let reply: ReadReply = read(&log, "from=0&wait=200").ok();
    assert!(reply.records.is_empty());
    assert!(started.elapsed() >= Duration::from_millis(200));
}

// Guards against waiting reads that keep other calls from being served.
#[test]
fn long_polls_do_not_starve_other_calls() {
    let dir = TestDir::new("log-starve");
    let log = Standin::start(&dir, "log", &[]);
    std::thread::scope(|scope| {
        for _ in 0..40 {
            scope.spawn(|| read(&log, "from=0&wait=15000").ok::<ReadReply>());
        }
        wait_until("40 waiting reads", WAIT_LIMIT, || {
            log.stats()["reads"] == 40
        });
        assert_eq!(append(&log, b"0").unwrap().status, 200);
    });
}

// Guards against an outage that leaves waiting reads hanging.
#[test]
fn going_down_ends_a_long_poll() {
    let dir = TestDir::new("log-down-poll");
    let log = Standin::start(&dir, "log", &[]);
    std::thread::scope(|scope| {
        let poll = scope.spawn(|| read(&log, "from=0&wait=15000").status);
        wait_until("waiting read", WAIT_LIMIT, || log.stats()["reads"] == 1);
        log.set(json!({"down": true}));
        assert_eq!(poll.join().unwrap(), 503);
    });
}

// Guards against a slow log that is not slow.
#[test]
fn delay_holds_calls_back() {
    let dir = TestDir::new("log-delay");
    let log = Standin::start(&dir, "log", &[]);
    log.set(json!({"delay_ms": 150}));
    let started = Instant::now();
    assert_eq!(append(&log, b"0").unwrap().status, 200);
    assert!(started.elapsed() >= Duration::from_millis(150));
}

// Guards against misspelt switches that silently do nothing in a test.
#[parameterized(
    unknown = { r#"{"donw":true}"# },
    wrong_type = { r#"{"down":"yes"}"# },
    not_json = { "down" },
)]
fn control_refuses_bad_switches(body: &str) {
    let dir = TestDir::new("log-control");
    let log = Standin::start(&dir, "log", &[]);
    let reply = Client::new().post(&log.control, "/control", body).unwrap();
    assert_eq!(reply.status, 400, "{}", reply.text());
}
