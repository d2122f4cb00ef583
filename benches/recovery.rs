//! Time and memory from an empty host to serving, and the cost of control work in steady state.
//!
//! `cargo bench --bench recovery` runs each size in its own process.

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

const START: u64 = 1_700_000_000_000;
const SIZES: [u32; 3] = [1_000, 10_000, 100_000];
/// Tasks of a data centre at target, and the workers that run them.
const TARGET: u32 = 12_000;
const PER_WORKER: u32 = 20;
/// Processes per size.
const RUNS: u32 = 5;
const QUOTA: Size = Size::new(u32::MAX, u32::MAX, u32::MAX);
const ONE: Size = Size::new(1_000, 2_048, 0);
const CAPACITY: Size = Size::new(32_000, 128_000, 0);

fn spec(index: u32) -> TaskSpec {
    TaskSpec {
        task: task_id(index),
        class: "mailing-list-merge".into(),
        size: ONE,
        run: 600_000,
        priority: 5,
        max_attempts: 3,
        at_most_once: index % 2 == 0,
        watcher: false,
        accepted: START,
    }
}

fn task_id(index: u32) -> TaskId {
    let customer = format!("customer-{}", index % 190);
    TaskId::new(customer, format!("job-{}", index / 100), index % 100)
}

fn worker_name(index: u32) -> Name {
    format!("worker-{index}").into()
}

/// Decoded and applied as the node does.
struct Reader {
    ledger: Ledger,
    journal: Journal,
    next: u64,
    bytes: usize,
    time: Duration,
}

impl Reader {
    fn new() -> Self {
        Reader {
            ledger: Ledger::new(LedgerTiming::default()),
            journal: Journal::new("host".into(), 1, Millis(0)),
            next: 0,
            bytes: 0,
            time: Duration::ZERO,
        }
    }

    /// Appends what the journal holds and reads it back; only the reading is timed.
    fn flush(&mut self) {
        while let Some(batch) = self.journal.poll(Millis(0)) {
            let config = bincode::config::standard();
            let data = bincode::serde::encode_to_vec(&batch, config).expect("encodes");
            self.journal
                .appended(Millis(0), batch.sequence, AppendOutcome::Done);
            drop(batch);
            self.bytes += data.len();
            let from = Instant::now();
            let (batch, _): (Batch, usize) =
                bincode::serde::decode_from_slice(&data, config).expect("decodes");
            self.ledger
                .apply(Offset(self.next), START, Millis(0), &batch);
            self.time += from.elapsed();
            self.next += 1;
        }
    }

    fn claimed(&self, index: u32) -> Record {
        let spec = spec(index);
        Record::Claimed {
            attempt: Attempt(0),
            worker: worker_name(index / PER_WORKER),
            incarnation: 1,
            token: Token(1),
            quota: self.ledger.quota_check(&spec, QUOTA),
            task: spec.task,
        }
    }

    fn load(&mut self, tasks: u32) {
        for from in (0..tasks).step_by(400) {
            for index in from..(from + 400).min(tasks) {
                self.journal.push(Record::Accepted(Box::new(spec(index))));
            }
            self.flush();
            for index in from..(from + 400).min(tasks) {
                let record = self.claimed(index);
                self.journal.push(record);
            }
            self.flush();
        }
    }
}

fn report(worker: u32, tasks: u32) -> WorkerReport {
    let from = worker * PER_WORKER;
    let entry = |index: u32| TaskEntry {
        task: task_id(index).to_string(),
        attempt: Attempt(0),
        state: TaskState::Running,
        size: ONE,
        usage: Some(ONE),
        checkpoint: None,
    };
    WorkerReport {
        capacity: CAPACITY,
        measured: 1_000,
        tasks: (from..(from + PER_WORKER).min(tasks)).map(entry).collect(),
    }
}

/// Maps that a view of the dispatcher refers to.
struct Maps {
    services: HashMap<Name, Vec<Name>>,
    quotas: HashMap<Name, Size>,
    hosts: Vec<Name>,
}

impl Maps {
    fn new() -> Self {
        let quota = |n: u32| (format!("customer-{n}").into(), QUOTA);
        Maps {
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

fn adopt(
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

/// A line of `/proc/self/status`, in KiB.
fn status(key: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = text.lines().find(|line| line.starts_with(key));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).expect("a number")
}

/// Prints microseconds, resident KiB and peak KiB for one size.
fn recover(tasks: u32) {
    let before = status("VmRSS:");
    let mut reader = Reader::new();
    reader.load(tasks);
    let read = reader.time;
    let maps = Maps::new();
    let mut dispatcher = Dispatcher::new("host".into());
    let mut adopting = Duration::ZERO;
    let mut out = Vec::new();
    let view = maps.view(&reader.ledger);
    for worker in 0..tasks.div_ceil(PER_WORKER) {
        let report = report(worker, tasks);
        let name = worker_name(worker);
        let from = Instant::now();
        adopt(
            &mut dispatcher,
            Millis(1),
            &view,
            (&name, Grant::New),
            &report,
            &mut out,
        );
        adopting += from.elapsed();
    }
    let from = Instant::now();
    dispatcher.poll(Millis(2), &view, &mut out);
    adopting += from.elapsed();
    assert!(out.is_empty(), "{:?}", out.first());
    assert_eq!(reader.ledger.len(), tasks as usize);
    let total = read + adopting;
    println!(
        "{} {} {} {} {} {}",
        total.as_micros(),
        read.as_micros(),
        adopting.as_micros(),
        status("VmRSS:") - before,
        status("VmHWM:") - before,
        reader.bytes,
    );
}

/// Processor time of this thread, in seconds; other load on the machine does not add to it.
fn processor_time() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    let nanoseconds = text.split_whitespace().next();
    let nanoseconds: u64 = nanoseconds
        .and_then(|text| text.parse().ok())
        .expect("a number");
    nanoseconds as f64 / 1e9
}

/// Microseconds of processor time per round.
fn average(rounds: u32, mut run: impl FnMut(u32)) -> f64 {
    let from = processor_time();
    (0..rounds).for_each(&mut run);
    (processor_time() - from) * 1e6 / f64::from(rounds)
}

/// Costs at the target size, with all workers held by this host.
fn steady() {
    let mut reader = Reader::new();
    reader.load(TARGET);
    let maps = Maps::new();
    let mut dispatcher = Dispatcher::new("host".into());
    let workers = TARGET / PER_WORKER;
    let names: Vec<Name> = (0..workers).map(worker_name).collect();
    let reports: Vec<WorkerReport> = (0..workers).map(|n| report(n, TARGET)).collect();
    let mut out = Vec::new();
    let view = maps.view(&reader.ledger);
    for (name, report) in names.iter().zip(&reports) {
        adopt(
            &mut dispatcher,
            Millis(1),
            &view,
            (name, Grant::New),
            report,
            &mut out,
        );
    }
    let poll = average(5_000, |n| {
        dispatcher.poll(Millis(10 + u64::from(n)), &view, &mut out)
    });
    let renewed = average(6_000, |n| {
        let n = n as usize % names.len();
        let now = Millis(6_000);
        adopt(
            &mut dispatcher,
            now,
            &view,
            (&names[n], Grant::Renewed),
            &reports[n],
            &mut out,
        );
    });
    assert!(out.is_empty());
    println!("poll without work, 600 workers and 12,000 tasks: {poll:.1} us");
    println!("renewed report of 20 tasks: {renewed:.1} us");
    // A host that holds its share of the workers: a sixth of the reports, and ten polls a second.
    let load = (poll * 10.0 + renewed * 100.0) / 1e4;
    println!("10 polls and 100 reports a second: {load:.3}% of a core");

    blocked(&mut reader, &mut dispatcher, &maps);
    let more = 1_000;
    for index in TARGET..TARGET + more {
        reader.journal.push(Record::Accepted(Box::new(spec(index))));
    }
    reader.flush();
    let mut times = [Duration::ZERO; 4];
    let mut starts = Vec::new();
    let mut claims = 0;
    while starts.len() < more as usize {
        let mut out = Vec::new();
        let from = Instant::now();
        dispatcher.poll(Millis(152_000), &maps.view(&reader.ledger), &mut out);
        let spent = from.elapsed();
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
        times[usize::from(new_claims == 0)] += spent;
        claims += new_claims;
        reader.time = Duration::ZERO;
        reader.flush();
        times[2] += reader.time;
        assert!(spent < Duration::from_secs(5));
    }
    let per = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(more);
    println!("claim in the dispatcher: {:.1} us", per(times[0]));
    println!(
        "start in the dispatcher, last poll: {:.1} us",
        per(times[1])
    );
    println!(
        "claim in the ledger, with decoding: {:.1} us",
        per(times[2])
    );
    assert_eq!(claims, more);
    let from = Instant::now();
    for (worker, task) in &starts {
        let result = Ok(StartState::Started);
        let mut out = Vec::new();
        dispatcher.start_answered(Millis(152_100), worker, task, Attempt(0), result, &mut out);
    }
    let answered = per(from.elapsed());
    println!("answer to a start: {answered:.1} us");
    for (_, task) in &starts {
        reader.journal.push(Record::Ended {
            task: task.clone(),
            attempt: Attempt(0),
            outcome: Outcome::Succeeded,
        });
    }
    reader.time = Duration::ZERO;
    reader.flush();
    println!(
        "end in the ledger, with decoding: {:.1} us",
        per(reader.time)
    );
}

/// Cost of a poll while the beginning of the queue can't run.
fn blocked(reader: &mut Reader, dispatcher: &mut Dispatcher, maps: &Maps) {
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
    let poll = average(500, |n| {
        dispatcher.poll(Millis(1_100 + u64::from(n)), &view, &mut out)
    });
    assert!(out.is_empty());
    println!("poll with 2,000 tasks that fit no worker: {poll:.1} us");
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    match arguments.next().as_deref() {
        Some("size") => {
            let tasks = arguments.next().and_then(|text| text.parse().ok());
            return recover(tasks.expect("a number of tasks"));
        }
        Some("steady") => return steady(),
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
    for tasks in SIZES.into_iter().chain([TARGET]) {
        let once = |_| -> Vec<f64> {
            let text = run(&["size", &tasks.to_string()]);
            let fields = text.split_whitespace();
            fields.filter_map(|field| field.parse().ok()).collect()
        };
        // The fastest of several runs is the least disturbed by other load.
        let runs = (0..RUNS).map(once);
        let fields = runs.min_by(|a, b| a[0].total_cmp(&b[0])).expect("a run");
        let [total, read, adopt, resident, peak, bytes] = fields[..] else {
            panic!("unexpected output {fields:?}");
        };
        let (total, read, adopt) = (total / 1e3, read / 1e3, adopt / 1e3);
        println!(
            "{tasks:7} {total:10.2} {read:10.2} {adopt:10.2} {resident:10} {peak:10} {bytes:10}"
        );
        if tasks == TARGET {
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
