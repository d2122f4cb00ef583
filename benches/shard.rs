//! Processor time of the shard core against the number of workers.
//!
//! `cargo bench --bench shard [WORKERS...]` plays half a minute of jobs in core time on a light
//! model of workers and prints what one start and one report cost.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jayfork::base::{Millis, Name, Size};
use jayfork::connection::{
    EndReport, KeyedRecord, Order, Page, Partition, RunReport, StoreAnswer, StoreRequest,
    WorkerAnswer, WorkerCall, WorkerReport,
};
use jayfork::platform::{RegistryEntry, WorkerState};
use jayfork::process::shard::{
    Now, RegistryChange, Request, Shard, ShardAction, ShardEvent, ShardSettings, StoreTag,
    WorkerTag,
};
use jayfork::request::job::{Ending, JobId, JobSpec, StepSpec, TaskKey};
use jayfork::version::{OwnerRecord, Queue, QueueTable};

const SIZES: [usize; 4] = [50, 350, 1_000, 5_200];
/// Core time that is played, in milliseconds.
const PLAYED: u64 = 30_000;
/// Workers of 32 cores, as on the grown deployment.
const CAPACITY: Size = Size::new(32_000, 125_000, 0);
/// Jobs a second for each hundred workers: short ones, long ones that fill, and serving ones.
const CHECKS: f64 = 3.4;
const TALLIES: f64 = 5.6;
const WATCHERS: f64 = 0.19;
/// Serving jobs at the start for each hundred workers.
const SERVING: usize = 24;

struct Run {
    run: u64,
    ends: u64,
    fills: bool,
}

#[derive(Default)]
struct Worker {
    runs: BTreeMap<TaskKey, Run>,
    ended: Vec<EndReport>,
    next_end: u64,
    /// A report that waits for an end, and until when.
    waiting: Option<(WorkerTag, u64)>,
}

enum Message {
    Store(StoreTag, StoreAnswer),
    Order(WorkerTag, WorkerCall),
    Answer(WorkerTag, WorkerAnswer),
    /// Something on the worker may be over.
    Check(usize),
}

struct Bench {
    now: u64,
    shard: Option<Shard>,
    workers: Vec<Worker>,
    messages: BTreeMap<u64, Message>,
    order: BinaryHeap<Reverse<(u64, u64)>>,
    serial: u64,
    rng: fastrand::Rng,
    shapes: BTreeMap<u64, Arc<JobSpec>>,
    spent: Duration,
    starts: u64,
    reports: u64,
    other: u64,
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        SIZES.to_vec()
    } else {
        sizes
    };
    println!("workers  starts/s  reports/s  others/s  core %  µs a call");
    for size in sizes {
        let mut bench = Bench::new(size);
        bench.play();
        let seconds = PLAYED as f64 / 1_000.0;
        let calls = (bench.starts + bench.reports + bench.other) as f64;
        println!(
            "{size:7}  {:8.0}  {:9.0}  {:8.0}  {:6.2}  {:9.2}",
            bench.starts as f64 / seconds,
            bench.reports as f64 / seconds,
            bench.other as f64 / seconds,
            bench.spent.as_secs_f64() / seconds * 100.0,
            bench.spent.as_secs_f64() * 1e6 / calls,
        );
    }
}

impl Bench {
    fn new(size: usize) -> Self {
        let mut bench = Bench {
            now: 1_000_000,
            shard: None,
            workers: (0..size)
                .map(|_| Worker {
                    next_end: 1,
                    ..Worker::default()
                })
                .collect(),
            messages: BTreeMap::new(),
            order: BinaryHeap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(7),
            shapes: BTreeMap::new(),
            spent: Duration::ZERO,
            starts: 0,
            reports: 0,
            other: 0,
        };
        let owner = OwnerRecord {
            host: "host".into(),
            boot: 1,
            epoch: 1 << 16,
        };
        let settings = ShardSettings {
            lease: Millis(10_000),
            stop_time: Millis(400),
            status_keep: Millis(120_000),
        };
        let partition = Partition {
            stream: "shard".into(),
            part: 0,
        };
        let queues = Arc::new(QueueTable {
            version: 1,
            queues: ["checks", "tallies", "watchers"].map(queue).into(),
            services: Vec::new(),
            max_body: 1 << 20,
        });
        let mut out = Vec::new();
        let shard = Shard::claim(settings, partition, owner, queues, bench.time(), &mut out);
        bench.shard = Some(shard);
        bench.perform(out);
        let entries = (0..size).map(entry).collect();
        bench.handle(ShardEvent::Registry(entries));
        bench
    }

    fn time(&self) -> Now {
        Now {
            steady: Millis(self.now),
            wall: self.now,
        }
    }

    fn play(&mut self) {
        let hundreds = self.workers.len() as f64 / 100.0;
        let end = self.now + PLAYED;
        let mut owed = [0.0; 3];
        self.pass(500);
        for _ in 0..(SERVING as f64 * hundreds) as usize {
            self.submit("watchers");
        }
        self.spent = Duration::ZERO;
        (self.starts, self.reports, self.other) = (0, 0, 0);
        while self.now < end {
            for (index, (rate, name)) in [
                (CHECKS, "checks"),
                (TALLIES, "tallies"),
                (WATCHERS, "watchers"),
            ]
            .iter()
            .enumerate()
            {
                owed[index] += rate * hundreds / 1_000.0;
                while owed[index] >= 1.0 {
                    owed[index] -= 1.0;
                    self.submit(name);
                }
            }
            self.pass(1);
        }
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            let mut is_quiet = true;
            while let Some(Reverse((at, serial))) = self.order.peek().copied() {
                if at > self.now {
                    break;
                }
                self.order.pop();
                if let Some(message) = self.messages.remove(&serial) {
                    is_quiet &= matches!(message, Message::Order(..) | Message::Check(_));
                    self.deliver(message);
                }
            }
            if !is_quiet || self.now % 50 == 0 {
                self.poll();
            }
        }
    }

    fn submit(&mut self, queue: &'static str) {
        let id = JobId(self.rng.u64(..));
        let spec = Arc::new(self.spec(queue));
        self.shapes.insert(id.0, spec.clone());
        let request = Request::Submit {
            job: id,
            queue: queue.into(),
            spec,
        };
        self.handle(ShardEvent::Request(id.0, request));
    }

    fn spec(&mut self, queue: &str) -> JobSpec {
        let image = |rng: &mut fastrand::Rng, kind: &str, count: u8| -> Option<Name> {
            Some(format!("{kind}-{}", rng.u8(0..count)).into())
        };
        let steps = match queue {
            "checks" => vec![step(10, 5_700, 640)],
            "tallies" => {
                let image = image(&mut self.rng, "filling", 18);
                let first = StepSpec {
                    fills: true,
                    saves: true,
                    image,
                    ..step(20, 3_500, 1_700)
                };
                let second = StepSpec {
                    after: vec![0],
                    ..first.clone()
                };
                vec![first, second]
            }
            _ => {
                let image = image(&mut self.rng, "serving", 10);
                vec![StepSpec {
                    lasts: true,
                    tail_bound: 18,
                    image,
                    ..step(14, 6_400, 0)
                }]
            }
        };
        JobSpec {
            payload: "payload".into(),
            steps,
            first_run: 0,
            interval: 0,
            turns: 0,
        }
    }

    fn handle(&mut self, event: ShardEvent) {
        let mut out = Vec::new();
        let time = self.time();
        let started = Instant::now();
        if let Some(shard) = &mut self.shard {
            shard.handle(time, event, &mut out);
        }
        self.spent += started.elapsed();
        self.perform(out);
    }

    fn poll(&mut self) {
        let mut out = Vec::new();
        let time = self.time();
        let started = Instant::now();
        if let Some(shard) = &mut self.shard {
            shard.poll(time, &mut out);
        }
        self.spent += started.elapsed();
        self.perform(out);
    }

    fn perform(&mut self, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Store(tag, call) => {
                    let answer = match call.request {
                        StoreRequest::Append { .. } => StoreAnswer::Appended,
                        _ => StoreAnswer::Page(Page {
                            records: Vec::<KeyedRecord>::new(),
                            has_more: false,
                            end: 0,
                        }),
                    };
                    self.send(5, Message::Store(tag, answer));
                }
                ShardAction::Worker(tag, call) => self.send(2, Message::Order(tag, call)),
                ShardAction::Reply(..) => {}
                ShardAction::StepDown => panic!("the shard was given up"),
            }
        }
    }

    fn send(&mut self, after: u64, message: Message) {
        self.serial += 1;
        self.order.push(Reverse((self.now + after, self.serial)));
        self.messages.insert(self.serial, message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Store(tag, answer) => self.handle(ShardEvent::Store(tag, Ok(answer))),
            Message::Answer(tag, answer) => self.handle(ShardEvent::Worker(tag, Ok(answer))),
            Message::Order(tag, call) => self.order(tag, call),
            Message::Check(worker) => self.check(worker),
        }
    }

    fn order(&mut self, tag: WorkerTag, call: WorkerCall) {
        let index = worker_index(&call.worker);
        let clock = self.now;
        match call.order {
            Order::Start(start) => {
                self.starts += 1;
                let spec =
                    &self.shapes[&start.task.step.job.0].steps[usize::from(start.task.step.step)];
                let ends = match spec.lasts {
                    true => u64::MAX,
                    false => self.now + u64::from(spec.runtime) * self.rng.u64(50..150) / 100,
                };
                let run = Run {
                    run: start.run,
                    ends,
                    fills: spec.fills,
                };
                self.workers[index].runs.insert(start.task, run);
                if ends != u64::MAX {
                    let after = ends - self.now;
                    self.send(after, Message::Check(index));
                }
                self.send(2, Message::Answer(tag, WorkerAnswer::Accepted { clock }));
            }
            Order::Stop { task, run } => {
                self.other += 1;
                if self.workers[index].runs.remove(&task).is_some() {
                    self.workers[index].end(task, run, Ending::Stopped);
                }
                self.send(2, Message::Answer(tag, WorkerAnswer::Accepted { clock }));
                self.check(index);
            }
            Order::Pace { .. } => {
                self.other += 1;
                self.send(2, Message::Answer(tag, WorkerAnswer::Accepted { clock }));
            }
            Order::Renew { noted, wait, .. } => {
                self.reports += 1;
                let worker = &mut self.workers[index];
                worker.ended.retain(|end| end.number > noted);
                worker.waiting = Some((tag, self.now + wait.0));
                self.send(wait.0, Message::Check(index));
                self.check(index);
            }
        }
    }

    /// Ends what is over on a worker and answers its waiting report.
    fn check(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let over: Vec<(TaskKey, u64)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.ends <= now)
            .map(|(task, run)| (*task, run.run))
            .collect();
        for (task, run) in over {
            worker.runs.remove(&task);
            worker.end(task, run, Ending::Done);
        }
        let is_due = |(_, until): &mut (WorkerTag, u64)| *until <= now;
        let is_due = !worker.ended.is_empty() || worker.waiting.as_mut().is_some_and(is_due);
        if !is_due {
            return;
        }
        let Some((tag, _)) = worker.waiting.take() else {
            return;
        };
        let report = WorkerReport {
            clock: now,
            born: 1,
            running: worker
                .runs
                .iter()
                .map(|(task, run)| run.report(*task))
                .collect(),
            ended: worker.ended.clone(),
        };
        self.send(2, Message::Answer(tag, WorkerAnswer::Report(report)));
    }
}

impl Worker {
    fn end(&mut self, task: TaskKey, run: u64, ending: Ending) {
        let number = self.next_end;
        self.next_end += 1;
        self.ended.push(EndReport {
            number,
            task,
            run,
            ending,
            checkpoint: None,
        });
    }
}

impl Run {
    fn report(&self, task: TaskKey) -> RunReport {
        RunReport {
            task,
            run: self.run,
            checkpoint: None,
            percent: if self.ends == u64::MAX { 100 } else { 50 },
            figure: Some(if self.fills { 3_000 } else { 9 }),
        }
    }
}

fn step(count: u16, processors: u32, runtime: u32) -> StepSpec {
    StepSpec {
        count,
        size: Size::new(processors, 2_000, 0),
        runtime,
        ..StepSpec::default()
    }
}

fn queue(name: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "example".into(),
        prefix: format!("/{name}/").into(),
        service: "service".into(),
        priority: if name == "tallies" { 2 } else { 0 },
        objective: 1_000,
        stretch: 2.0,
        attempts: 3,
        has_advice: false,
    }
}

fn entry(index: usize) -> RegistryChange {
    let entry = RegistryEntry {
        service: "service".into(),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
        data_centre: "east".into(),
        state: WorkerState::Ready,
        capacity: CAPACITY,
        labels: vec!["a".into(), format!("r{}", index / 8).into()],
        born: None,
        remaining: None,
    };
    RegistryChange::Set(format!("worker-{index}").into(), entry)
}

fn worker_index(name: &str) -> usize {
    let number = name.rsplit('-').next().and_then(|text| text.parse().ok());
    number.expect("a worker's name")
}
