//! How long tasks run on workers, what they use and how they end.

use std::time::Duration;

use jayfork::base::Size;
use jayfork::connection::wire::TaskReply;
use serde_json::{Value, json};
use yare::parameterized;

use crate::calls::{WAIT_LIMIT, command, grant, renew, report_entry, start, start_request};
use crate::support::{Event, Record, Standin, TestDir, wait_for, wait_until};
use crate::workers::{TASK, records_with, start_worker};

/// Waits until a task has ended; returns the record of the first end.
fn wait_for_end(worker: &Standin) -> Record {
    wait_for("end of a task", WAIT_LIMIT, || {
        records_with(worker, Event::Ended).into_iter().next()
    })
}

// Guards against run times that are all equal, exceed the spread, or differ between runs with the
// same seed.
#[test]
fn run_times_depend_only_on_the_seed() {
    let dir = TestDir::new("worker-spread");
    let run_times = |seed: &str| -> Vec<u64> {
        let (worker, token) = start_worker(&dir, &["--seed", seed]);
        worker.set(json!({"default_class": {"spread_percent": 50, "run_ms": 200}}));
        for index in 0..10 {
            let request = start_request(token, &format!("c/j/{index}"), 0);
            assert_eq!(start(worker.address(0), &request).status, 200);
        }
        wait_until("the end of all tasks", WAIT_LIMIT, || {
            records_with(&worker, Event::Ended).len() == 10
        });
        let mut ends = records_with(&worker, Event::Ended);
        ends.sort_by(|a, b| a.id.cmp(&b.id));
        let starts = records_with(&worker, Event::Started);
        ends.iter()
            .zip(starts)
            .map(|(end, start)| end.time - start.time)
            .collect()
    };
    let first = run_times("7");
    assert!(
        first.iter().all(|time| (100..=300).contains(time)),
        "{first:?}"
    );
    assert!(first.iter().any(|time| *time != first[0]), "{first:?}");
    assert_eq!(run_times("7"), first);
    assert_ne!(run_times("8"), first);
}

// Guards against a reported usage that is equal for all tasks or exceeds the spread.
#[test]
fn usage_varies_within_the_spread() {
    let dir = TestDir::new("worker-spread-use");
    let (worker, token) = start_worker(&dir, &["--report-lag-ms", "0", "--report-every-ms", "1"]);
    worker.set(json!({"default_class": {"spread_percent": 50}}));
    for index in 0..10 {
        let request = start_request(token, &format!("c/j/{index}"), 0);
        assert_eq!(start(worker.address(0), &request).status, 200);
    }
    let usage = wait_for("all measurements", WAIT_LIMIT, || -> Option<Vec<Size>> {
        let tasks = renew(worker.address(0), token).report.tasks;
        tasks.into_iter().map(|task| task.usage).collect()
    });
    let processors: Vec<u32> = usage.iter().map(|usage| usage.processors).collect();
    assert!(
        processors.iter().all(|used| (500..=1500).contains(used)),
        "{usage:?}"
    );
    assert!(
        processors.iter().any(|used| *used != processors[0]),
        "{usage:?}"
    );
}

// Tests rely on the run times of the model. Guards against tasks that run for a different time.
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
    let (worker, token) = start_worker(&dir, &[]);
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
    let end = wait_for_end(&worker);
    let records = worker.records();
    let time = |event| records.iter().find(|r| r.event == event).map(|r| r.time);
    let started = time(Event::Started).unwrap();
    // The task runs at full speed until it is throttled, and at half speed afterwards.
    let until_throttle = time(Event::Throttled).map_or(0, |time| time - started);
    assert_eq!(end.time - started, expected - until_throttle);
    assert_eq!(end.state.as_deref(), Some("succeeded"));
}

// Guards against a task that starts from the beginning although it resumes from a checkpoint of
// another worker.
#[test]
fn checkpointed_task_resumes_on_another_worker() {
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
    wait_until("the end of both attempts", WAIT_LIMIT, || {
        records_with(&workers, Event::Ended).len() == 2
    });
    let times = |event| -> Vec<u64> {
        records_with(&workers, event)
            .iter()
            .map(|r| r.time)
            .collect()
    };
    let (started, ended) = (times(Event::Started), times(Event::Ended));
    let run: u64 = ended.iter().sum::<u64>() - started.iter().sum::<u64>();
    assert_eq!(run, 1000);
    assert!(ended[0] - started[0] >= 20);
}

// Guards against switches for failing tasks that have no effect, or that affect other tasks.
#[parameterized(
    named = { json!({"fail_tasks": [TASK]}), "failed" },
    other_named = { json!({"fail_tasks": ["c/j/1"]}), "succeeded" },
    whole_class = { json!({"classes": {"merge": {"fail_percent": 100}}}), "failed" },
)]
fn task_fails_as_the_switch_says(patch: Value, expected: &str) {
    let dir = TestDir::new("worker-fail");
    let (worker, token) = start_worker(&dir, &[]);
    worker.set(patch);
    let mut request = start_request(token, TASK, 0);
    request.run = 10;
    assert_eq!(start(worker.address(0), &request).status, 200);
    assert_eq!(wait_for_end(&worker).state.as_deref(), Some(expected));
}

// Guards against usage that is reported before its minimum age, or that differs from the usage of
// the model.
#[test]
fn usage_is_reported_late_and_follows_the_model() {
    let dir = TestDir::new("worker-usage");
    let args = ["--report-lag-ms", "200", "--report-every-ms", "100"];
    let (worker, token) = start_worker(&dir, &args);
    worker.set(json!({"classes": {"merge": {"use_percent": 150}}}));
    assert_eq!(
        start(worker.address(0), &start_request(token, TASK, 0)).status,
        200
    );
    let usage = || {
        report_entry(worker.address(0), token, TASK, 0)
            .unwrap()
            .usage
    };
    let started = records_with(&worker, Event::Started)[0].time;
    let measured = wait_for("first measurement", WAIT_LIMIT, usage);
    let report = renew(worker.address(0), token).report;
    let probe = start_request(token, "c/j/probe", 0);
    assert_eq!(start(worker.address(0), &probe).status, 200);
    assert!(records_with(&worker, Event::Started)[1].time - started >= 200);
    assert_eq!(measured, Size::new(1500, 1536, 0));
    assert!(
        (200..=300).contains(&report.measured),
        "{}",
        report.measured
    );
    worker.set(json!({"noisy": 200}));
    wait_until("the usage under interference", WAIT_LIMIT, || {
        usage() == Some(Size::new(3000, 3072, 0))
    });
}
