use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use jayfork::base::Token;
use serde_json::{Value, json};
use yare::parameterized;

use crate::calls::{WAIT_LIMIT, grant, lease, lease_request, renew_instance, run};
use crate::support::{Event, Record, Standin, TestDir, wait_until};

/// Starts one instance and takes its lease.
fn start_instance(dir: &TestDir, args: &[&str]) -> (Standin, Token) {
    let instance = Standin::start(dir, "instances", args);
    let token = grant(instance.address(0), "e1");
    (instance, token)
}

/// Returns the records of one kind of event.
fn records_with(instance: &Standin, event: Event) -> Vec<Record> {
    let records = instance.records().into_iter();
    records.filter(|record| record.event == event).collect()
}

// Guards against answers that don't contain the id and the complete body of the request.
#[parameterized(
    empty = { 0 },
    short = { 5 },
    one_buffer = { 8192 },
    large = { 16 * 1024 * 1024 },
)]
fn answer_contains_the_request(length: usize) {
    let dir = TestDir::new("instance-answer");
    let (instance, token) = start_instance(&dir, &[]);
    let body: Vec<u8> = (0..length).map(|index| index as u8).collect();
    let reply = run(instance.address(0), token, "r-1", &body).unwrap();
    let expected = [format!("r-1 {length}\n").into_bytes(), body].concat();
    assert_eq!(reply.status, 200);
    assert!(reply.body == expected);
}

// Guards against requests that end before their service time, and against a `service_ms` that is
// ignored.
#[test]
fn request_takes_the_service_time() {
    let dir = TestDir::new("instance-time");
    let (instance, token) = start_instance(&dir, &["--service-ms", "150"]);
    let started = Instant::now();
    assert_eq!(
        run(instance.address(0), token, "r", b"").unwrap().status,
        200
    );
    assert!(started.elapsed() >= Duration::from_millis(150));
    instance.set(json!({"service_ms": 0}));
    assert_eq!(
        run(instance.address(0), token, "r2", b"").unwrap().status,
        200
    );
    let times: Vec<u64> = instance.records().iter().map(|r| r.time).collect();
    assert!(times[2] - times[1] >= 150, "{times:?}");
}

// Guards against an instance that runs more requests than it has slots, and against an excess
// request that is not recorded as a violation.
#[test]
fn request_beyond_the_slots_is_refused_and_recorded() {
    let dir = TestDir::new("instance-slots");
    let (instance, token) = start_instance(&dir, &["--slots", "2", "--service-ms", "100000"]);
    let address = instance.address(0);
    std::thread::scope(|scope| {
        for id in ["r0", "r1"] {
            scope.spawn(move || run(address, token, id, b"").is_err());
        }
        wait_until("2 running requests", WAIT_LIMIT, || {
            renew_instance(address, token).report.running.len() == 2
        });
        let reply = run(address, token, "r2", b"").unwrap();
        assert_eq!((reply.status, reply.error().as_str()), (503, "busy"));
        let mut running = renew_instance(address, token).report.running;
        running.sort();
        assert_eq!(running, ["r0".into(), "r1".into()]);
        // Ends the two running requests, which would otherwise run for 100 s.
        instance.set(json!({"crash": true}));
    });
    let violations = records_with(&instance, Event::Violation);
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].id, "r2");
    assert_eq!(violations[0].state.as_deref(), Some("over_slots"));
    assert_eq!(records_with(&instance, Event::Started).len(), 2);
}

// Guards against an instance that keeps more connections open than its limit, and against an excess
// connection that is not recorded as a violation.
#[test]
fn connection_beyond_the_limit_is_closed_and_recorded() {
    let dir = TestDir::new("instance-connections");
    let instance = Standin::start(&dir, "instances", &["--connections", "2"]);
    let open: Vec<TcpStream> = (0..2)
        .map(|_| TcpStream::connect(instance.address(0)).unwrap())
        .collect();
    let mut excess = TcpStream::connect(instance.address(0)).unwrap();
    excess.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let closed = excess.read(&mut [0; 1]);
    assert!(!closed.is_ok_and(|read| read > 0));
    let violations = records_with(&instance, Event::Violation);
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].state.as_deref(), Some("over_connections"));
    drop(open);
    wait_until("a free connection", WAIT_LIMIT, || {
        let mut stream = TcpStream::connect(instance.address(0)).unwrap();
        let head = b"GET / HTTP/1.1\r\n\r\n";
        stream.write_all(head).is_ok() && stream.read(&mut [0; 1]).is_ok_and(|read| read > 0)
    });
}

/// Result of a request as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Complete,
    ConnectionLost,
    NotRun,
}

// Guards against faults that have no effect, that affect more answers than the switch says, or that
// change whether the request runs.
#[parameterized(
    none = { json!({}), [Outcome::Complete, Outcome::Complete], 2 },
    truncated = { json!({"truncate": 1}), [Outcome::ConnectionLost, Outcome::Complete], 2 },
    lost = { json!({"lose_answers": 1}), [Outcome::ConnectionLost, Outcome::Complete], 2 },
    delayed = { json!({"delay_answers_ms": 50}), [Outcome::Complete, Outcome::Complete], 2 },
    busy = { json!({"busy": true}), [Outcome::NotRun, Outcome::NotRun], 0 },
    leaving = { json!({"leaving": true}), [Outcome::NotRun, Outcome::NotRun], 0 },
    crashed = { json!({"crash": true}), [Outcome::ConnectionLost, Outcome::ConnectionLost], 0 },
    cut = { json!({"cuts": ["*"]}), [Outcome::ConnectionLost, Outcome::ConnectionLost], 0 },
)]
fn fault_affects_the_answer(patch: Value, expected: [Outcome; 2], starts: usize) {
    let dir = TestDir::new("instance-fault");
    let (instance, token) = start_instance(&dir, &[]);
    instance.set(patch);
    let outcomes = ["r0", "r1"].map(|id| match run(instance.address(0), token, id, b"body") {
        Ok(reply) if reply.status == 200 => {
            assert_eq!(reply.text(), format!("{id} 4\nbody"));
            Outcome::Complete
        }
        Ok(reply) => {
            assert_eq!(reply.status, 503);
            Outcome::NotRun
        }
        Err(_) => Outcome::ConnectionLost,
    });
    assert_eq!(outcomes, expected);
    assert_eq!(records_with(&instance, Event::Started).len(), starts);
    assert_eq!(records_with(&instance, Event::Ended).len(), starts);
}

// Guards against a truncated answer whose content-length is that of the truncated body, so that a
// client would accept it as complete.
#[test]
fn truncated_answer_has_the_full_content_length() {
    let dir = TestDir::new("instance-truncated");
    let (instance, token) = start_instance(&dir, &[]);
    instance.set(json!({"truncate": 1}));
    let mut stream = TcpStream::connect(instance.address(0)).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let head = format!(
        "POST /requests/r HTTP/1.1\r\nlease-token: {}\r\ndeadline-ms: 1\r\n\
         content-length: 4\r\n\r\nbody",
        token.0
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("content-length: 8"), "{head}");
    assert_eq!(body, "r 4\n");
}

// Guards against a switch `reorder` that leaves the answers in the order of the requests.
#[test]
fn reordered_answers_arrive_in_reverse_order() {
    let dir = TestDir::new("instance-reorder");
    let (instance, token) = start_instance(&dir, &["--service-ms", "0"]);
    instance.set(json!({"reorder": 3}));
    let address = instance.address(0);
    let order = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for (index, id) in ["r0", "r1", "r2"].into_iter().enumerate() {
            let order = &order;
            scope.spawn(move || {
                assert_eq!(run(address, token, id, b"").unwrap().status, 200);
                order.lock().unwrap().push(id);
            });
            wait_until("the end of the run", WAIT_LIMIT, || {
                records_with(&instance, Event::Ended).len() == index + 1
            });
        }
    });
    // Only the last answer is certain, because the threads of the others race for the lock of
    // `order`.
    assert_eq!(order.into_inner().unwrap().last(), Some(&"r0"));
}

// Guards against a request that runs on two instances at the same time without a recorded
// violation.
#[test]
fn concurrent_runs_of_a_request_are_recorded() {
    let dir = TestDir::new("instance-duplicate");
    let instances = Standin::start(
        &dir,
        "instances",
        &["--count", "2", "--service-ms", "100000"],
    );
    std::thread::scope(|scope| {
        for index in 0..2 {
            let address = instances.address(index);
            let token = grant(address, "e1");
            scope.spawn(move || run(address, token, "r", b"").is_err());
        }
        wait_until("the start of both runs", WAIT_LIMIT, || {
            records_with(&instances, Event::Started).len() == 2
        });
        instances.set(json!({"crash": true}));
    });
    let violations = records_with(&instances, Event::Violation);
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].state.as_deref(), Some("duplicate_run"));
}

// Guards against a crash after which a running request is still answered, its caller still waits,
// or its slot stays occupied.
#[parameterized(
    restart = { json!({"restart": true}) },
    crash = { json!({"crash": true}) },
)]
fn crash_ends_running_requests(patch: Value) {
    let dir = TestDir::new("instance-crash");
    let (instance, token) = start_instance(&dir, &["--service-ms", "100000"]);
    let address = instance.address(0);
    std::thread::scope(|scope| {
        let call = scope.spawn(move || run(address, token, "r", b"").is_err());
        wait_until("the start of the run", WAIT_LIMIT, || {
            records_with(&instance, Event::Started).len() == 1
        });
        let crashed = Instant::now();
        instance.set(patch);
        assert!(call.join().unwrap());
        assert!(crashed.elapsed() < WAIT_LIMIT);
    });
    instance.set(json!({"crash": false}));
    let reply = lease(address, &lease_request("e1", None));
    assert_eq!(reply.ok::<Value>()["report"]["running"], json!([]));
    let ends = records_with(&instance, Event::Ended);
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].state.as_deref(), Some("crashed"));
}

// The same request runs again after a restart. Guards against the thread of the first run, which
// still sleeps, ending the second run.
#[test]
fn repeated_request_runs_its_full_time_after_a_restart() {
    let dir = TestDir::new("instance-again");
    let (instance, token) = start_instance(&dir, &["--service-ms", "300"]);
    let address = instance.address(0);
    std::thread::scope(|scope| {
        let lost = scope.spawn(move || run(address, token, "r", b"").is_err());
        wait_until("the start of the run", WAIT_LIMIT, || {
            records_with(&instance, Event::Started).len() == 1
        });
        instance.set(json!({"restart": true}));
        assert!(lost.join().unwrap());
    });
    let token = grant(address, "e1");
    assert_eq!(run(address, token, "r", b"").unwrap().status, 200);
    let times = |event| -> Vec<u64> {
        records_with(&instance, event)
            .iter()
            .map(|r| r.time)
            .collect()
    };
    assert!(times(Event::Ended)[1] - times(Event::Started)[1] >= 300);
    assert!(records_with(&instance, Event::Violation).is_empty());
}

// Guards against an answer that is sent before `delay_answers_ms` has passed, and against a slot
// that stays occupied during the delay.
#[test]
fn delayed_answer_frees_its_slot_before_the_delay() {
    let dir = TestDir::new("instance-delayed");
    let (instance, token) = start_instance(&dir, &["--service-ms", "0"]);
    instance.set(json!({"delay_answers_ms": 200}));
    let started = Instant::now();
    assert_eq!(
        run(instance.address(0), token, "r", b"").unwrap().status,
        200
    );
    assert!(started.elapsed() >= Duration::from_millis(200));
    let records = instance.records();
    let times: Vec<u64> = records.iter().map(|record| record.time).collect();
    assert!(times[2] - times[1] < 200, "{times:?}");
}

// Guards against an instance that runs requests without a lease token.
#[test]
fn request_without_token_is_refused() {
    let dir = TestDir::new("instance-token");
    let (instance, _) = start_instance(&dir, &[]);
    let client = crate::support::Client::new();
    let reply = client.post(instance.address(0), "/requests/r", "").unwrap();
    assert_eq!(reply.status, 400);
    assert!(records_with(&instance, Event::Started).is_empty());
}
