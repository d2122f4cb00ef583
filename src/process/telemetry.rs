//! Metrics of the process in the Prometheus text format.

use std::fs;

use metrics::{
    SharedString, Unit, counter, describe_counter, describe_gauge, describe_histogram, gauge,
    histogram,
};
use metrics_exporter_prometheus::{
    BuildError, Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

use crate::base::{Millis, Name};

pub const ANSWERS: &str = "jayfork_answers_total";
pub const QUEUE_TIME: &str = "jayfork_queue_seconds";
pub const REFUSALS: &str = "jayfork_refusals_total";
pub const EVICTIONS: &str = "jayfork_evictions_total";
pub const EVACUATED: &str = "jayfork_evacuated";
pub const EVACUATING_RUNS: &str = "jayfork_evacuating_runs";
pub const TASKS_AWAITING_EVACUATED: &str = "jayfork_tasks_awaiting_evacuated";
pub const LOST_RUNS: &str = "jayfork_lost_runs_total";
pub const ENDED_JOBS: &str = "jayfork_ended_jobs_total";
pub const LATE_ENDS: &str = "jayfork_late_ends_total";
pub const WORKERS_HEARD_AGAIN: &str = "jayfork_workers_heard_again_total";
pub const ASKED_AGAIN: &str = "jayfork_requests_asked_again_total";
pub const LEASE_EXPIRIES: &str = "jayfork_lease_lapses_total";
pub const LOG_LAG: &str = "jayfork_log_lag_seconds";
pub const APPEND_TIME: &str = "jayfork_append_seconds";
pub const CONTRACT_AGE: &str = "jayfork_contract_age_seconds";
pub const REGION_BYTES: &str = "jayfork_region_bytes_total";
pub const RESIDENT_MEMORY: &str = "jayfork_resident_bytes";

/// Upper bounds of the buckets in seconds. Urgent requests of the existing contracts wait for up to
/// a few seconds.
const QUEUE_BUCKETS: [f64; 11] = [
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 7.3,
];
/// Upper bounds of the buckets in seconds.
const APPEND_BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("metrics recorder: {0}")]
    Build(#[from] BuildError),
    #[error("a metrics recorder is already installed")]
    Installed,
}

pub type Result<T> = std::result::Result<T, Error>;

/// Access to the metrics of a recorder.
#[derive(Clone)]
pub struct Telemetry {
    handle: PrometheusHandle,
}

impl Telemetry {
    /// Installs a recorder for the whole process.
    ///
    /// # Errors
    ///
    /// `Installed` on a second call.
    pub fn install() -> Result<Telemetry> {
        let (recorder, telemetry) = Telemetry::build()?;
        metrics::set_global_recorder(recorder).map_err(|_| Error::Installed)?;
        describe();
        Ok(telemetry)
    }

    /// Builds a recorder without installing it.
    pub fn build() -> Result<(PrometheusRecorder, Telemetry)> {
        let buckets = |name: &str| Matcher::Full(name.to_owned());
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(buckets(QUEUE_TIME), &QUEUE_BUCKETS)?
            .set_buckets_for_metric(buckets(APPEND_TIME), &APPEND_BUCKETS)?
            .build_recorder();
        let handle = recorder.handle();
        Ok((recorder, Telemetry { handle }))
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        if let Some(bytes) = resident_memory() {
            gauge!(RESIDENT_MEMORY).set(bytes as f64);
        }
        self.handle.render()
    }

    /// Moves the collected samples into the histogram buckets.
    ///
    /// To be called every few seconds, since samples take up memory until this or `render` runs.
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}

/// Sets the help texts of all metrics on the current recorder.
pub fn describe() {
    describe_counter!(ANSWERS, "Answers to callers by class and result");
    describe_histogram!(
        QUEUE_TIME,
        Unit::Seconds,
        "Wait of urgent requests for a slot, by class"
    );
    describe_counter!(REFUSALS, "Refused requests and jobs by reason");
    describe_counter!(EVICTIONS, "Evicted tasks by cause");
    describe_gauge!(
        EVACUATED,
        "1 while the operator wants the data centre evacuated, as the owner knows"
    );
    describe_gauge!(
        EVACUATING_RUNS,
        "Runs that are left in an evacuated data centre"
    );
    describe_gauge!(
        TASKS_AWAITING_EVACUATED,
        "Waiting tasks that can start, or have their data, in evacuated data centres only"
    );
    describe_counter!(LOST_RUNS, "Runs counted as lost by cause");
    describe_counter!(
        ENDED_JOBS,
        "Ended jobs by outcome and by status relative to their objective"
    );
    describe_counter!(
        LATE_ENDS,
        "Reported ends of runs that were counted as lost, by ending"
    );
    describe_counter!(
        WORKERS_HEARD_AGAIN,
        "Reports of workers after three or more missed answers"
    );
    describe_counter!(
        ASKED_AGAIN,
        "Repeats of requests with an uncertain attempt, to an owner that had not read the records"
    );
    describe_counter!(
        LEASE_EXPIRIES,
        "Control leases that expired while this host held them"
    );
    describe_gauge!(
        LOG_LAG,
        Unit::Seconds,
        "Time since this host last read the stream to its end"
    );
    describe_histogram!(
        APPEND_TIME,
        Unit::Seconds,
        "Time from an append to its answer, by result"
    );
    describe_gauge!(
        CONTRACT_AGE,
        Unit::Seconds,
        "Time since the contracts were last confirmed"
    );
    describe_counter!(
        REGION_BYTES,
        Unit::Bytes,
        "Bytes to other regions by message kind"
    );
    describe_gauge!(
        RESIDENT_MEMORY,
        Unit::Bytes,
        "Resident memory of the process"
    );
}

/// Counts an answer; `result` is one of a few fixed values such as `in_time`, `late` or `unknown`.
pub fn count_answer(class: impl Into<SharedString>, result: &'static str) {
    counter!(ANSWERS, "class" => class.into(), "result" => result).increment(1);
}

/// Records the wait of an urgent request.
pub fn record_queue_time(class: impl Into<SharedString>, wait: Millis) {
    histogram!(QUEUE_TIME, "class" => class.into()).record(seconds(wait));
}

/// Counts a refused request or job.
pub fn count_refusal(reason: &'static str) {
    counter!(REFUSALS, "reason" => reason).increment(1);
}

/// Counts an evicted task.
pub fn count_eviction(cause: &'static str) {
    counter!(EVICTIONS, "cause" => cause).increment(1);
}

/// Sets whether a data centre is evacuated.
pub fn set_evacuated(data_centre: &Name, is_evacuated: bool) {
    let value = if is_evacuated { 1.0 } else { 0.0 };
    gauge!(EVACUATED, "data_centre" => data_centre.to_string()).set(value);
}

/// Sets the number of runs that are left in an evacuated data centre.
pub fn set_evacuating_runs(data_centre: &Name, runs: usize) {
    gauge!(EVACUATING_RUNS, "data_centre" => data_centre.to_string()).set(runs as f64);
}

/// Sets the number of waiting tasks that could start, or have their data, in evacuated data centres only.
pub fn set_tasks_awaiting_evacuated(tasks: usize) {
    gauge!(TASKS_AWAITING_EVACUATED).set(tasks as f64);
}

/// Counts a run as lost; `cause` is `lease_over`, `stopped`, `not_listed` or `process_ended`.
pub fn count_lost_run(cause: &'static str) {
    counter!(LOST_RUNS, "cause" => cause).increment(1);
}

/// Counts an ended job; `status` is `in_time`, `late`, `overdue` or `untimed`.
pub fn count_ended_job(outcome: &'static str, status: &'static str) {
    counter!(ENDED_JOBS, "outcome" => outcome, "status" => status).increment(1);
}

/// Counts the reported end of a run that was counted as lost.
pub fn count_late_end(ending: &'static str) {
    counter!(LATE_ENDS, "ending" => ending).increment(1);
}

/// Counts a request that is repeated because the owner could not tell what became of an earlier attempt.
pub fn count_asked_again() {
    counter!(ASKED_AGAIN).increment(1);
}

/// Counts a worker that reports after three or more missed answers.
pub fn count_heard_again() {
    counter!(WORKERS_HEARD_AGAIN).increment(1);
}

/// Counts a lease on a worker or an instance that expired while this host held it.
pub fn count_lease_expiry() {
    counter!(LEASE_EXPIRIES).increment(1);
}

/// Sets the time since `stream` was last read to its end.
pub fn set_log_lag(stream: impl Into<SharedString>, lag: Millis) {
    gauge!(LOG_LAG, "stream" => stream.into()).set(seconds(lag));
}

/// Records how long an append took; `result` is `done`, `refused` or `unknown`.
pub fn record_append(result: &'static str, taken: Millis) {
    histogram!(APPEND_TIME, "result" => result).record(seconds(taken));
}

/// Sets the time since the contracts were last read or received from a peer.
pub fn set_contract_age(age: Millis) {
    gauge!(CONTRACT_AGE).set(seconds(age));
}

/// Counts bytes sent to or received from another region; `message` is a kind such as `hello` or
/// `job`.
pub fn count_region_bytes(message: &'static str, bytes: u64) {
    counter!(REGION_BYTES, "message" => message).increment(bytes);
}

/// Resident memory of this process in bytes, from `/proc/self/status`.
pub fn resident_memory() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes * 1_024)
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}
