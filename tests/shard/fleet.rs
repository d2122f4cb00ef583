//! Model of workers: tokens, leases, tombstones and both lists, as the platform describes them. It
//! checks the promises that concern workers at every start.

use std::collections::{BTreeMap, HashMap, HashSet};

use jayfork::base::Size;
use jayfork::connection::{
    EndReport, Order, Refusal, RunReport, StartOrder, WorkerAnswer, WorkerReport,
};
use jayfork::request::job::{Ending, JobSpec, TaskKey};

const LEASE: u64 = 6_000;

pub struct Run {
    pub run: u64,
    ends: u64,
    fails: bool,
    size: Size,
}

pub struct Worker {
    pub capacity: Size,
    pub runs: BTreeMap<TaskKey, Run>,
    ended: Vec<EndReport>,
    next_end: u64,
    token: u64,
    until: u64,
    /// Highest run of a task that ended or was stopped here.
    closed: HashMap<TaskKey, u64>,
    /// Difference of this worker's clock from the true time.
    offset: u64,
    pub born: u64,
    /// Whether its last entry in the registry says that it is leaving.
    pub is_leaving: bool,
    /// Its process has ended for good; nothing listens at its address.
    pub is_gone: bool,
    /// Messages neither arrive nor leave.
    pub is_cut: bool,
    /// Until when its process is starting; nobody answers meanwhile.
    pub down_until: u64,
}

/// Time that a worker's process takes to start: longer than an owner pauses between two reports.
const RESTART_TIME: u64 = 500;

/// All workers, and what has happened to each task.
pub struct Fleet {
    pub workers: Vec<Worker>,
    pub specs: HashMap<TaskKey, (JobSpec, u64)>,
    /// Tasks with an end that the worker was told is noted.
    pub noted: HashSet<TaskKey>,
    pub done: HashSet<TaskKey>,
    pub failures: HashMap<TaskKey, u32>,
    pub starts: u64,
    pub violations: Vec<String>,
    /// What happened to each task, for the message of a violation.
    history: HashMap<TaskKey, Vec<String>>,
}

impl Fleet {
    pub fn new(count: usize, processors: u32) -> Self {
        let workers = (0..count).map(|index| Worker {
            capacity: Size::new(processors, 100_000, 0),
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            token: 0,
            until: 0,
            closed: HashMap::new(),
            offset: 1_000 * (index as u64 + 1),
            born: 1,
            is_leaving: false,
            is_gone: false,
            is_cut: false,
            down_until: 0,
        });
        Fleet {
            workers: workers.collect(),
            specs: HashMap::new(),
            noted: HashSet::new(),
            done: HashSet::new(),
            failures: HashMap::new(),
            starts: 0,
            violations: Vec::new(),
            history: HashMap::new(),
        }
    }

    fn note(&mut self, task: TaskKey, text: String) {
        self.history.entry(task).or_default().push(text);
    }

    fn violate(&mut self, task: TaskKey, text: String) {
        let history = self.history.get(&task).cloned().unwrap_or_default();
        self.violations.push(format!("{text}; {history:?}"));
    }

    /// Starts a worker anew: it runs and knows nothing.
    pub fn restart(&mut self, now: u64, index: usize) {
        let running: Vec<TaskKey> = self.workers[index].runs.keys().copied().collect();
        for task in running {
            self.note(task, format!("{now}: worker {index} starts anew"));
        }
        // An end that nobody has noted is lost with its worker and does not count.
        let worker = &mut self.workers[index];
        for end in worker
            .ended
            .iter()
            .filter(|end| end.ending == Ending::Failed)
        {
            if let Some(failures) = self.failures.get_mut(&end.task) {
                *failures -= 1;
            }
        }
        worker.runs.clear();
        worker.ended.clear();
        worker.next_end = 1;
        worker.token = 0;
        worker.until = 0;
        worker.closed.clear();
        worker.born += 1;
        worker.down_until = now + RESTART_TIME;
    }

    /// Ends what is over at `now`.
    pub fn advance(&mut self, now: u64) {
        let mut notes = Vec::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let clock = now + worker.offset;
            let lapsed = clock > worker.until;
            let over: Vec<TaskKey> = worker
                .runs
                .iter()
                .filter(|(_, run)| lapsed || run.ends <= now)
                .map(|(task, _)| *task)
                .collect();
            for task in over {
                let ending = match worker.runs.get(&task) {
                    Some(run) if run.ends <= now && run.fails => Ending::Failed,
                    Some(run) if run.ends <= now => Ending::Done,
                    _ => Ending::Lapsed,
                };
                match ending {
                    Ending::Done => drop(self.done.insert(task)),
                    Ending::Failed => *self.failures.entry(task).or_default() += 1,
                    _ => {}
                }
                notes.push((task, format!("{now}: ends {ending:?} on {index}")));
                worker.end(task, ending);
            }
        }
        for (task, text) in notes {
            self.note(task, text);
        }
    }

    pub fn serve(
        &mut self,
        now: u64,
        index: usize,
        token: u64,
        order: &Order,
        fails: bool,
        runtime: u64,
    ) -> WorkerAnswer {
        let worker = &mut self.workers[index];
        let clock = now + worker.offset;
        if token < worker.token {
            return refused(clock, Refusal::Fenced);
        }
        worker.token = token;
        match order {
            Order::Start(start) => return self.start(now, index, start, fails, runtime),
            Order::Stop { task, run } => {
                let closed = worker.closed.entry(*task).or_default();
                *closed = (*closed).max(*run);
                if worker.runs.get(task).is_some_and(|known| known.run <= *run) {
                    worker.end(*task, Ending::Stopped);
                }
                self.note(*task, format!("{now}: run {run} stopped on {index}"));
            }
            Order::Renew {
                lease_end,
                acknowledged,
                ..
            } => {
                worker.extend(clock, *lease_end);
                let (forgotten, kept): (Vec<_>, Vec<_>) = worker
                    .ended
                    .drain(..)
                    .partition(|end| end.number <= *acknowledged);
                worker.ended = kept;
                for end in forgotten {
                    if end.ending == Ending::Done {
                        self.noted.insert(end.task);
                    }
                    let text = format!("{now}: end noted on {index} by epoch {}", token >> 16);
                    self.note(end.task, text);
                }
                return WorkerAnswer::Report(self.workers[index].report(clock));
            }
            Order::Throttle { .. } => {}
        }
        WorkerAnswer::Accepted { clock }
    }

    fn start(
        &mut self,
        now: u64,
        index: usize,
        start: &StartOrder,
        fails: bool,
        runtime: u64,
    ) -> WorkerAnswer {
        let task = start.task;
        let clock = now + self.workers[index].offset;
        let worker = &mut self.workers[index];
        if worker
            .runs
            .get(&task)
            .is_some_and(|run| run.run == start.run)
        {
            return WorkerAnswer::Accepted { clock };
        }
        if worker
            .closed
            .get(&task)
            .is_some_and(|closed| *closed >= start.run)
        {
            return refused(clock, Refusal::OldRun);
        }
        if start.lease_end <= clock {
            return refused(clock, Refusal::LeaseExpired);
        }
        worker.extend(clock, Some(start.lease_end));
        self.starts += 1;
        self.note(task, format!("{now}: run {} starts on {index}", start.run));
        self.check_start(task);
        let Some((spec, _)) = self.specs.get(&task) else {
            return refused(clock, Refusal::Malformed);
        };
        let step = &spec.steps[usize::from(task.step.step)];
        let size = step.reserved();
        let ends = match step.lasts {
            true => u64::MAX,
            false => now + runtime,
        };
        let worker = &mut self.workers[index];
        worker.runs.insert(
            task,
            Run {
                run: start.run,
                ends,
                fails,
                size,
            },
        );
        let used = worker
            .runs
            .values()
            .fold(Size::ZERO, |sum, run| sum.saturating_add(&run.size));
        if !used.fits(&worker.capacity) {
            let text = format!("worker {index} is asked for {used:?} by {task} at {now}");
            self.violations.push(text);
        }
        WorkerAnswer::Accepted { clock }
    }

    fn check_start(&mut self, task: TaskKey) {
        let places = self
            .workers
            .iter()
            .filter(|worker| worker.runs.contains_key(&task));
        if places.count() > 0 {
            self.violate(task, format!("{task} runs twice at once"));
        }
        if self.noted.contains(&task) {
            self.violate(task, format!("{task} starts after its end was noted"));
        }
        let Some((spec, attempts)) = self.specs.get(&task).cloned() else {
            self.violate(task, format!("{task} was never asked for"));
            return;
        };
        let failures = self.failures.get(&task).copied().unwrap_or(0);
        let lasts = spec.steps[usize::from(task.step.step)].lasts;
        if !lasts && u64::from(failures) >= attempts {
            self.violate(task, format!("{task} starts after {failures} failures"));
        }
        for after in &spec.steps[usize::from(task.step.step)].after {
            for other in 0..spec.steps[usize::from(*after)].count {
                let mut earlier = task;
                earlier.step.step = *after;
                earlier.index = other;
                if !self.done.contains(&earlier) {
                    self.violate(task, format!("{task} starts before {earlier} is done"));
                }
            }
        }
    }
}

impl Worker {
    fn extend(&mut self, clock: u64, until: Option<u64>) {
        if let Some(until) = until {
            self.until = self.until.max(until.min(clock + LEASE));
        }
    }

    fn end(&mut self, task: TaskKey, ending: Ending) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let closed = self.closed.entry(task).or_default();
        *closed = (*closed).max(run.run);
        self.ended.push(EndReport {
            number: self.next_end,
            task,
            run: run.run,
            ending,
            checkpoint: None,
        });
        self.next_end += 1;
    }

    fn report(&self, clock: u64) -> WorkerReport {
        let running = self.runs.iter().map(|(task, run)| RunReport {
            task: *task,
            run: run.run,
            checkpoint: None,
            percent: 100,
            measurement: None,
        });
        WorkerReport {
            clock,
            start_time: self.born,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

fn refused(clock: u64, reason: Refusal) -> WorkerAnswer {
    let clock = Some(clock);
    WorkerAnswer::Refused { clock, reason }
}
