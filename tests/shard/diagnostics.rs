//! What the log lines and counters tell of a worker that was not heard for a while.

use std::io;
use std::sync::{Arc, Mutex};

use jayfork::process::logging;
use jayfork::process::settings::{Log, LogFormat};
use jayfork::process::telemetry::{self, Telemetry};
use serde_json::Value;
use tracing::Dispatch;
use tracing::subscriber::NoSubscriber;

use super::world::{World, chain, long_running};

#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("the log").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Log lines and metrics of what `run` does.
pub fn observed(run: impl FnOnce()) -> (Vec<Value>, String) {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let log = Log {
        level: "jayfork=debug".to_owned(),
        format: LogFormat::Json,
    };
    let subscriber = logging::subscriber(&log, move || writer.clone()).expect("a valid filter");
    // With a single subscriber, a log line that another test's thread reaches first would stay off for all threads.
    let _other = Dispatch::new(NoSubscriber::new());
    let (recorder, telemetry) = Telemetry::build().expect("a recorder");
    let metrics = metrics::with_local_recorder(&recorder, || {
        telemetry::describe();
        tracing::subscriber::with_default(subscriber, || {
            tracing::callsite::rebuild_interest_cache();
            run();
        });
        telemetry.render()
    });
    let bytes = buffer.0.lock().expect("the log").clone();
    let text = String::from_utf8(bytes).expect("text");
    let lines = text.lines().map(serde_json::from_str);
    (
        lines
            .map(|line: serde_json::Result<Value>| line.expect("JSON"))
            .collect(),
        metrics,
    )
}

/// Guards against logs that don't tell whether a worker's lease expired while it was not heard, whether that
/// ended a run, and which ends became known late.
#[test]
fn the_return_of_a_silent_worker_is_explained() {
    let mut run = None;
    let (lines, metrics) = observed(|| {
        let mut world = World::new(7, 2, 8_000);
        world.claim();
        world.run(500);
        world.submit(1, &long_running(1, 8_000));
        world.run(1_000);
        let silent = world.holder(1);
        run = world.fleet.workers[silent]
            .runs
            .values()
            .map(|r| r.run)
            .next();
        world.fleet.workers[silent].is_unreachable = true;
        world.run(15_000);
        world.fleet.workers[silent].is_unreachable = false;
        world.run(2_000);
        world.assert_no_violations();
    });
    let find = |message: &str| {
        let found: Vec<&Value> = lines
            .iter()
            .filter(|line| line["message"] == message)
            .collect();
        assert!(!found.is_empty(), "{message}");
        found
    };
    let returns = find("worker reports again");
    assert_eq!(returns.len(), 1, "{returns:?}");
    let until = returns[0]["lease_until"].as_u64().expect("a time");
    assert!(until < returns[0]["clock"].as_u64().expect("a time"));
    assert!(returns[0]["misses"].as_u64().expect("a number") >= 3);
    assert_eq!(
        (&returns[0]["running"], &returns[0]["ended"]),
        (&0.into(), &1.into())
    );
    assert_eq!(returns[0]["has_lapsed"], true);
    let worker = &returns[0]["worker"];
    let ends = find("late end of a lost run");
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(
        (&ends[0]["worker"], &ends[0]["ending"]),
        (worker, &"Lapsed".into())
    );
    assert_eq!(ends[0]["run"].as_u64(), run);
    let is_last = |line: &&Value| line["worker"] == *worker && line["until"] == until;
    assert!(find("sending a lease end").iter().any(is_last));
    let acknowledged = find("acknowledging ends");
    assert_eq!(acknowledged[0]["number"], ends[0]["number"]);
    for expected in [
        r#"jayfork_lost_runs_total{cause="lease_over"} 1"#,
        r#"jayfork_late_ends_total{ending="lapsed"} 1"#,
        "jayfork_workers_heard_again_total 1",
    ] {
        assert!(metrics.lines().any(|line| line == expected), "{metrics}");
    }
}

/// Guards against logs and counters that don't tell whether a job ended in time.
#[test]
fn the_end_of_a_job_is_compared_with_its_objective() {
    let (lines, metrics) = observed(|| {
        let mut world = World::new(7, 1, 8_000);
        world.claim();
        world.run(500);
        for (id, runtime) in [(1, 500), (2, 2_500), (3, 6_000)] {
            world.runtimes = runtime..runtime + 1;
            world.submit(id, &chain(&[1], 1_000));
            world.run(1_000);
        }
        world.submit(4, &long_running(1, 1_000));
        world.run(7_000);
        world.cancel(4);
        world.run(1_000);
        world.assert_no_violations();
    });
    let ends: Vec<&Value> = lines
        .iter()
        .filter(|line| line["message"] == "job ends")
        .collect();
    let statuses: Vec<&str> = ends
        .iter()
        .filter_map(|line| line["status"].as_str())
        .collect();
    assert_eq!(
        statuses,
        ["InTime", "Late", "Overdue", "Untimed"],
        "{ends:?}"
    );
    for (end, runtime) in ends.iter().zip([500, 2_500, 6_000]) {
        let open = end["open"].as_u64().expect("a time");
        assert!((runtime..runtime + 1_000).contains(&open), "{end}");
        assert!(end["objective"].as_u64().is_some(), "{end}");
    }
    assert!(ends[3]["objective"].is_null(), "{ends:?}");
    for (outcome, status) in [
        ("completed", "in_time"),
        ("completed", "late"),
        ("completed", "overdue"),
        ("cancelled", "untimed"),
    ] {
        let expected =
            format!(r#"jayfork_ended_jobs_total{{outcome="{outcome}",status="{status}"}} 1"#);
        assert!(metrics.lines().any(|line| line == expected), "{metrics}");
    }
}
