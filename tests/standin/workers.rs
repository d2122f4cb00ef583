use std::time::Duration;

use jayfork::base::{Size, Token};
use jayfork::connection::wire::{StartReply, StartState, TaskReply, TaskState};
use serde_json::{Value, json};
use yare::parameterized;

use crate::calls::{
    LONG, SOON, acknowledge, command, entry, grant, lease, lease_request, release, renew, start,
    start_request,
};
use crate::support::{Client, Event, Record, Standin, TestDir, eventually, until};

const TASK: &str = "c/j/0";

/// Starts one worker and takes its lease.
fn worker(dir: &TestDir, args: &[&str]) -> (Standin, Token) {
    let worker = Standin::start(dir, "workers", args);
    let token = grant(worker.address(0), "e1");
    (worker, token)
}

fn state(worker: &Standin, token: Token, attempt: u32) -> Option<TaskState> {
    entry(worker.address(0), token, TASK, attempt).map(|entry| entry.state)
}

fn of(worker: &Standin, event: Event) -> Vec<Record> {
    let records = worker.records().into_iter();
    records.filter(|record| record.event == event).collect()
}

/// Waits for the end of the first task that ends.
fn ended(worker: &Standin) -> Record {
    eventually("end of a task", SOON, || {
        of(worker, Event::Ended).into_iter().next()
    })
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
    let violations = of(&worker, Event::Violation);
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
    assert_eq!(of(&worker, Event::Started).len(), 1);
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

    worker.set(json!({"remember_ms": LONG}));
    acknowledge(worker.address(0), token, TASK, 0);
    let reply = start(worker.address(0), &request);
    assert_eq!((reply.status, reply.error().as_str()), (409, "ended"));
    assert_eq!(state(&worker, token, 0), Some(TaskState::Stopped));

    worker.set(json!({"remember_ms": 0}));
    assert_eq!(state(&worker, token, 0), None);
}

// Guards against run leases that never lapse or that lapse although they are renewed.
#[parameterized(
    not_renewed = { false, true },
    renewed = { true, false },
)]
fn run_lease_lapses_unless_renewed(renew_tasks: bool, lapses: bool) {
    let dir = TestDir::new("worker-run-lease");
    let worker = Standin::start(&dir, "workers", &[]);
    let mut request = lease_request("e1", None);
    request.run_ttl = 1000;
    let token = lease(worker.address(0), &request).ok::<Value>()["token"].as_u64();
    let token = Token(token.unwrap());
    let task = start_request(token, TASK, 0);
    assert_eq!(start(worker.address(0), &task).status, 200);
    // Ends after the run lease of the start: the other task shows that it would have lapsed.
    let mut request = lease_request("e1", Some(token));
    request.run_ttl = if renew_tasks { LONG } else { 1000 };
    request.renew_tasks = renew_tasks;
    assert_eq!(lease(worker.address(0), &request).status, 200);
    let mut witness = lease_request("e1", Some(token));
    witness.run_ttl = 1000;
    assert_eq!(lease(worker.address(0), &witness).status, 200);
    let other = start_request(token, "c/j/witness", 0);
    assert_eq!(start(worker.address(0), &other).status, 200);
    until("lapse of the witness", SOON, || {
        let ended = of(&worker, Event::Ended);
        ended.iter().any(|record| record.id == "c/j/witness")
    });
    let lapsed = of(&worker, Event::Ended)
        .into_iter()
        .find(|record| record.id == TASK);
    assert_eq!(lapsed.is_some(), lapses);
    if let Some(record) = lapsed {
        let started = &of(&worker, Event::Started)[0];
        assert_eq!(record.state.as_deref(), Some("lapsed"));
        assert_eq!(record.time - started.time, 1000);
    }
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
    assert_eq!(of(&worker, Event::Started).len(), 1);
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
        of(&worker, Event::Ended).len(),
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

// Guards against run times that do not follow the model, so that tests cannot rely on them.
#[parameterized(
    declared = { json!({}), false, 400 },
    shorter = { json!({"classes": {"merge": {"run_percent": 50}}}), false, 200 },
    longer = { json!({"classes": {"merge": {"run_percent": 150}}}), false, 600 },
    other_class = { json!({"classes": {"tally": {"run_percent": 50}}}), false, 400 },
    any_class = { json!({"default_class": {"run_percent": 50}}), false, 200 },
    absolute = { json!({"default_class": {"run_ms": 70}}), false, 70 },
    noisy = { json!({"noisy": 200}), false, 800 },
    throttled = { json!({}), true, 800 },
)]
fn task_runs_as_long_as_the_model_says(patch: Value, throttled: bool, expected: u64) {
    let dir = TestDir::new("worker-model");
    let (worker, token) = worker(&dir, &[]);
    worker.set(patch);
    let mut request = start_request(token, TASK, 0);
    request.run = 400;
    assert_eq!(start(worker.address(0), &request).status, 200);
    if throttled {
        assert_eq!(
            command(worker.address(0), "throttle", token, TASK, 0).status,
            200
        );
    }
    let end = ended(&worker);
    let records = worker.records();
    let time = |event| records.iter().find(|r| r.event == event).map(|r| r.time);
    let started = time(Event::Started).unwrap();
    // Full speed until the throttle, half of it afterwards.
    let until_throttle = time(Event::Throttled).map_or(0, |time| time - started);
    assert_eq!(end.time - started, expected - until_throttle);
    assert_eq!(end.state.as_deref(), Some("succeeded"));
}

// Guards against a resumed task that starts over or that resumes on its own worker only.
#[test]
fn checkpointed_task_resumes_elsewhere() {
    let dir = TestDir::new("worker-resume");
    let workers = Standin::start(&dir, "workers", &["--count", "2"]);
    let tokens = [0, 1].map(|index| grant(workers.address(index), "e1"));
    let mut request = start_request(tokens[0], TASK, 0);
    request.run = 1000;
    assert_eq!(start(workers.address(0), &request).status, 200);
    std::thread::sleep(Duration::from_millis(20));
    let reply: TaskReply = command(workers.address(0), "checkpoint", tokens[0], TASK, 0).ok();
    request.token = tokens[1];
    request.attempt = request.attempt.next();
    request.checkpoint = reply.checkpoint;
    assert_eq!(start(workers.address(1), &request).status, 200);
    until("both ends", SOON, || of(&workers, Event::Ended).len() == 2);
    let times = |event| -> Vec<u64> { of(&workers, event).iter().map(|r| r.time).collect() };
    let (started, ended) = (times(Event::Started), times(Event::Ended));
    let run: u64 = ended.iter().sum::<u64>() - started.iter().sum::<u64>();
    assert_eq!(run, 1000);
    assert!(ended[0] - started[0] >= 20);
}

// Guards against failures that cannot be told from successes.
#[parameterized(
    named = { json!({"fail_tasks": [TASK]}), "failed" },
    other_named = { json!({"fail_tasks": ["c/j/1"]}), "succeeded" },
    whole_class = { json!({"classes": {"merge": {"fail_percent": 100}}}), "failed" },
)]
fn task_fails_when_told(patch: Value, expected: &str) {
    let dir = TestDir::new("worker-fail");
    let (worker, token) = worker(&dir, &[]);
    worker.set(patch);
    let mut request = start_request(token, TASK, 0);
    request.run = 10;
    assert_eq!(start(worker.address(0), &request).status, 200);
    assert_eq!(ended(&worker).state.as_deref(), Some(expected));
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
    assert_eq!(of(&workers, Event::Started).len(), 1);
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
    let violations = of(&workers, Event::Violation);
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].state.as_deref(), Some("duplicate_run"));
    assert_eq!(violations[0].host, workers.name(1));
}

// Guards against usage that shows without lag, or that does not follow the true use.
#[test]
fn usage_shows_late_and_follows_the_model() {
    let dir = TestDir::new("worker-usage");
    let args = ["--report-lag-ms", "200", "--report-every-ms", "100"];
    let (worker, token) = worker(&dir, &args);
    worker.set(json!({"classes": {"merge": {"use_percent": 150}}}));
    assert_eq!(
        start(worker.address(0), &start_request(token, TASK, 0)).status,
        200
    );
    let usage = || entry(worker.address(0), token, TASK, 0).unwrap().usage;
    let started = of(&worker, Event::Started)[0].time;
    let measured = eventually("first measurement", SOON, usage);
    let report = renew(worker.address(0), token).report;
    let probe = start_request(token, "c/j/probe", 0);
    assert_eq!(start(worker.address(0), &probe).status, 200);
    assert!(of(&worker, Event::Started)[1].time - started >= 200);
    assert_eq!(measured, Size::new(1500, 1536, 0));
    assert!(
        (200..=300).contains(&report.measured),
        "{}",
        report.measured
    );
    worker.set(json!({"noisy": 200}));
    until("noise", SOON, || usage() == Some(Size::new(3000, 3072, 0)));
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
    assert_eq!(ended(&worker).state.as_deref(), Some("crashed"));
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
        until("the held start", SOON, || worker.waiting(0) == 1);
        assert_eq!(release(address, token).status, 200);
        grant(address, "e2");
        worker.set(json!({"holds": []}));
        let reply = late.join().unwrap().unwrap();
        assert_eq!((reply.status, reply.error().as_str()), (409, "stale_token"));
    });
    assert!(of(&worker, Event::Started).is_empty());
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
        until("the waiting start", SOON, || workers.waiting(0) == 1);
        grant(workers.address(1), "e1");
        assert!(of(&workers, Event::Started).is_empty());
        workers.set_host(0, json!({"freeze": false}));
        assert_eq!(waiting.join().unwrap(), 200);
    });
    assert_eq!(of(&workers, Event::Started).len(), 1);
}

// Guards against a call that took effect after its host crashed.
#[test]
fn start_that_waits_for_a_crashed_worker_is_lost() {
    let dir = TestDir::new("worker-crash-wait");
    let (worker, token) = worker(&dir, &[]);
    worker.set(json!({"freeze": true}));
    std::thread::scope(|scope| {
        let address = worker.address(0);
        let request = start_request(token, TASK, 0);
        let client = Client::new();
        let lost = scope.spawn(move || client.post_json(address, "/tasks", &request));
        until("the waiting start", SOON, || worker.waiting(0) == 1);
        worker.set(json!({"crash": true}));
        assert!(lost.join().unwrap().is_err());
    });
    assert!(of(&worker, Event::Started).is_empty());
}
