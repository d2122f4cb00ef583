use jayfork::base::{Size, Token};
use jayfork::connection::wire::{LeaseReply, StartReply, StartState, TaskReply, TaskState};
use serde_json::{Value, json};
use yare::parameterized;

use crate::calls::{
    LONG_MS, WAIT_LIMIT, acknowledge, command, entry, grant, lease, lease_request, release, renew,
    start, start_request,
};
use crate::support::{Client, Event, Record, Standin, TestDir, wait_until};

pub const TASK: &str = "c/j/0";

/// Starts one worker and takes its lease.
pub fn worker(dir: &TestDir, args: &[&str]) -> (Standin, Token) {
    let worker = Standin::start(dir, "workers", args);
    let token = grant(worker.address(0), "e1");
    (worker, token)
}

fn state(worker: &Standin, token: Token, attempt: u32) -> Option<TaskState> {
    entry(worker.address(0), token, TASK, attempt).map(|entry| entry.state)
}

pub fn records_with(worker: &Standin, event: Event) -> Vec<Record> {
    let records = worker.records().into_iter();
    records.filter(|record| record.event == event).collect()
}

// Guards against an overcommitted worker in any dimension, and against refusals of what fits.
#[parameterized(
    fills_it = { Size::new(4000, 4096, 2), true },
    processors = { Size::new(4001, 1, 0), false },
    memory = { Size::new(1, 4097, 0), false },
    accelerators = { Size::new(1, 1, 3), false },
)]
fn capacity_holds_in_every_dimension(size: Size, fits: bool) {
    let dir = TestDir::new("worker-capacity");
    let args = [
        "--processors",
        "5000",
        "--memory",
        "5120",
        "--accelerators",
        "3",
    ];
    let (worker, token) = worker(&dir, &args);
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
    assert_eq!(state(&worker, token, 0), None);
}

// Guards against capacity that stays taken after a task ended.
#[test]
fn ended_task_frees_its_capacity() {
    let dir = TestDir::new("worker-free");
    let (worker, token) = worker(&dir, &["--processors", "1000"]);
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

// Guards against a repeated start that runs the attempt twice.
#[test]
fn repeated_start_is_idempotent() {
    let dir = TestDir::new("worker-repeat");
    let (worker, token) = worker(&dir, &[]);
    let request = start_request(token, TASK, 0);
    let first: StartReply = start(worker.address(0), &request).ok();
    let second: StartReply = start(worker.address(0), &request).ok();
    assert_eq!(
        (first.state, second.state),
        (StartState::Started, StartState::Already)
    );
    assert_eq!(records_with(&worker, Event::Started).len(), 1);
}

// Guards against an ended attempt that can be started again while it must be remembered.
#[test]
fn ended_attempt_is_remembered_until_after_its_acknowledgement() {
    let dir = TestDir::new("worker-remember");
    let (worker, token) = worker(&dir, &[]);
    let request = start_request(token, TASK, 0);
    assert_eq!(start(worker.address(0), &request).status, 200);
    // An early acknowledgement must not count for the end that follows it.
    acknowledge(worker.address(0), token, TASK, 0);
    worker.set(json!({"remember_ms": 0}));
    assert_eq!(
        command(worker.address(0), "stop", token, TASK, 0).status,
        200
    );
    assert_eq!(state(&worker, token, 0), Some(TaskState::Stopped));

    worker.set(json!({"remember_ms": LONG_MS}));
    acknowledge(worker.address(0), token, TASK, 0);
    let reply = start(worker.address(0), &request);
    assert_eq!((reply.status, reply.error().as_str()), (409, "ended"));
    assert_eq!(state(&worker, token, 0), Some(TaskState::Stopped));

    worker.set(json!({"remember_ms": 0}));
    assert_eq!(state(&worker, token, 0), None);
}

// Guards against run leases that never lapse or that lapse although they are renewed.
#[parameterized(
    not_renewed = { false, 0, Some(("lapsed", 1000)) },
    not_renewed_with_an_end = { false, 100_000, Some(("lapsed", 1000)) },
    renewed = { true, 0, None },
    ends_before = { false, 400, Some(("succeeded", 400)) },
)]
fn run_lease_lapses_unless_renewed(renew_tasks: bool, run: u64, end: Option<(&str, u64)>) {
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

    // A task that starts later and lapses shows that the time of the first one has come.
    request.run_ttl = 1000;
    request.renew_tasks = false;
    assert_eq!(lease(address, &request).status, 200);
    let witness = start_request(granted.token, "c/j/witness", 0);
    assert_eq!(start(address, &witness).status, 200);
    let ended = |id: &str| {
        records_with(&worker, Event::Ended)
            .into_iter()
            .find(|r| r.id == id)
    };
    wait_until("lapse of the witness", WAIT_LIMIT, || {
        ended("c/j/witness").is_some()
    });

    let started = &records_with(&worker, Event::Started)[0];
    let ended = ended(TASK);
    let seen = ended.as_ref().map(|record| {
        let state = record.state.as_deref().unwrap_or_default();
        (state, record.time - started.time)
    });
    assert_eq!(seen, end);
}

// Guards against marks on work that was moved properly.
#[test]
fn second_attempt_after_the_first_ended_is_not_marked() {
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

// Guards against a lost answer that also loses its effect.
#[test]
fn lost_start_answer_takes_effect() {
    let dir = TestDir::new("worker-lost-start");
    let (worker, token) = worker(&dir, &[]);
    worker.set(json!({"lose_answers": 1}));
    let request = start_request(token, TASK, 0);
    let lost = Client::new().post_json(worker.address(0), "/tasks", &request);
    assert!(lost.is_err(), "{lost:?}");
    let repeated: StartReply = start(worker.address(0), &request).ok();
    assert_eq!(repeated.state, StartState::Already);
    assert_eq!(records_with(&worker, Event::Started).len(), 1);
}

// Guards against a lost answer that also loses its effect, and against a repeated command that
// answers another state.
#[parameterized(
    checkpoint = { "checkpoint", TaskState::Checkpointed },
    throttle = { "throttle", TaskState::Throttled },
    stop = { "stop", TaskState::Stopped },
)]
fn lost_command_answer_takes_effect(name: &str, expected: TaskState) {
    let dir = TestDir::new("worker-lost-command");
    let (worker, token) = worker(&dir, &[]);
    assert_eq!(
        start(worker.address(0), &start_request(token, TASK, 0)).status,
        200
    );
    worker.set(json!({"lose_answers": 1}));
    let body = json!({"token": token, "task": TASK, "attempt": 0});
    let path = format!("/tasks/{name}");
    let lost = Client::new().post_json(worker.address(0), &path, &body);
    assert!(lost.is_err(), "{lost:?}");
    assert_eq!(state(&worker, token, 0), Some(expected));
    let repeated: TaskReply = command(worker.address(0), name, token, TASK, 0).ok();
    assert_eq!(repeated.state, expected);
    assert_eq!(repeated.checkpoint.is_some(), name == "checkpoint");
}

// Guards against commands that leave the attempt in another state than they answer.
#[parameterized(
    checkpoint = { "checkpoint", TaskState::Checkpointed, true },
    throttle = { "throttle", TaskState::Throttled, false },
    stop = { "stop", TaskState::Stopped, false },
)]
fn command_changes_the_state_once(name: &str, expected: TaskState, checkpoint: bool) {
    let dir = TestDir::new("worker-command");
    let (worker, token) = worker(&dir, &[]);
    assert_eq!(
        start(worker.address(0), &start_request(token, TASK, 0)).status,
        200
    );
    let first: TaskReply = command(worker.address(0), name, token, TASK, 0).ok();
    let again: TaskReply = command(worker.address(0), name, token, TASK, 0).ok();
    assert_eq!((first.state, again.state), (expected, expected));
    assert_eq!(first.checkpoint.is_some(), checkpoint);
    assert_eq!(again.checkpoint, first.checkpoint);
    assert_eq!(state(&worker, token, 0), Some(expected));
    assert_eq!(
        records_with(&worker, Event::Ended).len(),
        usize::from(expected.has_ended())
    );
}

// Guards against commands that take effect for an old holder or an unknown attempt.
#[parameterized(
    stale_token = { Token(1), 0, 409, "stale_token" },
    unknown_attempt = { Token(0), 1, 404, "unknown_task" },
)]
fn command_is_refused(token: Token, attempt: u32, status: u16, error: &str) {
    let dir = TestDir::new("worker-refused");
    let (worker, newest) = worker(&dir, &[]);
    assert_eq!(
        start(worker.address(0), &start_request(newest, TASK, 0)).status,
        200
    );
    // 0 stands for the newest token, which a test case cannot know.
    let token = if token == Token(0) { newest } else { token };
    for name in ["checkpoint", "throttle", "stop"] {
        let reply = command(worker.address(0), name, token, TASK, attempt);
        assert_eq!((reply.status, reply.error().as_str()), (status, error));
    }
    assert_eq!(state(&worker, newest, 0), Some(TaskState::Running));
}

// Guards against a failed start that ran, or that hits other workers.
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

// Guards against a task that runs on two workers without a mark.
#[parameterized(
    same_attempt = { 0 },
    next_attempt = { 1 },
)]
fn duplicate_run_is_marked(attempt: u32) {
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

// Guards against a restart that keeps tasks, and against one that goes on running them.
#[parameterized(
    restart = { json!({"restart": true}) },
    crash = { json!({"crash": true}) },
)]
fn lost_memory_ends_all_tasks(patch: Value) {
    let dir = TestDir::new("worker-restart");
    let (worker, token) = worker(&dir, &[]);
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

// Guards against a crashed host that still answers.
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

// Guards against a start that arrives late and takes effect for an old holder.
#[test]
fn delayed_start_is_fenced() {
    let dir = TestDir::new("worker-delay");
    let (worker, token) = worker(&dir, &[]);
    let address = worker.address(0);
    worker.set(json!({"holds": ["e1"]}));
    std::thread::scope(|scope| {
        let client = Client::new().with_header("client", "e1");
        let request = start_request(token, TASK, 0);
        let late = scope.spawn(move || client.post_json(address, "/tasks", &request));
        wait_until("the held start", WAIT_LIMIT, || worker.waiting(0) == 1);
        assert_eq!(release(address, token).status, 200);
        grant(address, "e2");
        worker.set(json!({"holds": []}));
        let reply = late.join().unwrap().unwrap();
        assert_eq!((reply.status, reply.error().as_str()), (409, "stale_token"));
    });
    assert!(records_with(&worker, Event::Started).is_empty());
}

// Guards against a frozen host that answers, loses calls, or freezes other hosts.
#[test]
fn frozen_worker_answers_after_it_thaws() {
    let dir = TestDir::new("worker-freeze");
    let workers = Standin::start(&dir, "workers", &["--count", "2"]);
    let token = grant(workers.address(0), "e1");
    workers.set_host(0, json!({"freeze": true}));
    std::thread::scope(|scope| {
        let address = workers.address(0);
        let waiting = scope.spawn(move || start(address, &start_request(token, TASK, 0)).status);
        wait_until("the waiting start", WAIT_LIMIT, || workers.waiting(0) == 1);
        grant(workers.address(1), "e1");
        assert!(records_with(&workers, Event::Started).is_empty());
        workers.set_host(0, json!({"freeze": false}));
        assert_eq!(waiting.join().unwrap(), 200);
    });
    assert_eq!(records_with(&workers, Event::Started).len(), 1);
}

// Guards against a call that takes effect after its host lost its connections.
#[parameterized(
    crash = { json!({"crash": true}) },
    restart = { json!({"restart": true}) },
)]
fn held_lease_call_is_lost(patch: Value) {
    let dir = TestDir::new("worker-held");
    let (worker, _) = worker(&dir, &[]);
    worker.set(json!({"freeze": true}));
    std::thread::scope(|scope| {
        let address = worker.address(0);
        let lost = scope
            .spawn(move || Client::new().post_json(address, "/lease", &lease_request("e1", None)));
        wait_until("the held call", WAIT_LIMIT, || worker.waiting(0) == 1);
        worker.set(patch);
        assert!(lost.join().unwrap().is_err());
    });
    wait_until("the end of the call", WAIT_LIMIT, || worker.waiting(0) == 0);
    assert_eq!(records_with(&worker, Event::Granted).len(), 1);
}
