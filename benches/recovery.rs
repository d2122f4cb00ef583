//! Time and memory that a host needs to recover from the log, and the cost of its work in steady
//! state.
//!
//! `cargo bench --bench recovery` runs each number of tasks in a process of its own.

use std::collections::HashMap;
use std::process::Command;
use std::time::{Duration, Instant};

use jayfork::base::{Attempt, Millis, Name, Offset, Size, TaskId, Token};
use jayfork::connection::wire::{StartState, TaskEntry, TaskState, WorkerReport};
use jayfork::connection::{Grant, Lease};
use jayfork::request::{DispatchAction, DispatchView, Dispatcher, HeldWorker};
use jayfork::version::{
    AppendOutcome, Batch, Journal, Ledger, LedgerTiming, Outcome, Record, TaskSpec,
};

/// Log time of all batches, in ms since the Unix epoch.
const START_TIME: u64 = 1_700_000_000_000;
/// Numbers of tasks to recover.
const TASK_COUNTS: [u32; 3] = [1_000, 10_000, 100_000];
/// Tasks of a data centre at its target size, and how many of them each worker runs.
const TARGET_TASKS: u32 = 12_000;
const TASKS_PER_WORKER: u32 = 20;
/// Processes for each number of tasks.
const RUNS_PER_COUNT: u32 = 5;
const QUOTA: Size = Size::new(u32::MAX, u32::MAX, u32::MAX);
const TASK_SIZE: Size = Size::new(1_000, 2_048, 0);
const CAPACITY: Size = Size::new(32_000, 128_000, 0);

fn spec(index: u32) -> TaskSpec {
    TaskSpec {
        task: task_id(index),
        class: "mailing-list-merge".into(),
        size: TASK_SIZE,
        run: 600_000,
        priority: 5,
        max_attempts: 3,
        at_most_once: index % 2 == 0,
        watcher: false,
        accepted: START_TIME,
    }
}

fn task_id(index: u32) -> TaskId {
    let customer = format!("customer-{}", index % 190);
    TaskId::new(customer, format!("job-{}", index / 100), index % 100)
}

fn worker_name(index: u32) -> Name {
    format!("worker-{index}").into()
}

/// Encodes, decodes and applies records as the node does.
struct LogReader {
    ledger: Ledger,
    journal: Journal,
    next_offset: u64,
    bytes: usize,
    /// Time poll_time decoding and applying batches.
    read_time: Duration,
}

impl LogReader {
    fn new() -> Self {
        LogReader {
            ledger: Ledger::new(LedgerTiming::default()),
            journal: Journal::new("host".into(), 1, Millis(0)),
            next_offset: 0,
            bytes: 0,
            read_time: Duration::ZERO,
        }
    }

    /// Appends the batches of the journal and reads them back. Only reading counts as `read_time`.
    fn flush(&mut self) {
        while let Some(batch) = self.journal.poll(Millis(0)) {
            let config = bincode::config::standard();
            let data = bincode::serde::encode_to_vec(&batch, config).expect("encodes");
            self.journal
                .appended(Millis(0), batch.sequence, AppendOutcome::Done);
            drop(batch);
            self.bytes += data.len();
            let begin = Instant::now();
            let (batch, _): (Batch, usize) =
                bincode::serde::decode_from_slice(&data, config).expect("decodes");
            self.ledger
                .apply(Offset(self.next_offset), START_TIME, Millis(0), &batch);
            self.read_time += begin.elapsed();
            self.next_offset += 1;
        }
    }

    fn claim_record(&self, index: u32) -> Record {
        let spec = spec(index);
        Record::Claimed {
            attempt: Attempt(0),
            worker: worker_name(index / TASKS_PER_WORKER),
            incarnation: 1,
            token: Token(1),
            quota: self.ledger.quota_check(&spec, QUOTA),
            task: spec.task,
        }
    }

    /// Appends the acceptance and the claim of each task.
    fn load_tasks(&mut self, tasks: u32) {
        for from in (0..tasks).step_by(400) {
            for index in from..(from + 400).min(tasks) {
                self.journal.push(Record::Accepted(Box::new(spec(index))));
            }
            self.flush();
            for index in from..(from + 400).min(tasks) {
                let record = self.claim_record(index);
                self.journal.push(record);
            }
            self.flush();
        }
    }
}

fn worker_report(worker: u32, tasks: u32) -> WorkerReport {
    let from = worker * TASKS_PER_WORKER;
    let entry = |index: u32| TaskEntry {
        task: task_id(index).to_string(),
        attempt: Attempt(0),
        state: TaskState::Running,
        size: TASK_SIZE,
        usage: Some(TASK_SIZE),
        checkpoint: None,
    };
    WorkerReport {
        capacity: CAPACITY,
        measured: 1_000,
        tasks: (from..(from + TASKS_PER_WORKER).min(tasks))
            .map(entry)
            .collect(),
    }
}

/// The maps and lists that a `DispatchView` borrows.
struct ViewMaps {
    services: HashMap<Name, Vec<Name>>,
    quotas: HashMap<Name, Size>,
    hosts: Vec<Name>,
}

impl ViewMaps {
    fn new() -> Self {
        let quota = |n: u32| (format!("customer-{n}").into(), QUOTA);
        ViewMaps {
            services: HashMap::new(),
            quotas: (0..190).map(quota).collect(),
            hosts: vec!["host".into()],
        }
    }

    fn view<'a>(&'a self, ledger: &'a Ledger) -> DispatchView<'a> {
        DispatchView {
            ledger,
            hosts: &self.hosts,
            services: &self.services,
            slow_services: &self.services,
            quotas: &self.quotas,
            can_claim: true,
        }
    }
}

fn handle_report(
    dispatcher: &mut Dispatcher,
    now: Millis,
    view: &DispatchView<'_>,
    (name, grant): (&Name, Grant),
    report: &WorkerReport,
    out: &mut Vec<DispatchAction>,
) {
    let lease = Lease {
        token: Token(1),
        incarnation: 1,
        leaving: false,
    };
    let held = HeldWorker {
        name,
        address: name,
        rack: name,
        lease,
        grant,
        report,
    };
    dispatcher.handle_report(now, view, held, out);
}

/// Value of a line of `/proc/self/status`, in KiB.
fn status_kib(key: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = text.lines().find(|line| line.starts_with(key));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).expect("a number")
}

/// Recovers this number of tasks. Prints the total time, the time to read the log and the time to
/// handle the workers' reports, in microseconds, then resident and peak memory in KiB, and the size
/// of the log in bytes.
fn measure_recovery(tasks: u32) {
    let before = status_kib("VmRSS:");
    let mut reader = LogReader::new();
    reader.load_tasks(tasks);
    let read = reader.read_time;
    let maps = ViewMaps::new();
    let mut dispatcher = Dispatcher::new("host".into());
    let mut adoption_time = Duration::ZERO;
    let mut out = Vec::new();
    let view = maps.view(&reader.ledger);
    for worker in 0..tasks.div_ceil(TASKS_PER_WORKER) {
        let report = worker_report(worker, tasks);
        let name = worker_name(worker);
        let begin = Instant::now();
        handle_report(
            &mut dispatcher,
            Millis(1),
            &view,
            (&name, Grant::New),
            &report,
            &mut out,
        );
        adoption_time += begin.elapsed();
    }
    let begin = Instant::now();
    dispatcher.poll(Millis(2), &view, &mut out);
    adoption_time += begin.elapsed();
    assert!(out.is_empty(), "{:?}", out.first());
    assert_eq!(reader.ledger.len(), tasks as usize);
    let total = read + adoption_time;
    println!(
        "{} {} {} {} {} {}",
        total.as_micros(),
        read.as_micros(),
        adoption_time.as_micros(),
        status_kib("VmRSS:") - before,
        status_kib("VmHWM:") - before,
        reader.bytes,
    );
}

/// Processor time of this thread in seconds, which doesn't include other load on the machine.
fn processor_time() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    let nanoseconds = text.split_whitespace().next();
    let nanoseconds: u64 = nanoseconds
        .and_then(|text| text.parse().ok())
        .expect("a number");
    nanoseconds as f64 / 1e9
}

/// Average processor time of a call of `run`, in microseconds.
fn average_micros(rounds: u32, mut run: impl FnMut(u32)) -> f64 {
    let begin = processor_time();
    (0..rounds).for_each(&mut run);
    (processor_time() - begin) * 1e6 / f64::from(rounds)
}

/// Prints the cost of each operation at the target size when this host holds all workers.
fn measure_steady_state() {
    let mut reader = LogReader::new();
    reader.load_tasks(TARGET_TASKS);
    let maps = ViewMaps::new();
    let mut dispatcher = Dispatcher::new("host".into());
    let workers = TARGET_TASKS / TASKS_PER_WORKER;
    let names: Vec<Name> = (0..workers).map(worker_name).collect();
    let reports: Vec<WorkerReport> = (0..workers)
        .map(|n| worker_report(n, TARGET_TASKS))
        .collect();
    let mut out = Vec::new();
    let view = maps.view(&reader.ledger);
    for (name, report) in names.iter().zip(&reports) {
        handle_report(
            &mut dispatcher,
            Millis(1),
            &view,
            (name, Grant::New),
            report,
            &mut out,
        );
    }
    let poll_micros = average_micros(5_000, |n| {
        dispatcher.poll(Millis(10 + u64::from(n)), &view, &mut out)
    });
    let report_micros = average_micros(6_000, |n| {
        let n = n as usize % names.len();
        let now = Millis(6_000);
        handle_report(
            &mut dispatcher,
            now,
            &view,
            (&names[n], Grant::Renewed),
            &reports[n],
            &mut out,
        );
    });
    assert!(out.is_empty());
    println!("poll without work, 600 workers and 12,000 tasks: {poll_micros:.1} us");
    println!("renewed report of 20 tasks: {report_micros:.1} us");
    // A host that holds a sixth of the workers polls ten times and handles 100 reports a second.
    let load = (poll_micros * 10.0 + report_micros * 100.0) / 1e4;
    println!("10 polls and 100 reports a second: {load:.3}% of a core");

    measure_blocked_queue(&mut reader, &mut dispatcher, &maps);
    let new_tasks = 1_000;
    for index in TARGET_TASKS..TARGET_TASKS + new_tasks {
        reader.journal.push(Record::Accepted(Box::new(spec(index))));
    }
    reader.flush();
    // Polls that claim tasks, polls that only start them, and decoding and applying the claims.
    let mut phase_times = [Duration::ZERO; 4];
    let mut starts = Vec::new();
    let mut claims = 0;
    while starts.len() < new_tasks as usize {
        let mut out = Vec::new();
        let begin = Instant::now();
        dispatcher.poll(Millis(152_000), &maps.view(&reader.ledger), &mut out);
        let poll_time = begin.elapsed();
        let mut new_claims = 0;
        for action in out {
            match action {
                DispatchAction::Append(record) => {
                    reader.journal.push(record);
                    new_claims += 1;
                }
                DispatchAction::Start { worker, task, .. } => starts.push((worker, task)),
                DispatchAction::Command { .. } => panic!("unexpected command"),
            }
        }
        phase_times[usize::from(new_claims == 0)] += poll_time;
        claims += new_claims;
        reader.read_time = Duration::ZERO;
        reader.flush();
        phase_times[2] += reader.read_time;
        assert!(poll_time < Duration::from_secs(5));
    }
    let micros_per_task = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(new_tasks);
    println!(
        "claim in the dispatcher: {:.1} us",
        micros_per_task(phase_times[0])
    );
    println!(
        "start in the dispatcher, last poll: {:.1} us",
        micros_per_task(phase_times[1])
    );
    println!(
        "claim in the ledger, with decoding: {:.1} us",
        micros_per_task(phase_times[2])
    );
    assert_eq!(claims, new_tasks);
    let begin = Instant::now();
    for (worker, task) in &starts {
        let result = Ok(StartState::Started);
        let mut out = Vec::new();
        dispatcher.start_answered(Millis(152_100), worker, task, Attempt(0), result, &mut out);
    }
    let answer_micros = micros_per_task(begin.elapsed());
    println!("answer to a start: {answer_micros:.1} us");
    for (_, task) in &starts {
        reader.journal.push(Record::Ended {
            task: task.clone(),
            attempt: Attempt(0),
            outcome: Outcome::Succeeded,
        });
    }
    reader.read_time = Duration::ZERO;
    reader.flush();
    println!(
        "end in the ledger, with decoding: {:.1} us",
        micros_per_task(reader.read_time)
    );
}

/// Prints the cost of a poll when the queue begins with tasks that can't run.
fn measure_blocked_queue(reader: &mut LogReader, dispatcher: &mut Dispatcher, maps: &ViewMaps) {
    for index in 0..2_000 {
        let mut spec = spec(index);
        spec.task.job = format!("too-large-{index}").into();
        spec.size = Size::new(64_000, 2_048, 0);
        spec.priority = 9;
        reader.journal.push(Record::Accepted(Box::new(spec)));
    }
    reader.flush();
    let view = maps.view(&reader.ledger);
    let mut out = Vec::new();
    let poll_micros = average_micros(500, |n| {
        dispatcher.poll(Millis(1_100 + u64::from(n)), &view, &mut out)
    });
    assert!(out.is_empty());
    println!("poll with 2,000 tasks that fit no worker: {poll_micros:.1} us");
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    match arguments.next().as_deref() {
        Some("size") => {
            let tasks = arguments.next().and_then(|text| text.parse().ok());
            return measure_recovery(tasks.expect("a number of tasks"));
        }
        Some("steady") => return measure_steady_state(),
        _ => {}
    }
    let program = std::env::current_exe().expect("a path");
    let run = |arguments: &[&str]| {
        let output = Command::new(&program)
            .args(arguments)
            .output()
            .expect("runs");
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        String::from_utf8(output.stdout).expect("text")
    };
    println!("  tasks   total ms    read ms   adopt ms    RSS KiB   peak KiB  log bytes");
    let mut points = Vec::new();
    for tasks in TASK_COUNTS.into_iter().chain([TARGET_TASKS]) {
        let once = |_| -> Vec<f64> {
            let text = run(&["size", &tasks.to_string()]);
            let fields = text.split_whitespace();
            fields.filter_map(|field| field.parse().ok()).collect()
        };
        // The fastest of several runs is the one that other load delayed least.
        let runs = (0..RUNS_PER_COUNT).map(once);
        let fields = runs.min_by(|a, b| a[0].total_cmp(&b[0])).expect("a run");
        let [total, read, adopt, resident, peak, bytes] = fields[..] else {
            panic!("unexpected output {fields:?}");
        };
        let (total, read, adopt) = (total / 1e3, read / 1e3, adopt / 1e3);
        println!(
            "{tasks:7} {total:10.2} {read:10.2} {adopt:10.2} {resident:10} {peak:10} {bytes:10}"
        );
        if tasks == TARGET_TASKS {
            assert!(peak < 32.0 * 1024.0, "12,000 tasks take {peak} KiB");
        } else {
            points.push((f64::from(tasks).ln(), total.ln()));
        }
    }
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
    let off = |p: &(f64, f64)| (p.1 - y - slope * (p.0 - x)).powi(2);
    let residual = (points.iter().map(off).sum::<f64>() / count).sqrt();
    println!(
        "time ~ tasks^{slope:.3}, residual {residual:.3} (root mean square, natural logarithm)"
    );
    print!("{}", run(&["steady"]));
}
