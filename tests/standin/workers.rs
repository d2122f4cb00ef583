use jayfork::base::{Size, Token};
use jayfork::connection::wire::{LeaseReply, StartReply, StartState, TaskReply, TaskState};
use serde_json::{Value, json};
use yare::parameterized;

use crate::calls::{
    LONG_MS, WAIT_LIMIT, acknowledge, command, grant, lease, lease_request, release, renew,
    report_entry, start, start_request,
};
use crate::support::{Client, Event, Record, Standin, TestDir, wait_until};

pub const TASK: &str = "c/j/0";

/// Starts one worker and takes its lease.
pub fn start_worker(dir: &TestDir, args: &[&str]) -> (Standin, Token) {
    let worker = Standin::start(dir, "workers", args);
    let token = grant(worker.address(0), "e1");
    (worker, token)
}

/// Returns the state of an attempt of `TASK` in the worker's report.
fn attempt_state(worker: &Standin, token: Token, attempt: u32) -> Option<TaskState> {
    report_entry(worker.address(0), token, TASK, attempt).map(|entry| entry.state)
}

/// Returns the records of one kind of event.
pub fn records_with(worker: &Standin, event: Event) -> Vec<Record> {
    let records = worker.records().into_iter();
    records.filter(|record| record.event == event).collect()
}

// Guards against a worker that accepts a task beyond its capacity in one of the resources, and
// against one that refuses a task that fits.
#[parameterized(
    fills_it = { Size::new(4000, 4096, 2), true },
    processors = { Size::new(4001, 1, 0), false },
    memory = { Size::new(1, 4097, 0), false },
    accelerators = { Size::new(1, 1, 3), false },
)]
fn capacity_limits_every_resource(size: Size, fits: bool) {
    let dir = TestDir::new("worker-capacity");
    let args = [
        "--processors",
        "5000",
        "--memory",
        "5120",
        "--accelerators",
        "3",
    ];
    let (worker, token) = start_worker(&dir, &args);
    let mut first = start_request(token, "c/j/first", 0);
    first.size = Size::new(1000, 1024, 1);
    assert_eq!(start(worker.address(0), &first).status, 200);
    let mut second = start_request(token, TASK, 0);
    second.size = size;
    let reply = start(worker.address(0), &second);
    let violations = records_with(&worker, Event::Violation);
    if fits {
        assert_eq!(reply.status, 200);
        assert!(violations.is_empty());
        return;
    }
    assert_eq!((reply.status, reply.error().as_str()), (507, "no_capacity"));
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].state.as_deref(), Some("over_capacity"));
    assert_eq!(violations[0].size, Some(size));
    assert_eq!(attempt_state(&worker, token, 0), None);
}

// Guards against capacity that stays committed after a task has ended.
#[test]
fn ended_task_frees_its_capacity() {
    let dir = TestDir::new("worker-free");
    let (worker, token) = start_worker(&dir, &["--processors", "1000"]);
    assert_eq!(
        start(worker.address(0), &start_request(token, TASK, 0)).status,
        200
    );
    assert_eq!(
        command(worker.address(0), "stop", token, TASK, 0).status,
        200
    );
    let next = start_request(token, "c/j/1", 0);
    assert_eq!(start(worker.address(0), &next).status, 200);
}

// Guards against a repeated start request that runs the attempt twice.
#[test]
fn repeated_start_is_idempotent() {
    let dir = TestDir::new("worker-repeat");
    let (worker, token) = start_worker(&dir, &[]);
    let request = start_request(token, TASK, 0);
    let first: StartReply = start(worker.address(0), &request).ok();
    let second: StartReply = start(worker.address(0), &request).ok();
    assert_eq!(
        (first.state, second.state),
        (StartState::Started, StartState::Already)
    );
    assert_eq!(records_with(&worker, Event::Started).len(), 1);
}

// Guards against a worker that removes an ended attempt too early and so starts it again when a
// late start request arrives.
#[test]
fn ended_attempt_is_kept_until_after_its_acknowledgement() {
    let dir = TestDir::new("worker-remember");
    let (worker, token) = start_worker(&dir, &[]);
    let request = start_request(token, TASK, 0);
    assert_eq!(start(worker.address(0), &request).status, 200);
    // An acknowledgement before the end must not count as one of the end.
    acknowledge(worker.address(0), token, TASK, 0);
    worker.set(json!({"remember_ms": 0}));
    assert_eq!(
        command(worker.address(0), "stop", token, TASK, 0).status,
        200
    );
    assert_eq!(attempt_state(&worker, token, 0), Some(TaskState::Stopped));

    worker.set(json!({"remember_ms": LONG_MS}));
    acknowledge(worker.address(0), token, TASK, 0);
    let reply = start(worker.address(0), &request);
    assert_eq!((reply.status, reply.error().as_str()), (409, "ended"));
    assert_eq!(attempt_state(&worker, token, 0), Some(TaskState::Stopped));

    worker.set(json!({"remember_ms": 0}));
    assert_eq!(attempt_state(&worker, token, 0), None);
}

// Guards against run leases that never expire, or that expire although they are renewed.
#[parameterized(
    not_renewed = { false, 0, Some(("lapsed", 1000)) },
    not_renewed_with_an_end = { false, 100_000, Some(("lapsed", 1000)) },
    renewed = { true, 0, None },
    ends_before = { false, 400, Some(("succeeded", 400)) },
)]
fn run_lease_expires_unless_renewed(renew_tasks: bool, run: u64, end: Option<(&str, u64)>) {
    let dir = TestDir::new("worker-run-lease");
    let worker = Standin::start(&dir, "workers", &[]);
    let address = worker.address(0);
    let mut request = lease_request("e1", None);
    request.run_ttl = 1000;
    let granted: LeaseReply<Value> = lease(address, &request).ok();
    let mut task = start_request(granted.token, TASK, 0);
    task.run = run;
    assert_eq!(start(address, &task).status, 200);
    request.token = Some(granted.token);
    request.run_ttl = LONG_MS;
    request.renew_tasks = renew_tasks;
    assert_eq!(lease(address, &request).status, 200);

    // The first task's lease must have expired, if at all, when that of a task started later
    // expires.
    request.run_ttl = 1000;
    request.renew_tasks = false;
    assert_eq!(lease(address, &request).status, 200);
    let later = start_request(granted.token, "c/j/later", 0);
    assert_eq!(start(address, &later).status, 200);
    let ended = |id: &str| {
        records_with(&worker, Event::Ended)
            .into_iter()
            .find(|r| r.id == id)
    };
    wait_until("expiry of the later task", WAIT_LIMIT, || {
        ended("c/j/later").is_some()
    });

    let started = &records_with(&worker, Event::Started)[0];
    let ended = ended(TASK);
    let outcome = ended.as_ref().map(|record| {
        let state = record.state.as_deref().unwrap_or_default();
        (state, record.time - started.time)
    });
    assert_eq!(outcome, end);
}

// Guards against a violation that is recorded although the first attempt has ended.
#[test]
fn second_attempt_after_the_end_of_the_first_is_no_violation() {
    let dir = TestDir::new("worker-moved");
    let workers = Standin::start(&dir, "workers", &["--count", "2"]);
    for (index, attempt) in [(0, 0), (1, 1)] {
        let address = workers.address(index);
        let token = grant(address, "e1");
        assert_eq!(
            start(address, &start_request(token, TASK, attempt)).status,
            200
        );
        assert_eq!(command(address, "stop", token, TASK, attempt).status, 200);
    }
    assert!(records_with(&workers, Event::Violation).is_empty());
}

// Guards against a start that has no effect because its answer is dropped.
#[test]
fn start_with_a_dropped_answer_takes_effect() {
    let dir = TestDir::new("worker-lost-start");
    let (worker, token) = start_worker(&dir, &[]);
    worker.set(json!({"lose_answers": 1}));
    let request = start_request(token, TASK, 0);
    let lost = Client::new().post_json(worker.address(0), "/tasks", &request);
    assert!(lost.is_err(), "{lost:?}");
    let repeated: StartReply = start(worker.address(0), &request).ok();
    assert_eq!(repeated.state, StartState::Already);
    assert_eq!(records_with(&worker, Event::Started).len(), 1);
}

// Guards against a command that has no effect because its answer is dropped, and against another
// answer when the command is repeated.
#[parameterized(
    checkpoint = { "checkpoint", TaskState::Checkpointed },
    throttle = { "throttle", TaskState::Throttled },
    stop = { "stop", TaskState::Stopped },
)]
fn command_with_a_dropped_answer_takes_effect(name: &str, expected: TaskState) {
    let dir = TestDir::new("worker-lost-command");
    let (worker, token) = start_worker(&dir, &[]);
    assert_eq!(
        start(worker.address(0), &start_request(token, TASK, 0)).status,
        200
    );
    worker.set(json!({"lose_answers": 1}));
    let body = json!({"token": token, "task": TASK, "attempt": 0});
    let path = format!("/tasks/{name}");
    let lost = Client::new().post_json(worker.address(0), &path, &body);
    assert!(lost.is_err(), "{lost:?}");
    assert_eq!(attempt_state(&worker, token, 0), Some(expected));
    let repeated: TaskReply = command(worker.address(0), name, token, TASK, 0).ok();
    assert_eq!(repeated.state, expected);
    assert_eq!(repeated.checkpoint.is_some(), name == "checkpoint");
}

// Guards against commands whose answer differs from the state of the attempt, or that end it twice.
#[parameterized(
    checkpoint = { "checkpoint", TaskState::Checkpointed, true },
    throttle = { "throttle", TaskState::Throttled, false },
    stop = { "stop", TaskState::Stopped, false },
)]
fn command_changes_the_state_once(name: &str, expected: TaskState, checkpoint: bool) {
    let dir = TestDir::new("worker-command");
    let (worker, token) = start_worker(&dir, &[]);
    assert_eq!(
        start(worker.address(0), &start_request(token, TASK, 0)).status,
        200
    );
    let first: TaskReply = command(worker.address(0), name, token, TASK, 0).ok();
    let again: TaskReply = command(worker.address(0), name, token, TASK, 0).ok();
    assert_eq!((first.state, again.state), (expected, expected));
    assert_eq!(first.checkpoint.is_some(), checkpoint);
    assert_eq!(again.checkpoint, first.checkpoint);
    assert_eq!(attempt_state(&worker, token, 0), Some(expected));
    assert_eq!(
        records_with(&worker, Event::Ended).len(),
        usize::from(expected.has_ended())
    );
}

// Guards against commands from an earlier holder or for an unknown attempt that take effect.
#[parameterized(
    stale_token = { Token(1), 0, 409, "stale_token" },
    unknown_attempt = { Token(0), 1, 404, "unknown_task" },
)]
fn invalid_command_is_refused(token: Token, attempt: u32, status: u16, error: &str) {
    let dir = TestDir::new("worker-refused");
    let (worker, newest) = start_worker(&dir, &[]);
    assert_eq!(
        start(worker.address(0), &start_request(newest, TASK, 0)).status,
        200
    );
    // Token 0 stands for the newest token, which the test cases cannot contain.
    let token = if token == Token(0) { newest } else { token };
    for name in ["checkpoint", "throttle", "stop"] {
        let reply = command(worker.address(0), name, token, TASK, attempt);
        assert_eq!((reply.status, reply.error().as_str()), (status, error));
    }
    assert_eq!(attempt_state(&worker, newest, 0), Some(TaskState::Running));
}

// Guards against a switch `fail_starts` that lets the task run, or that affects other workers.
#[test]
fn failing_worker_refuses_every_start() {
    let dir = TestDir::new("worker-fail-starts");
    let workers = Standin::start(&dir, "workers", &["--count", "2"]);
    workers.set_host(0, json!({"fail_starts": true}));
    for (index, status) in [(0, 500), (1, 200)] {
        let token = grant(workers.address(index), "e1");
        let reply = start(workers.address(index), &start_request(token, TASK, 0));
        assert_eq!(reply.status, status, "{}", reply.text());
    }
    assert_eq!(records_with(&workers, Event::Started).len(), 1);
}

// Guards against a task that runs on two workers at the same time without a recorded violation.
#[parameterized(
    same_attempt = { 0 },
    next_attempt = { 1 },
)]
fn concurrent_runs_of_a_task_are_recorded(attempt: u32) {
    let dir = TestDir::new("worker-duplicate");
    let workers = Standin::start(&dir, "workers", &["--count", "2"]);
    for (index, attempt) in [(0, 0), (1, attempt)] {
        let token = grant(workers.address(index), "e1");
        let reply = start(workers.address(index), &start_request(token, TASK, attempt));
        assert_eq!(reply.status, 200);
    }
    let violations = records_with(&workers, Event::Violation);
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].state.as_deref(), Some("duplicate_run"));
    assert_eq!(violations[0].host, workers.name(1));
}

// Guards against a crash or restart after which tasks still run or are still reported.
#[parameterized(
    restart = { json!({"restart": true}) },
    crash = { json!({"crash": true}) },
)]
fn crash_ends_all_tasks(patch: Value) {
    let dir = TestDir::new("worker-restart");
    let (worker, token) = start_worker(&dir, &[]);
    assert_eq!(
        start(worker.address(0), &start_request(token, TASK, 0)).status,
        200
    );
    worker.set(patch);
    let ends = records_with(&worker, Event::Ended);
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].state.as_deref(), Some("crashed"));
    worker.set(json!({"crash": false}));
    let token = grant(worker.address(0), "e2");
    assert!(renew(worker.address(0), token).report.tasks.is_empty());
}

// Guards against a crashed worker that still answers, and against a crash that affects others.
#[test]
fn crashed_worker_closes_connections() {
    let dir = TestDir::new("worker-crash");
    let worker = Standin::start(&dir, "workers", &["--count", "2"]);
    worker.set_host(0, json!({"crash": true}));
    let request = lease_request("e1", None);
    let call = |index| Client::new().post_json(worker.address(index), "/lease", &request);
    assert!(call(0).is_err());
    assert_eq!(call(1).unwrap().status, 200);
}

// Guards against a start of an earlier holder that arrives late and takes effect.
#[test]
fn late_start_of_an_earlier_holder_is_refused() {
    let dir = TestDir::new("worker-delay");
    let (worker, token) = start_worker(&dir, &[]);
    let address = worker.address(0);
    worker.set(json!({"holds": ["e1"]}));
    std::thread::scope(|scope| {
        let client = Client::new().with_header("client", "e1");
        let request = start_request(token, TASK, 0);
        let late = scope.spawn(move || client.post_json(address, "/tasks", &request));
        wait_until("the start that is held back", WAIT_LIMIT, || {
            worker.waiting(0) == 1
        });
        assert_eq!(release(address, token).status, 200);
        grant(address, "e2");
        worker.set(json!({"holds": []}));
        let reply = late.join().unwrap().unwrap();
        assert_eq!((reply.status, reply.error().as_str()), (409, "stale_token"));
    });
    assert!(records_with(&worker, Event::Started).is_empty());
}

// Guards against a frozen worker that answers or drops requests, and against a freeze that affects
// others.
#[test]
fn frozen_worker_answers_after_the_freeze() {
    let dir = TestDir::new("worker-freeze");
    let workers = Standin::start(&dir, "workers", &["--count", "2"]);
    let token = grant(workers.address(0), "e1");
    workers.set_host(0, json!({"freeze": true}));
    std::thread::scope(|scope| {
        let address = workers.address(0);
        let waiting = scope.spawn(move || start(address, &start_request(token, TASK, 0)).status);
        wait_until("the start that is held back", WAIT_LIMIT, || {
            workers.waiting(0) == 1
        });
        grant(workers.address(1), "e1");
        assert!(records_with(&workers, Event::Started).is_empty());
        workers.set_host(0, json!({"freeze": false}));
        assert_eq!(waiting.join().unwrap(), 200);
    });
    assert_eq!(records_with(&workers, Event::Started).len(), 1);
}

// A lease request waits when a crash or restart closes its connection. Guards against the request
// taking effect later.
#[parameterized(
    crash = { json!({"crash": true}) },
    restart = { json!({"restart": true}) },
)]
fn held_back_lease_request_is_dropped(patch: Value) {
    let dir = TestDir::new("worker-held");
    let (worker, _) = start_worker(&dir, &[]);
    worker.set(json!({"freeze": true}));
    std::thread::scope(|scope| {
        let address = worker.address(0);
        let lost = scope
            .spawn(move || Client::new().post_json(address, "/lease", &lease_request("e1", None)));
        wait_until("the lease request that is held back", WAIT_LIMIT, || {
            worker.waiting(0) == 1
        });
        worker.set(patch);
        assert!(lost.join().unwrap().is_err());
    });
    wait_until("the end of the lease request", WAIT_LIMIT, || {
        worker.waiting(0) == 0
    });
    assert_eq!(records_with(&worker, Event::Granted).len(), 1);
}
