//! Processor time, memory and traffic that one entry host needs for the workers that it holds.
//!
//! `cargo bench --bench capacity` measures each number of workers in a process of its own, fits a
//! line and prints the number of workers at which the line reaches each bound.

use std::fs;
use std::process::Command;

use jayfork::base::{Attempt, Millis, Name, Offset, Size, TaskId, Token};
use jayfork::connection::wire::{
    HostEntry, HostKind, HostList, HostState, LeaseReply, LogRecord, PeerReply, ReadReply,
    TaskEntry, TaskState, WorkerReport,
};
use jayfork::process::node::{Action, Event, Identity, LeaseCall, Node, NodeSettings, Stream};
use jayfork::process::settings::{Limits, Peer, Timing};
use jayfork::version::{Batch, QuotaCheck, Record, TaskSpec};

/// Numbers of workers to measure.
const WORKER_COUNTS: [u32; 5] = [5, 10, 40, 160, 600];
/// Running tasks per worker: the target is 135,000 tasks on 5,200 workers.
const TASKS_PER_WORKER: u32 = 26;
/// Tasks of a data centre at the target; every entry host knows all of them.
const DATA_CENTRE_TASKS: u32 = 12_000;
/// Simulated time of the measurement.
const MEASURED_SECONDS: u64 = 60;
/// Simulated time between two calls of the node.
const TICK_MS: u64 = 50;
/// Size of the request line, status line and headers of an HTTP exchange, in both directions.
const HEADER_BYTES: u64 = 330;
/// Wall clock time at the start, in milliseconds since the Unix epoch.
const START_TIME_MS: u64 = 1_800_000_000_000;
/// Bounds of a node: share of a core, bytes of memory, and bytes per second.
const CORE_BOUND: f64 = 0.011;
const MEMORY_BOUND: f64 = 32e6;
const TRAFFIC_BOUND: f64 = 8_000.0;
const MAX_SIZE: Size = Size::new(u32::MAX, u32::MAX, u32::MAX);

struct Cost {
    /// Share of a core.
    core: f64,
    /// Resident bytes.
    memory: f64,
    /// Bytes per second to and from workers, peers and the log.
    traffic: f64,
}

fn main() {
    if let Some(size) = std::env::args()
        .nth(1)
        .and_then(|size| size.parse::<u32>().ok())
    {
        let cost = measure(size);
        println!("{} {} {}", cost.core, cost.memory, cost.traffic);
        return;
    }
    println!(
        "workers  core %   memory MB  traffic B/s   ({TASKS_PER_WORKER} tasks per worker, idle log)"
    );
    let rows: Vec<(f64, Cost)> = WORKER_COUNTS
        .iter()
        .map(|size| (f64::from(*size), measure_in_process(*size)))
        .collect();
    for (workers, cost) in &rows {
        let (core, memory) = (cost.core * 100.0, cost.memory / 1e6);
        println!(
            "{workers:7}  {core:7.3}  {memory:9.2}  {:11.0}",
            cost.traffic
        );
    }
    print_fit("core", CORE_BOUND, &rows, |cost| cost.core);
    print_fit("memory", MEMORY_BOUND, &rows, |cost| cost.memory);
    print_fit("traffic", TRAFFIC_BOUND, &rows, |cost| cost.traffic);
}

/// Measures a number of workers in a new process, so that `memory` contains nothing of other runs.
fn measure_in_process(workers: u32) -> Cost {
    let program = std::env::current_exe().expect("the path of this program is known");
    let output = Command::new(program)
        .arg(workers.to_string())
        .output()
        .expect("this program can be started");
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let mut numbers = text
        .split_whitespace()
        .map(|word| word.parse().expect("a number"));
    let mut next = || numbers.next().expect("three numbers");
    Cost {
        core: next(),
        memory: next(),
        traffic: next(),
    }
}

/// Prints the least squares line, its largest residual, and the number of workers at which the line
/// reaches the bound.
fn print_fit(name: &str, bound: f64, rows: &[(f64, Cost)], value: impl Fn(&Cost) -> f64) {
    let count = rows.len() as f64;
    let (mean_x, mean_y) = (
        rows.iter().map(|(x, _)| x).sum::<f64>() / count,
        rows.iter().map(|(_, cost)| value(cost)).sum::<f64>() / count,
    );
    let covariance: f64 = rows
        .iter()
        .map(|(x, c)| (x - mean_x) * (value(c) - mean_y))
        .sum();
    let variance: f64 = rows.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let residual = rows
        .iter()
        .map(|(x, cost)| (value(cost) - base - slope * x).abs())
        .fold(0.0, f64::max);
    let fits = (bound - base) / slope;
    println!(
        "{name}: {base:.4} + {slope:.6} x workers, largest residual {residual:.4}; \
         bound {bound} reached at {fits:.0} workers"
    );
}

fn measure(workers: u32) -> Cost {
    let mut node = Node::new(node_settings());
    let mut out = Vec::new();
    node.handle(Millis(1), host_list_event(workers), &mut out);
    node.handle(Millis(1), tasks_event(workers), &mut out);
    let replies: Vec<Vec<u8>> = (0..workers).map(lease_reply).collect();
    let mut bytes = 0;
    let mut start = 0;
    for now in (0..(MEASURED_SECONDS + 10) * 1_000).step_by(TICK_MS as usize) {
        // The node takes the leases in the first 10 s, which are not measured.
        if now == 10_000 {
            (bytes, start) = (0, thread_cpu_ns());
        }
        bytes += run_tick(&mut node, now, &replies, &mut out);
    }
    let core = (thread_cpu_ns() - start) as f64 / 1e9 / MEASURED_SECONDS as f64;
    Cost {
        core,
        memory: resident_bytes(),
        traffic: bytes as f64 / MEASURED_SECONDS as f64,
    }
}

/// Runs one tick of the node; returns the size of the messages that it causes, in bytes.
fn run_tick(node: &mut Node, now: u64, replies: &[Vec<u8>], out: &mut Vec<Action>) -> u64 {
    let mut bytes = 0;
    let time = Millis(now);
    if now % 400 == 0 {
        for stream in [Stream::Contracts, Stream::Tasks] {
            let next = if stream == Stream::Tasks {
                Offset(1)
            } else {
                Offset(0)
            };
            let reply = Ok(ReadReply {
                first: Offset(0),
                next,
                records: Vec::new(),
            });
            node.handle(
                time,
                Event::Read {
                    stream,
                    sent: time,
                    reply,
                },
                out,
            );
            bytes += HEADER_BYTES + 50;
        }
    }
    node.poll(time, out);
    for action in std::mem::take(out) {
        match action {
            Action::WorkerLease {
                worker,
                call: LeaseCall::Grant(request),
                ..
            } => {
                let request = serde_json::to_vec(&request).expect("encodes");
                let index: usize = worker[1..].parse().expect("a numbered worker");
                let reply: LeaseReply<WorkerReport> =
                    serde_json::from_slice(&replies[index]).expect("decodes");
                bytes += HEADER_BYTES + (request.len() + replies[index].len()) as u64;
                node.handle(
                    time,
                    Event::WorkerLease {
                        worker,
                        sent: time,
                        result: Ok(reply),
                    },
                    out,
                );
            }
            Action::CallPeer { call, request, .. } => {
                let size = encoded_size(&request);
                bytes += 2 * size + 60;
                let result = Ok(PeerReply::Unavailable);
                node.handle(
                    time,
                    Event::PeerAnswered {
                        call,
                        result,
                        bytes: 0,
                    },
                    out,
                );
            }
            Action::Append {
                stream,
                sequence,
                data,
            } => {
                bytes += HEADER_BYTES + data.len() as u64;
                let result = Ok(Offset(0));
                node.handle(
                    time,
                    Event::Appended {
                        stream,
                        sequence,
                        sent: time,
                        result,
                    },
                    out,
                );
            }
            _ => {}
        }
    }
    bytes
}

fn node_settings() -> NodeSettings {
    let peer = |index: u16| Peer {
        name: format!("a-{index}").into(),
        data_centre: "a".into(),
        region: "r".into(),
        address: ([127, 0, 0, 1], index).into(),
    };
    NodeSettings {
        identity: Identity {
            host: "a-1".into(),
            data_centre: "a".into(),
            region: "r".into(),
            incarnation: 1,
            clock_origin: START_TIME_MS,
        },
        peers: (1..=3).map(peer).collect(),
        timing: Timing::default(),
        limits: Limits::default(),
        retention: Millis(86_400_000),
    }
}

fn host_list_event(workers: u32) -> Event {
    let entry = |index: u32| HostEntry {
        name: worker(index),
        address: "127.0.0.1:1".into(),
        data_centre: "a".into(),
        rack: Some(format!("r{}", index / 8).into()),
        kind: HostKind::Worker,
        service: None,
        worker: None,
        state: HostState::Live,
    };
    Event::Hosts(Ok(HostList {
        hosts: (0..workers).map(entry).collect(),
    }))
}

fn worker(index: u32) -> Name {
    format!("w{index}").into()
}

fn task(index: u32) -> TaskId {
    TaskId::new(
        format!("customer-{}", index % 190),
        format!("job-{}", index / 100),
        index % 100,
    )
}

/// Returns a read of the data centre's tasks. Each of the workers has `TASKS_PER_WORKER` claimed
/// tasks; the others are claimed on workers that the host doesn't hold.
fn tasks_event(workers: u32) -> Event {
    let size = Size::new(500, 1_024, 0);
    let mut records = Vec::new();
    for index in 0..DATA_CENTRE_TASKS.max(workers * TASKS_PER_WORKER) {
        records.push(Record::Accepted(Box::new(TaskSpec {
            task: task(index),
            class: "merge".into(),
            size,
            run: 3_600_000,
            priority: 2,
            max_attempts: 5,
            at_most_once: true,
            watcher: false,
            accepted: START_TIME_MS,
        })));
        let worker_index = index / TASKS_PER_WORKER;
        let name = if worker_index < workers {
            worker(worker_index)
        } else {
            format!("x{worker_index}").into()
        };
        records.push(Record::Claimed {
            task: task(index),
            attempt: Attempt(0),
            worker: name,
            incarnation: 1,
            token: Token(1),
            quota: QuotaCheck {
                quota: MAX_SIZE,
                claimed: Size::ZERO,
                size: Size::ZERO,
                as_of: Offset(0),
                as_of_time: START_TIME_MS,
            },
        });
    }
    let batch = Batch {
        host: "a-2".into(),
        incarnation: 1,
        sequence: 1,
        records,
    };
    let config = bincode::config::standard();
    let data = bincode::serde::encode_to_vec(&batch, config).expect("encodes");
    let record = LogRecord {
        offset: Offset(0),
        time: START_TIME_MS,
        data,
    };
    let reply = Ok(ReadReply {
        first: Offset(0),
        next: Offset(1),
        records: vec![record],
    });
    Event::Read {
        stream: Stream::Tasks,
        sent: Millis(1),
        reply,
    }
}

fn lease_reply(index: u32) -> Vec<u8> {
    let entry = |n: u32| TaskEntry {
        task: task(index * TASKS_PER_WORKER + n).to_string(),
        attempt: Attempt(0),
        state: TaskState::Running,
        size: Size::new(500, 1_024, 0),
        usage: Some(Size::new(450, 900, 0)),
        checkpoint: None,
    };
    let reply = LeaseReply {
        token: Token(1),
        incarnation: 1,
        leaving: false,
        report: WorkerReport {
            capacity: Size::new(32_000, 128_000, 0),
            measured: 1_000,
            tasks: (0..TASKS_PER_WORKER).map(entry).collect(),
        },
    };
    serde_json::to_vec(&reply).expect("encodes")
}

fn encoded_size<T: serde::Serialize>(message: &T) -> u64 {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(message, config)
        .expect("encodes")
        .len() as u64
}

/// Returns the processor time of this thread in nanoseconds.
fn thread_cpu_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    text.split_whitespace()
        .next()
        .and_then(|word| word.parse().ok())
        .expect("a number")
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/status").expect("Linux");
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("a line");
    let kib: f64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok())
        .expect("a number");
    kib * 1024.0
}
