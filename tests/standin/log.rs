use std::time::{Duration, Instant};

use jayfork::base::Offset;
use jayfork::connection::wire::{AppendReply, ReadReply};
use serde_json::{Value, json};
use yare::parameterized;

use crate::calls::{WAIT_LIMIT, append, read, stored_records};
use crate::support::{Client, Standin, TestDir, wait_until};

/// Appends `count` records to an empty stream; the data of each record is its offset.
fn append_numbers(log: &Standin, count: u64) {
    for offset in 0..count {
        let reply: AppendReply = append(log, offset.to_string().as_bytes()).unwrap().ok();
        assert_eq!(reply.offset, Offset(offset));
    }
}

/// Returns the offsets of the records; asserts that the data of each is its offset.
fn offsets(reply: &ReadReply) -> Vec<u64> {
    for record in &reply.records {
        assert_eq!(record.data, record.offset.0.to_string().as_bytes());
    }
    reply.records.iter().map(|record| record.offset.0).collect()
}

// Guards against reads that skip, repeat or reorder records.
#[parameterized(
    all_records = { "from=0", &[0, 1, 2, 3, 4] },
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

// Guards against a limit on the number of records that removes none, or that changes the offsets of
// the others.
#[test]
fn retention_by_records_moves_the_first_offset() {
    let dir = TestDir::new("log-records");
    let log = Standin::start(&dir, "log", &["--retention-records", "2"]);
    append_numbers(&log, 5);
    let reply: ReadReply = read(&log, "from=0").ok();
    assert_eq!((reply.first, reply.next), (Offset(3), Offset(5)));
    assert_eq!(offsets(&reply), [3, 4]);
}

// Guards against records that stay after the retention time, and against offsets that start at 0
// again when the stream is empty.
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

// Guards against records that are removed before the retention time.
#[test]
fn retention_by_age_keeps_recent_records() {
    let dir = TestDir::new("log-recent");
    let log = Standin::start(&dir, "log", &["--retention-ms", "600000"]);
    append_numbers(&log, 3);
    assert_eq!(offsets(&read(&log, "from=0").ok()), [0, 1, 2]);
}

// An append waits when its connection is closed by a fault. Guards against the append being stored
// later.
#[parameterized(
    crash = { &[json!({"crash": true}), json!({"crash": false})] },
    cut = { &[json!({"cuts": ["*"]})] },
)]
fn held_back_append_is_dropped(patches: &[Value]) {
    let dir = TestDir::new("log-held");
    let log = Standin::start(&dir, "log", &[]);
    log.set(json!({"freeze": true}));
    std::thread::scope(|scope| {
        let call = scope.spawn(|| append(&log, b"x").is_err());
        wait_until("the append that is held back", WAIT_LIMIT, || {
            log.stats()["waiting"] == 1
        });
        for patch in patches {
            log.set(patch.clone());
        }
        log.set(json!({"freeze": false}));
        assert!(call.join().unwrap());
    });
    wait_until("the end of the append", WAIT_LIMIT, || {
        log.stats()["waiting"] == 0
    });
    log.set(json!({"cuts": []}));
    assert_eq!(
        append(&log, b"x").unwrap().ok::<AppendReply>().offset,
        Offset(0)
    );
}

// Guards against refused appends that are stored, and against an outage that refuses the wrong kind
// of request.
#[parameterized(
    down = { json!({"down": true}), 503, "down", 503 },
    read_only = { json!({"read_only": true}), 503, "read_only", 200 },
)]
fn refused_append_has_no_effect(patch: Value, append_status: u16, error: &str, read_status: u16) {
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
    assert_eq!(stored_records(&log).next, Offset(1));
    log.set(json!({"down": false, "read_only": false}));
    assert_eq!(append(&log, b"1").unwrap().status, 200);
}

// Guards against a rate limit that is not enforced, or that loses accepted records.
#[test]
fn appends_over_the_rate_get_429() {
    let dir = TestDir::new("log-rate");
    let log = Standin::start(&dir, "log", &["--rate", "1", "--burst", "3"]);
    let statuses: Vec<u16> = (0..10)
        .map(|_| append(&log, b"x").unwrap().status)
        .collect();
    let accepted = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(&statuses[..3], [200, 200, 200]);
    assert!(statuses.contains(&429), "{statuses:?}");
    assert_eq!(stored_records(&log).next, Offset(accepted as u64));
    let stats = log.stats();
    assert_eq!(stats["appends"], accepted);
    assert_eq!(stats["over_rate"], 10 - accepted);
}

// Guards against a dropped answer whose record is not stored, and against more dropped answers than
// the switch says.
#[parameterized(
    one = { json!(1), &[false, true, true] },
    two = { json!(2), &[false, false, true] },
    always = { json!({"probability": 1.0, "seed": 7}), &[false, false, false] },
    never = { json!({"probability": 0.0, "seed": 7}), &[true, true, true] },
)]
fn append_with_a_dropped_answer_is_stored(faults: Value, answered: &[bool]) {
    let dir = TestDir::new("log-lost");
    let log = Standin::start(&dir, "log", &[]);
    log.set(json!({"lose_answers": faults}));
    let outcomes: Vec<bool> = (0..answered.len())
        .map(|number| append(&log, number.to_string().as_bytes()).is_ok())
        .collect();
    assert_eq!(outcomes, answered);
    assert_eq!(offsets(&stored_records(&log)), [0, 1, 2]);
}

// Guards against a seed with which the faults differ between runs.
#[test]
fn dropped_answers_depend_only_on_the_seed() {
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

// Guards against a switch `cuts` that serves a client it names, or disconnects others.
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
    assert_eq!(stored_records(&log).next, Offset(0));
    for client in served {
        assert_eq!(call(client).unwrap().status, 200, "{client}");
    }
}

// Guards against a waiting read that misses a record appended meanwhile.
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

// Guards against a waiting read that returns too early or never.
#[test]
fn long_poll_returns_nothing_after_its_wait() {
    let dir = TestDir::new("log-wait");
    let log = Standin::start(&dir, "log", &[]);
    let started = Instant::now();
    let reply: ReadReply = read(&log, "from=0&wait=200").ok();
    assert!(reply.records.is_empty());
    assert!(started.elapsed() >= Duration::from_millis(200));
}

// Guards against waiting reads that block other requests.
#[test]
fn long_polls_do_not_block_other_requests() {
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

// Guards against reads that go on waiting during an outage.
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

// Guards against a switch `delay_ms` that has no effect.
#[test]
fn delay_ms_delays_the_answer() {
    let dir = TestDir::new("log-delay");
    let log = Standin::start(&dir, "log", &[]);
    log.set(json!({"delay_ms": 150}));
    let started = Instant::now();
    assert_eq!(append(&log, b"0").unwrap().status, 200);
    assert!(started.elapsed() >= Duration::from_millis(150));
}

// Guards against an invalid switch that is ignored, so that a test would run without its fault.
#[parameterized(
    unknown = { r#"{"donw":true}"# },
    wrong_type = { r#"{"down":"yes"}"# },
    not_json = { "down" },
)]
fn control_refuses_invalid_switches(body: &str) {
    let dir = TestDir::new("log-control");
    let log = Standin::start(&dir, "log", &[]);
    let reply = Client::new().post(&log.control, "/control", body).unwrap();
    assert_eq!(reply.status, 400, "{}", reply.text());
}
