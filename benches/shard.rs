//! Processor time that a shard's state machine needs, by number of workers.
//!
//! `cargo bench --bench shard [surge=FACTOR] [WORKERS...]` simulates 30 s of jobs on a simple model of
//! the workers and prints the rates of starts, reports and other orders, the share of a core in use,
//! and the time per call. With `surge`, that many times as many jobs arrive, and a backlog grows.

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

const WORKER_COUNTS: [usize; 4] = [50, 350, 1_000, 5_200];
/// Simulated time in milliseconds.
const SIMULATED_TIME: u64 = 30_000;
/// Workers of 32 cores, as in the large deployment.
const CAPACITY: Size = Size::new(32_000, 125_000, 0);
/// New jobs per second and hundred workers: short ones, best-effort ones and serving ones.
const SHORT_JOB_RATE: f64 = 3.4;
const BEST_EFFORT_JOB_RATE: f64 = 5.6;
const SERVING_JOB_RATE: f64 = 0.19;
/// Serving jobs at the start per hundred workers.
const INITIAL_SERVING_JOBS: usize = 24;

struct Run {
    run: u64,
    /// When it ends; `u64::MAX` for a long-running task.
    ends: u64,
    fills: bool,
}

#[derive(Default)]
struct Worker {
    runs: BTreeMap<TaskKey, Run>,
    ended: Vec<EndReport>,
    next_end: u64,
    /// The pending request for a report, which waits for a run to end, and until when.
    waiting: Option<(WorkerTag, u64)>,
}

enum Message {
    Store(StoreTag, StoreAnswer),
    Order(WorkerTag, WorkerCall),
    Answer(WorkerTag, WorkerAnswer),
    /// A run or a wait on this worker may be over.
    UpdateWorker(usize),
}

struct Bench {
    now: u64,
    shard: Option<Shard>,
    workers: Vec<Worker>,
    /// Messages by serial number.
    messages: BTreeMap<u64, Message>,
    /// Time of delivery and serial number of each message.
    deliveries: BinaryHeap<Reverse<(u64, u64)>>,
    serial: u64,
    rng: fastrand::Rng,
    specs: BTreeMap<u64, Arc<JobSpec>>,
    /// Processor time used by the shard.
    processor_time: Duration,
    starts: u64,
    reports: u64,
    other_orders: u64,
}

fn main() {
    let worker_counts: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let worker_counts = if worker_counts.is_empty() {
        WORKER_COUNTS.to_vec()
    } else {
        worker_counts
    };
    let surge = std::env::args()
        .find_map(|argument| argument.strip_prefix("surge=")?.parse().ok())
        .unwrap_or(1.0);
    println!("workers  starts/s  reports/s  others/s  core %  µs a call");
    for worker_count in worker_counts {
        let mut bench = Bench::new(worker_count);
        bench.run(surge);
        let seconds = SIMULATED_TIME as f64 / 1_000.0;
        let calls = (bench.starts + bench.reports + bench.other_orders) as f64;
        println!(
            "{worker_count:7}  {:8.0}  {:9.0}  {:8.0}  {:6.2}  {:9.2}",
            bench.starts as f64 / seconds,
            bench.reports as f64 / seconds,
            bench.other_orders as f64 / seconds,
            bench.processor_time.as_secs_f64() / seconds * 100.0,
            bench.processor_time.as_secs_f64() * 1e6 / calls,
        );
    }
}

impl Bench {
    fn new(workers: usize) -> Self {
        let mut bench = Bench {
            now: 1_000_000,
            shard: None,
            workers: (0..workers)
                .map(|_| Worker {
                    next_end: 1,
                    ..Worker::default()
                })
                .collect(),
            messages: BTreeMap::new(),
            deliveries: BinaryHeap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(7),
            specs: BTreeMap::new(),
            processor_time: Duration::ZERO,
            starts: 0,
            reports: 0,
            other_orders: 0,
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
            evacuation_bound: None,
            adapts_retry: false,
            job_memory: 1 << 30,
        };
        let partition = Partition {
            stream: "shard".into(),
            part: 0,
        };
        let queues = Arc::new(QueueTable {
            version: 1,
            queues: ["short", "best-effort", "serving"].map(queue).into(),
            services: Vec::new(),
            max_body: 1 << 20,
        });
        let mut out = Vec::new();
        let shard = Shard::claim(settings, partition, owner, queues, bench.time(), &mut out);
        bench.shard = Some(shard);
        bench.perform(out);
        let entries = (0..workers).map(entry).collect();
        bench.handle(ShardEvent::Registry(entries));
        bench
    }

    fn time(&self) -> Now {
        Now {
            steady: Millis(self.now),
            wall: self.now,
        }
    }

    /// Runs the simulation after a warm-up that is not measured.
    fn run(&mut self, surge: f64) {
        let hundreds = self.workers.len() as f64 / 100.0;
        let end = self.now + SIMULATED_TIME;
        let mut due_jobs = [0.0; 3];
        self.advance(500);
        for _ in 0..(INITIAL_SERVING_JOBS as f64 * hundreds) as usize {
            self.submit("serving");
        }
        self.processor_time = Duration::ZERO;
        (self.starts, self.reports, self.other_orders) = (0, 0, 0);
        while self.now < end {
            for (index, (rate, name)) in [
                (SHORT_JOB_RATE, "short"),
                (BEST_EFFORT_JOB_RATE, "best-effort"),
                (SERVING_JOB_RATE, "serving"),
            ]
            .iter()
            .enumerate()
            {
                due_jobs[index] += rate * surge * hundreds / 1_000.0;
                while due_jobs[index] >= 1.0 {
                    due_jobs[index] -= 1.0;
                    self.submit(name);
                }
            }
            self.advance(1);
        }
    }

    /// Advances the simulation by `millis`.
    fn advance(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            let mut is_idle = true;
            while let Some(Reverse((at, serial))) = self.deliveries.peek().copied() {
                if at > self.now {
                    break;
                }
                self.deliveries.pop();
                if let Some(message) = self.messages.remove(&serial) {
                    is_idle &= matches!(message, Message::Order(..) | Message::UpdateWorker(_));
                    self.deliver(message);
                }
            }
            if !is_idle || self.now % 50 == 0 {
                self.poll();
            }
        }
    }

    /// Submits a new job of the given queue.
    fn submit(&mut self, queue: &'static str) {
        let id = JobId(self.rng.u64(..));
        let spec = Arc::new(self.spec(queue));
        self.specs.insert(id.0, spec.clone());
        let request = Request::Submit {
            job: id,
            queue: queue.into(),
            spec,
        };
        self.handle(ShardEvent::Request(id.0, request));
    }

    fn spec(&mut self, queue: &str) -> JobSpec {
        let random_image = |rng: &mut fastrand::Rng, kind: &str, count: u8| -> Option<Name> {
            Some(format!("{kind}-{}", rng.u8(0..count)).into())
        };
        let steps = match queue {
            // One in seven keeps its tasks apart.
            "short" => vec![StepSpec {
                spread: u16::from(self.rng.u8(0..7) == 0),
                ..step(10, 5_700, 640)
            }],
            "best-effort" => {
                let image = random_image(&mut self.rng, "best-effort", 18);
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
                let image = random_image(&mut self.rng, "serving", 10);
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
        self.processor_time += started.elapsed();
        self.perform(out);
    }

    fn poll(&mut self) {
        let mut out = Vec::new();
        let time = self.time();
        let started = Instant::now();
        if let Some(shard) = &mut self.shard {
            shard.poll(time, &mut out);
        }
        self.processor_time += started.elapsed();
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
                            unreadable: Vec::new(),
                            has_more: false,
                            end: 0,
                        }),
                    };
                    self.send(5, Message::Store(tag, answer));
                }
                ShardAction::Worker(tag, call) => self.send(2, Message::Order(tag, call)),
                ShardAction::Reply(..) => {}
                ShardAction::StepDown => panic!("the owner gave up the shard"),
            }
        }
    }

    fn send(&mut self, after: u64, message: Message) {
        self.serial += 1;
        self.deliveries
            .push(Reverse((self.now + after, self.serial)));
        self.messages.insert(self.serial, message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Store(tag, answer) => self.handle(ShardEvent::Store(tag, Ok(answer))),
            Message::Answer(tag, answer) => self.handle(ShardEvent::Worker(tag, Ok(answer))),
            Message::Order(tag, call) => self.order(tag, call),
            Message::UpdateWorker(worker) => self.update_worker(worker),
        }
    }

    fn order(&mut self, tag: WorkerTag, call: WorkerCall) {
        let index = worker_index(&call.worker);
        let clock = self.now;
        match call.order {
            Order::Start(start) => {
                self.starts += 1;
                let spec =
                    &self.specs[&start.task.step.job.0].steps[usize::from(start.task.step.step)];
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
                    self.send(after, Message::UpdateWorker(index));
                }
                self.send(2, Message::Answer(tag, WorkerAnswer::Accepted { clock }));
            }
            Order::Stop { task, run } => {
                self.other_orders += 1;
                if self.workers[index].runs.remove(&task).is_some() {
                    self.workers[index].end(task, run, Ending::Stopped);
                }
                self.send(2, Message::Answer(tag, WorkerAnswer::Accepted { clock }));
                self.update_worker(index);
            }
            Order::Throttle { .. } => {
                self.other_orders += 1;
                self.send(2, Message::Answer(tag, WorkerAnswer::Accepted { clock }));
            }
            Order::Renew {
                acknowledged, wait, ..
            } => {
                self.reports += 1;
                let worker = &mut self.workers[index];
                worker.ended.retain(|end| end.number > acknowledged);
                worker.waiting = Some((tag, self.now + wait.0));
                self.send(wait.0, Message::UpdateWorker(index));
                self.update_worker(index);
            }
        }
    }

    /// Ends the runs that are over on a worker and answers its pending request for a report if a
    /// run has ended or the wait is over.
    fn update_worker(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let finished: Vec<(TaskKey, u64)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.ends <= now)
            .map(|(task, run)| (*task, run.run))
            .collect();
        for (task, run) in finished {
            worker.runs.remove(&task);
            worker.end(task, run, Ending::Done);
        }
        let is_wait_over = |(_, until): &mut (WorkerTag, u64)| *until <= now;
        let is_due = !worker.ended.is_empty() || worker.waiting.as_mut().is_some_and(is_wait_over);
        if !is_due {
            return;
        }
        let Some((tag, _)) = worker.waiting.take() else {
            return;
        };
        let report = WorkerReport {
            clock: now,
            start_time: 1,
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
            measurement: Some(if self.fills { 3_000 } else { 9 }),
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
        priority: if name == "best-effort" { 2 } else { 0 },
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
        start_time: None,
        drain_time: None,
    };
    RegistryChange::Set(format!("worker-{index}").into(), entry)
}

fn worker_index(name: &str) -> usize {
    let number = name.rsplit('-').next().and_then(|text| text.parse().ok());
    number.expect("a worker's name")
}
