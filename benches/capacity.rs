//! Control cost of one entry host against the number of workers that it holds.
//!
//! `cargo bench --bench capacity` runs each size in its own process, fits a line and prints the
//! largest number of workers within the bounds of a node.

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

const SIZES: [u32; 5] = [5, 10, 40, 160, 600];
/// Running tasks per worker at the target: 135,000 tasks on 5,200 workers.
const TASKS: u32 = 26;
/// Tasks of the data centre at the target, which every entry host knows.
const KNOWN: u32 = 12_000;
const SECONDS: u64 = 60;
const TICK: u64 = 50;
/// Request line, status line and headers of an HTTP exchange, both ways together.
const HEADERS: u64 = 330;
const EPOCH: u64 = 1_800_000_000_000;
/// Bounds of a node for control: share of a core, bytes of memory, bytes a second.
const CORE: f64 = 0.011;
const MEMORY: f64 = 32e6;
const TRAFFIC: f64 = 8_000.0;
const MAX: Size = Size::new(u32::MAX, u32::MAX, u32::MAX);

struct Cost {
    /// Share of a core.
    core: f64,
    /// Resident bytes.
    memory: f64,
    /// Bytes a second to and from workers, peers and the log.
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
    println!("workers  core %   memory MB  traffic B/s   ({TASKS} tasks a worker, idle log)");
    let rows: Vec<(f64, Cost)> = SIZES
        .iter()
        .map(|size| (f64::from(*size), run(*size)))
        .collect();
    for (workers, cost) in &rows {
        let (core, memory) = (cost.core * 100.0, cost.memory / 1e6);
        println!(
            "{workers:7}  {core:7.3}  {memory:9.2}  {:11.0}",
            cost.traffic
        );
    }
    report("core", CORE, &rows, |cost| cost.core);
    report("memory", MEMORY, &rows, |cost| cost.memory);
    report("traffic", TRAFFIC, &rows, |cost| cost.traffic);
}

fn run(size: u32) -> Cost {
    let program = std::env::current_exe().expect("own path");
    let output = Command::new(program)
        .arg(size.to_string())
        .output()
        .expect("runs");
    let text = String::from_utf8(output.stdout).expect("text");
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

/// Least squares line, its largest residual, and the size at which it reaches the bound.
fn report(name: &str, bound: f64, rows: &[(f64, Cost)], value: impl Fn(&Cost) -> f64) {
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
    let mut node = Node::new(settings());
    let mut out = Vec::new();
    node.handle(Millis(1), hosts(workers), &mut out);
    node.handle(Millis(1), tasks(workers), &mut out);
    let replies: Vec<Vec<u8>> = (0..workers).map(reply).collect();
    let mut bytes = 0;
    let mut start = 0;
    for now in (0..(SECONDS + 10) * 1_000).step_by(TICK as usize) {
        // The first 10 s take the leases.
        if now == 10_000 {
            (bytes, start) = (0, cpu_time());
        }
        bytes += step(&mut node, now, &replies, &mut out);
    }
    let core = (cpu_time() - start) as f64 / 1e9 / SECONDS as f64;
    Cost {
        core,
        memory: resident(),
        traffic: bytes as f64 / SECONDS as f64,
    }
}

/// One tick of the core; returns the bytes of the messages that it caused.
fn step(node: &mut Node, now: u64, replies: &[Vec<u8>], out: &mut Vec<Action>) -> u64 {
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
            bytes += HEADERS + 50;
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
                bytes += HEADERS + (request.len() + replies[index].len()) as u64;
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
                let size = encoded(&request);
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
                bytes += HEADERS + data.len() as u64;
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

fn settings() -> NodeSettings {
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
            clock_origin: EPOCH,
        },
        peers: (1..=3).map(peer).collect(),
        timing: Timing::default(),
        limits: Limits::default(),
        retention: Millis(86_400_000),
    }
}

fn hosts(workers: u32) -> Event {
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

/// The data centre's tasks: those of the held workers claimed there, the others elsewhere.
fn tasks(workers: u32) -> Event {
    let size = Size::new(500, 1_024, 0);
    let mut records = Vec::new();
    for index in 0..KNOWN.max(workers * TASKS) {
        records.push(Record::Accepted(Box::new(TaskSpec {
            task: task(index),
            class: "merge".into(),
            size,
            run: 3_600_000,
            priority: 2,
            max_attempts: 5,
            at_most_once: true,
            watcher: false,
            accepted: EPOCH,
        })));
        let holder = index / TASKS;
        let name = if holder < workers {
            worker(holder)
        } else {
            format!("x{holder}").into()
        };
        records.push(Record::Claimed {
            task: task(index),
            attempt: Attempt(0),
            worker: name,
            incarnation: 1,
            token: Token(1),
            quota: QuotaCheck {
                quota: MAX,
                claimed: Size::ZERO,
                size: Size::ZERO,
                as_of: Offset(0),
                as_of_time: EPOCH,
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
        time: EPOCH,
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

fn reply(index: u32) -> Vec<u8> {
    let entry = |n: u32| TaskEntry {
        task: task(index * TASKS + n).to_string(),
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
            tasks: (0..TASKS).map(entry).collect(),
        },
    };
    serde_json::to_vec(&reply).expect("encodes")
}

fn encoded<T: serde::Serialize>(message: &T) -> u64 {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(message, config)
        .expect("encodes")
        .len() as u64
}

/// Processor time of this thread in ns.
fn cpu_time() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    text.split_whitespace()
        .next()
        .and_then(|word| word.parse().ok())
        .expect("a number")
}

fn resident() -> f64 {
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
