//! Metrics and log lines as the tools of operators read them.

use std::io;
use std::sync::{Arc, Mutex};

use jayfork::base::{Attempt, Millis, TaskId};
use jayfork::process::logging;
use jayfork::process::settings::{Log, LogFormat};
use jayfork::process::telemetry::{self, Telemetry};
use yare::parameterized;

/// Text of the metrics after `record` ran with a recorder of its own.
fn rendered(record: impl FnOnce()) -> String {
    let (recorder, telemetry) = Telemetry::build().unwrap();
    metrics::with_local_recorder(&recorder, || {
        telemetry::describe();
        record();
        telemetry.render()
    })
}

/// Guards against a metric that is missing, renamed or in another unit.
#[parameterized(
    answers = { || telemetry::count_answer("proof", "ok"), r#"jayfork_answers_total{class="proof",result="ok"} 1"# },
    queue_bucket = { || telemetry::record_queue_time("proof", Millis(30)), r#"jayfork_queue_seconds_bucket{class="proof",le="0.05"} 1"# },
    queue_lower_bucket = { || telemetry::record_queue_time("proof", Millis(30)), r#"jayfork_queue_seconds_bucket{class="proof",le="0.025"} 0"# },
    queue_sum = { || telemetry::record_queue_time("proof", Millis(30)), r#"jayfork_queue_seconds_sum{class="proof"} 0.03"# },
    refusals = { || telemetry::count_refusal("deadline"), r#"jayfork_refusals_total{reason="deadline"} 1"# },
    evictions = { || telemetry::count_eviction("interference"), r#"jayfork_evictions_total{cause="interference"} 1"# },
    lost_runs = { || telemetry::count_lost_run("lease_over"), r#"jayfork_lost_runs_total{cause="lease_over"} 1"# },
    ended_jobs = { || telemetry::count_ended_job("completed", "late"), r#"jayfork_ended_jobs_total{outcome="completed",status="late"} 1"# },
    late_ends = { || telemetry::count_late_end("done"), r#"jayfork_late_ends_total{ending="done"} 1"# },
    workers_heard_again = { telemetry::count_heard_again, "jayfork_workers_heard_again_total 1" },
    asked_again = { telemetry::count_asked_again, "jayfork_requests_asked_again_total 1" },
    lease_expiries = { telemetry::count_lease_expiry, "jayfork_lease_lapses_total 1" },
    log_lag = { || telemetry::set_log_lag("contracts", Millis(1_500)), r#"jayfork_log_lag_seconds{stream="contracts"} 1.5"# },
    appends = { || telemetry::record_append("ok", Millis(7)), r#"jayfork_append_seconds_count{result="ok"} 1"# },
    contract_age = { || telemetry::set_contract_age(Millis(250)), "jayfork_contract_age_seconds 0.25" },
    region_bytes = { || { telemetry::count_region_bytes("hello", 100); telemetry::count_region_bytes("hello", 20); }, r#"jayfork_region_bytes_total{message="hello"} 120"# },
)]
fn renders_each_metric(record: fn(), expected: &str) {
    let text = rendered(record);
    assert!(
        text.lines().any(|line| line == expected),
        "{expected} in\n{text}"
    );
}

/// Guards against metrics without a type or a help text.
#[test]
fn describes_metrics() {
    let text = rendered(|| telemetry::count_refusal("quota"));
    assert!(
        text.contains("# TYPE jayfork_refusals_total counter"),
        "{text}"
    );
    assert!(
        text.contains("# HELP jayfork_refusals_total Refused"),
        "{text}"
    );
}

/// Guards against a resident memory that is reported in a wrong unit.
#[test]
fn reports_resident_memory() {
    let bytes = telemetry::resident_memory().unwrap();
    assert!((1 << 20..1 << 30).contains(&bytes), "{bytes}");
    assert!(rendered(|| ()).contains("\njayfork_resident_bytes "));
}

/// Guards against label values that are not escaped and so break the text format.
#[test]
fn escapes_labels() {
    let text = rendered(|| telemetry::count_answer("a\"b\n", "ok"));
    assert!(text.contains(r#"class="a\"b\n""#), "{text}");
}

#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Text of the log lines that `write` produces under a subscriber of its own.
fn logged(level: &str, format: LogFormat, write: impl FnOnce()) -> String {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let log = Log {
        level: level.to_owned(),
        format,
    };
    let subscriber = logging::subscriber(&log, move || writer.clone()).unwrap();
    tracing::subscriber::with_default(subscriber, write);
    let bytes = buffer.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

/// Guards against JSON log lines without the fields by which a log collector searches for a task.
#[test]
fn json_lines_carry_ids() {
    let text = logged("info", LogFormat::Json, || {
        let task = TaskId::new("vltava-merge", "club-7", 3);
        let _task = logging::task_span(&task, Attempt(1)).entered();
        tracing::info!(worker = "w12", "task started");
    });
    let line: serde_json::Value = serde_json::from_str(text.trim()).unwrap();
    assert_eq!(line["message"], "task started");
    assert_eq!(line["worker"], "w12");
    assert_eq!(line["span"]["name"], "task");
    assert_eq!(line["span"]["task"], "vltava-merge/club-7/3");
    assert_eq!(line["span"]["attempt"], 1);
}

/// Guards against log lines in the human format without the request and contract ids.
#[test]
fn human_lines_carry_ids() {
    let text = logged("info", LogFormat::Human, || {
        let _contract = logging::contract_span("vltava-proofs", 4).entered();
        let _request = logging::request_span("r-9", "vltava-proofs", "proof").entered();
        tracing::warn!("request refused");
    });
    for part in ["request refused", "r-9", "version=4", "WARN"] {
        assert!(text.contains(part), "{part:?} in {text}");
    }
}

/// Guards against a log level that has no effect.
#[test]
fn filters_by_level() {
    let text = logged("telemetry=warn", LogFormat::Human, || {
        tracing::info!("hidden");
        tracing::warn!("shown");
    });
    assert!(!text.contains("hidden") && text.contains("shown"), "{text}");
}

/// Guards against an invalid filter that is accepted and silently logs nothing.
#[test]
fn refuses_a_bad_filter() {
    let log = Log {
        level: "x=loud".to_owned(),
        format: LogFormat::Human,
    };
    let error = logging::subscriber(&log, io::stderr).err().unwrap();
    assert!(error.to_string().contains("x=loud"), "{error}");
}
