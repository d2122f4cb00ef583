//! Compares the policy for batch tasks with baselines in a simulation.
//!
//! `cargo bench --bench policy -- [seeds] [hours]` prints, for each site and contender, the p99
//! latency of the service, the useful work finished and the interruptions, as mean and range over
//! the seeds. Interruptions are evictions, stops and tasks killed by a worker that is out of
//! memory. The contenders differ from the policy only in the part that they are named after.

use std::collections::{HashSet, VecDeque};

use hdrhistogram::Histogram;
use jayfork::base::{Attempt, Millis, Name, Size, TaskId};
use jayfork::request::{
    Demand, InterferencePolicy, Mitigation, Placer, Quarantine, RunningTask, SizeEstimator,
    SizeKey, TaskKind, WorkerView,
};

use TaskKind::{AtMostOnce, Restartable};

const CUSTOMER: &str = "team";
const SERVICE: &str = "service";
/// Latency of the service without load and interference.
const BASE_MS: f32 = 20.0;
/// Mean latency above which a report shows the service as slow.
const SLOW_MS: f32 = 50.0;
/// Age of the measurements in a report, in seconds.
const REPORT_LAG: u64 = 5;
/// Time that a task needs to restore a checkpoint, in seconds.
const RESTORE_TIME: f32 = 30.0;
/// Speed of a throttled task, as a share of full speed.
const THROTTLED_SPEED: f32 = 0.5;

/// Name, number of workers, workers per rack, capacity of a worker.
type Site = (&'static str, usize, usize, Size);
const SITES: [Site; 2] = [
    ("vltava", 50, 8, Size::new(16_000, 61_440, 0)),
    ("biometan", 65, 11, Size::new(32_000, 128_000, 0)),
];

struct Class {
    name: &'static str,
    kind: TaskKind,
    /// Mean real use of a task.
    size: Size,
    /// Declared size in percent of the real use.
    declared: u32,
    /// Latency that a worker full of this class adds, in units of the base latency.
    interference_factor: f32,
    /// Mean run time of a task, in seconds.
    run: f32,
    /// Share of the offered batch work.
    share: f32,
    /// Whether the work of ten minutes is offered in one burst instead of evenly.
    bursts: bool,
}

#[rustfmt::skip]
const CLASSES: [Class; 6] = [
    Class { name: "merges", kind: AtMostOnce, size: Size::new(800, 2_500, 0), declared: 100, interference_factor: 0.5, run: 240.0, share: 0.25, bursts: false },
    Class { name: "indexing", kind: Restartable, size: Size::new(1_500, 5_000, 0), declared: 10, interference_factor: 2.0, run: 300.0, share: 0.25, bursts: false },
    Class { name: "previews", kind: Restartable, size: Size::new(500, 1_500, 0), declared: 1_000, interference_factor: 0.5, run: 120.0, share: 0.1, bursts: false },
    Class { name: "scans", kind: Restartable, size: Size::new(2_000, 3_000, 0), declared: 100, interference_factor: 5.0, run: 200.0, share: 0.25, bursts: true },
    Class { name: "reports", kind: Restartable, size: Size::new(1_000, 4_000, 0), declared: 120, interference_factor: 0.5, run: 900.0, share: 0.15, bursts: false },
    // Fails to start on every worker.
    Class { name: "broken", kind: Restartable, size: Size::new(500, 500, 0), declared: 100, interference_factor: 0.0, run: 60.0, share: 0.005, bursts: false },
];
const BROKEN: usize = 5;
/// Offered work as a share of all processors: an amount that fits beside the service, and an
/// overload.
const LOADS: [f32; 2] = [0.35, 0.5];
/// Processors that an instance of the service uses at mean load, as a share of a worker.
const SERVICE_SHARE: f32 = 0.12;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Contender {
    Policy,
    RandomPlacement,
    BestFitDeclared,
    EvictFirst,
}
use Contender::{BestFitDeclared, EvictFirst, Policy, RandomPlacement};

struct Task {
    id: TaskId,
    attempt: u32,
    class: usize,
    key: SizeKey,
    demand: Demand,
    /// Run time that remains at full speed, in seconds.
    remaining: f32,
    /// The same as of the last checkpoint.
    saved: f32,
    running: Running,
}

/// State of one attempt.
#[derive(Default)]
struct Running {
    started: u64,
    throttled: bool,
    /// Use in each of the last seconds, the newest last.
    usage: VecDeque<Size>,
    before_throttle: Option<Size>,
}

impl Task {
    /// Real use; it varies between tasks and every half minute.
    fn used(&self, second: u64) -> Size {
        let seed = u64::from(self.id.index) * 1_000_003 + second / 30;
        let percent = 75 + fastrand::Rng::with_seed(seed).u32(0..50);
        let size = CLASSES[self.class].size.scale(percent);
        let processors = size.processors as f32 * self.speed();
        Size::new(processors as u32, size.memory, 0)
    }

    fn speed(&self) -> f32 {
        [1.0, THROTTLED_SPEED][usize::from(self.running.throttled)]
    }

    fn measured(&self) -> Option<Size> {
        (self.running.usage.len() as u64 > REPORT_LAG).then(|| self.running.usage[0])
    }
}

struct Run {
    contender: Contender,
    capacity: Size,
    /// Offered work as a share of all processors.
    offered: f32,
    rng: fastrand::Rng,
    placer: Placer,
    sizes: SizeEstimator,
    interference: InterferencePolicy,
    quarantine: Quarantine,
    views: Vec<WorkerView>,
    /// Tasks on each simulated worker.
    tasks: Vec<Vec<Task>>,
    /// Mean latency on each worker in its last seconds, the newest last.
    means: Vec<VecDeque<f32>>,
    pending: VecDeque<Task>,
    /// Work of each class that was offered but not yet submitted as jobs, in millicore seconds.
    owed_work: [f32; CLASSES.len()],
    /// Number of tasks submitted so far.
    count: u32,
    /// Latency of the service in us.
    latency: Histogram<u64>,
    /// Finished work in core seconds.
    finished: f32,
    interrupted: u32,
}

impl Run {
    fn new(site: &Site, contender: Contender, offered: f32, seed: u64) -> Self {
        let &(_, workers, rack, capacity) = site;
        let view = |i: usize| {
            let rack = format!("r{}", i / rack).into();
            let mut view = WorkerView::new(format!("w{i:03}").into(), rack, capacity);
            view.services.push(SERVICE.into());
            view
        };
        let views: Vec<_> = (0..workers).map(view).collect();
        Run {
            contender,
            capacity,
            offered,
            rng: fastrand::Rng::with_seed(seed),
            placer: Placer::new(),
            sizes: SizeEstimator::new(),
            interference: InterferencePolicy::new(),
            quarantine: Quarantine::new(),
            tasks: views.iter().map(|_| Vec::new()).collect(),
            means: vec![VecDeque::new(); workers],
            views,
            pending: VecDeque::new(),
            owed_work: [0.0; CLASSES.len()],
            count: 0,
            latency: Histogram::new(3).expect("three digits are valid"),
            finished: 0.0,
            interrupted: 0,
        }
    }

    /// Returns the p99 latency in ms, the useful work finished per second in cores, and the
    /// interruptions per hour.
    fn run(mut self, seconds: u64) -> [f32; 3] {
        // Not measured: the workers fill up and the policy learns.
        let warm_up = 900;
        for second in 0..warm_up + seconds {
            if second == warm_up {
                self.latency.reset();
                (self.finished, self.interrupted) = (0.0, 0);
            }
            self.arrive(second);
            for worker in 0..self.views.len() {
                self.work(worker, second);
                self.report(worker, second);
            }
            self.place(second);
        }
        [
            self.latency.value_at_quantile(0.99) as f32 / 1_000.0,
            self.finished / seconds as f32,
            self.interrupted as f32 * 3_600.0 / seconds as f32,
        ]
    }

    /// Submits the jobs that arrive in this second, eight tasks each.
    fn arrive(&mut self, second: u64) {
        let whole = self.capacity.processors as f32 * self.views.len() as f32;
        for (class, spec) in CLASSES.iter().enumerate() {
            self.owed_work[class] += self.offered * spec.share * whole;
            let job = 8.0 * spec.run * spec.size.processors as f32;
            let declared = spec.size.scale(spec.declared);
            if spec.bursts && second % 600 != 0 {
                continue;
            }
            while self.owed_work[class] > job * self.rng.f32() * 2.0 {
                self.owed_work[class] -= job;
                let name: Name = format!("j{}", self.count).into();
                for _ in 0..8 {
                    self.count += 1;
                    let remaining = spec.run * (0.5 + self.rng.f32());
                    self.pending.push_back(Task {
                        id: TaskId::new(CUSTOMER, name.clone(), self.count),
                        attempt: 0,
                        class,
                        key: SizeKey::new(CUSTOMER.into(), spec.name.into(), declared),
                        demand: Demand::new(CUSTOMER, spec.name, declared, false),
                        remaining,
                        saved: remaining,
                        running: Running::default(),
                    });
                }
            }
        }
    }

    /// Simulates one second on a worker.
    fn work(&mut self, worker: usize, second: u64) {
        let (tasks, means) = (&mut self.tasks[worker], &mut self.means[worker]);
        let whole = self.capacity.processors as f32;
        let load_wave = (second as f32 / 1_200.0).sin();
        let load = SERVICE_SHARE * (1.0 + 0.4 * load_wave);
        let used: Vec<Size> = tasks.iter().map(|t| t.used(second)).collect();
        let batch = used.iter().map(|u| u.processors as f32).sum::<f32>() / whole;
        let speed = ((1.0 - load) / batch.max(0.01)).min(1.0);
        let mut interference = 0.0;
        for (task, used) in tasks.iter_mut().zip(&used) {
            task.remaining -= speed * task.speed();
            interference +=
                CLASSES[task.class].interference_factor * used.processors as f32 * speed / whole;
            task.running.usage.push_back(*used);
            if task.running.usage.len() as u64 > REPORT_LAG + 1 {
                task.running.usage.pop_front();
            }
        }
        let busy = (batch + load).min(0.97);
        let mean =
            BASE_MS * (1.0 + 0.3 * busy / (1.0 - busy) + interference * load / SERVICE_SHARE);
        for _ in 0..4 {
            let sample = mean * (0.6 + 0.4 * -self.rng.f32().max(1e-3).ln());
            let _ = self.latency.record((sample * 1_000.0) as u64);
        }
        means.push_back(mean);
        if means.len() as u64 > REPORT_LAG + 1 {
            means.pop_front();
        }
        self.end_finished(worker);
        self.end_beyond_memory(worker, second);
    }

    fn end_finished(&mut self, worker: usize) {
        let tasks = std::mem::take(&mut self.tasks[worker]);
        for task in tasks {
            if task.remaining > 0.0 {
                self.tasks[worker].push(task);
                continue;
            }
            let spec = &CLASSES[task.class];
            self.finished += spec.run * spec.size.processors as f32 / 1_000.0;
            self.views[worker].release(&task.demand);
            let name = &self.views[worker].name;
            self.quarantine.succeeded(name, &task.id);
        }
    }

    /// If a worker is out of memory, it kills the tasks with the largest use above their
    /// reservations.
    fn end_beyond_memory(&mut self, worker: usize, second: u64) {
        loop {
            let tasks = &self.tasks[worker];
            let used = |t: &Task| t.used(second).memory;
            if tasks.iter().map(used).sum::<u32>() <= self.capacity.memory {
                return;
            }
            let over = |t: &Task| used(t).saturating_sub(t.demand.size.memory);
            let victim = (0..tasks.len()).max_by_key(|i| over(&tasks[*i]));
            self.interrupt(worker, victim.unwrap_or(0), false);
        }
    }

    fn interrupt(&mut self, worker: usize, position: usize, checkpoint: bool) {
        let mut task = self.tasks[worker].swap_remove(position);
        self.views[worker].release(&task.demand);
        self.interrupted += 1;
        if checkpoint {
            task.saved = task.remaining + RESTORE_TIME;
        }
        task.remaining = task.saved;
        task.demand.avoid = vec![self.views[worker].name.clone()];
        self.pending.push_back(task);
    }

    /// Passes the worker's lagging report to the policy and carries out the action that it returns.
    fn report(&mut self, worker: usize, second: u64) {
        if second < REPORT_LAG {
            return;
        }
        let (now, measured) = (
            Millis(second * 1_000),
            Millis((second - REPORT_LAG) * 1_000),
        );
        let is_slow = self.means[worker][0] > SLOW_MS;
        let slow: Vec<Name> = is_slow.then(|| SERVICE.into()).into_iter().collect();
        let view = &mut self.views[worker];
        self.placer.observe(now, view, &slow);
        view.excess = Size::ZERO;
        let mut tasks = Vec::new();
        for task in &mut self.tasks[worker] {
            if let Some(usage) = task.measured() {
                let usage = *task.running.before_throttle.as_ref().unwrap_or(&usage);
                self.sizes.observe(now, &task.key, usage);
                let excess = usage.saturating_sub(&task.demand.size);
                view.excess = view.excess.saturating_add(&excess);
            }
            tasks.push(RunningTask {
                task: task.id.clone(),
                attempt: Attempt(task.attempt),
                class: task.demand.class.class.clone(),
                reserved: task.demand.size,
                usage: task.measured(),
                throttled: task.running.throttled,
                unsaved: Millis((second - task.running.started) * 1_000),
                penalty: self.placer.penalty(now, &task.demand.class, &view.services),
                kind: CLASSES[task.class].kind,
            });
        }
        let (policy, capacity) = (&mut self.interference, self.capacity);
        let relief = match self.contender {
            EvictFirst => evict_first(&tasks, is_slow),
            _ => policy.report(now, &view.name, measured, capacity, &tasks, &slow),
        };
        let mut tasks = self.tasks[worker].iter_mut().enumerate();
        let victim = relief.and_then(|r| Some((tasks.find(|(_, t)| t.id == *r.task())?, r)));
        let Some(((position, task), relief)) = victim else {
            return;
        };
        match relief {
            Mitigation::Throttle { .. } => {
                task.running.before_throttle = task.measured();
                task.running.throttled = true;
            }
            Mitigation::Evict { .. } => self.interrupt(worker, position, true),
            Mitigation::Stop { .. } => self.interrupt(worker, position, false),
        }
    }

    fn place(&mut self, second: u64) {
        let now = Millis(second * 1_000);
        for view in &mut self.views {
            view.accepts_tasks = self.quarantine.allows(now, &view.name);
        }
        let mut blocked = HashSet::new();
        for mut task in std::mem::take(&mut self.pending) {
            let waits = blocked.contains(&task.class);
            let chosen = (!waits).then(|| self.choose(now, &mut task));
            let Some(name) = chosen.flatten() else {
                blocked.insert(task.class);
                self.pending.push_back(task);
                continue;
            };
            self.start(now, task, &name);
        }
    }

    fn start(&mut self, now: Millis, mut task: Task, name: &Name) {
        let worker: usize = name[1..].parse().expect("named by its index");
        self.quarantine.started(now, name);
        task.attempt += 1;
        // Two or three workers, depending on the site, fail every start in the middle half of each
        // hour.
        let fails = worker % 25 == 3 && now.0 / 1_000 % 3_600 / 900 % 3 > 0;
        if fails || task.class == BROKEN {
            self.quarantine.failed(now, name, &task.id);
            self.views[worker].accepts_tasks = self.quarantine.allows(now, name);
            task.demand.avoid.push(name.clone());
            if task.attempt < 5 || task.class != BROKEN {
                self.pending.push_back(task);
            }
            return;
        }
        assert!(self.views[worker].commit(&task.demand));
        self.views[worker].accepts_tasks = self.quarantine.allows(now, name);
        self.placer.refresh(now, &mut self.views[worker]);
        task.running = Running::default();
        task.running.started = now.0 / 1_000;
        self.tasks[worker].push(task);
    }

    fn choose(&mut self, now: Millis, task: &mut Task) -> Option<Name> {
        if self.contender != BestFitDeclared {
            let spec = &CLASSES[task.class];
            let declared = spec.size.scale(spec.declared);
            let estimate = self.sizes.estimate(&task.key, declared);
            task.demand.size = Placer::reservable_size(estimate, declared, false, &self.views);
        }
        let (demand, views) = (&task.demand, &self.views);
        match self.contender {
            BestFitDeclared => Placer::new().choose(now, demand, views).ok(),
            RandomPlacement => {
                let fits = |v: &&WorkerView| v.accepts_tasks && demand.size.fits(&v.free(false));
                let fitting: Vec<_> = views.iter().filter(fits).collect();
                self.rng.choice(fitting).map(|v| v.name.clone())
            }
            Policy | EvictFirst => self.placer.choose(now, demand, views).ok(),
        }
    }
}

/// Evicts the task with the largest use on every report that shows a slow service.
fn evict_first(tasks: &[RunningTask], slow: bool) -> Option<Mitigation> {
    let used = |t: &&RunningTask| t.usage.unwrap_or(t.reserved).processors;
    let victim = tasks.iter().filter(|_| slow).max_by_key(used)?;
    let (task, attempt) = (victim.task.clone(), victim.attempt);
    Some(Mitigation::Evict { task, attempt })
}

fn main() {
    let args = std::env::args().skip(1);
    let mut numbers = args.filter_map(|a| a.parse::<u64>().ok());
    let (seeds, hours) = (numbers.next().unwrap_or(5), numbers.next().unwrap_or(2));
    for (site, offered) in SITES.iter().flat_map(|s| LOADS.map(|l| (s, l))) {
        let (name, percent) = (site.0, offered * 100.0);
        println!("{name}, {percent}% offered, {seeds} seeds, {hours} h each");
        for contender in [Policy, RandomPlacement, BestFitDeclared, EvictFirst] {
            let run = |seed| move || Run::new(site, contender, offered, seed).run(hours * 3_600);
            let measures: Vec<[f32; 3]> = std::thread::scope(|scope| {
                let threads: Vec<_> = (1..=seeds).map(|s| scope.spawn(run(s))).collect();
                let results = threads.into_iter().map(|t| t.join().expect("no panic"));
                results.collect()
            });
            let column = |i: usize| spread(measures.iter().map(|m| m[i]).collect());
            let (p99, work, interrupted) = (column(0), column(1), column(2));
            let name = format!("{contender:?}");
            println!("  {name:20} p99 ms {p99:24} cores {work:24} interruptions/h {interrupted}");
        }
    }
}

fn spread(mut values: Vec<f32>) -> String {
    values.sort_by(f32::total_cmp);
    let mean = values.iter().sum::<f32>() / values.len() as f32;
    let (first, last) = (values[0], values[values.len() - 1]);
    format!("{mean:.1} ({first:.1}..{last:.1})")
}
