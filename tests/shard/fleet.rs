//! Model of the workers: fencing tokens, leases, closed runs and the lists of running and ended
//! runs, as the platform specifies them. At every start it checks the invariants that concern
//! workers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use jayfork::base::Size;
use jayfork::connection::{
    EndReport, Order, Refusal, RunReport, StartOrder, WorkerAnswer, WorkerReport,
};
use jayfork::request::job::{Ending, JobId, JobSpec, TaskKey};

use super::crash_model::CRASH_DELAY;
use super::gang_model::Gangs;
use super::pace::Pace;
use super::success_model::{Failures, Lapses, Successes};

/// Time that a worker takes to stop a run, in milliseconds.
const STOP_TIME: u64 = 400;
/// Ends that a worker lists at once.
const MAX_ENDS: usize = 500;

pub struct Run {
    pub run: u64,
    pub started: u64,
    /// When it ends by itself.
    ends: u64,
    fails: bool,
    size: Size,
    pub pace: Pace,
    /// Whether it saves its progress; only gangs do in this model.
    pub saves: bool,
    /// What it resumed from, or has saved since.
    pub checkpoint: Option<Arc<str>>,
}

/// A run that is being stopped: it takes room, but the worker lists it neither as running nor as ended.
struct Stopping {
    task: TaskKey,
    run: u64,
    size: Size,
    checkpoint: Option<Arc<str>>,
    until: u64,
}

pub struct Worker {
    /// Longest lease that it accepts, in milliseconds.
    pub max_lease: u64,
    pub capacity: Size,
    pub runs: BTreeMap<TaskKey, Run>,
    stopping: Vec<Stopping>,
    ended: Vec<EndReport>,
    next_end: u64,
    /// Number of the newest end of a run that ended with its lease.
    last_lapse: u64,
    /// Highest epoch that an order carried.
    token: u64,
    /// End of the lease on this worker's clock.
    until: u64,
    /// Highest run of each task that ended or was stopped here; runs up to it are refused.
    closed: HashMap<TaskKey, u64>,
    /// Added to the simulated time, modulo 2^64, for this worker's clock.
    offset: u64,
    /// Whether its clock starts anew with each incarnation, as the platform specifies.
    pub resets_clock: bool,
    /// Number of its incarnation.
    pub incarnation: u64,
    /// Whether its last entry in the registry says that it is leaving.
    pub is_leaving: bool,
    /// Whether its process has ended for good, so that nothing listens at its address.
    pub is_gone: bool,
    /// Whether its network is cut: messages neither arrive nor leave.
    pub is_unreachable: bool,
    /// Time from the start of one incarnation to that of the next, in milliseconds.
    pub life_time: u64,
    /// Whether its network refuses connections while its process runs on.
    pub is_refused: bool,
    /// Until when its process is starting and gives no answers.
    pub down_until: u64,
    /// When its process ends because of a task that it has started.
    pub crash_at: Option<u64>,
    /// When its entry is removed from the registry, after a crash.
    pub unlisted_at: Option<u64>,
    /// When a process listens at its address again, after a crash.
    pub returns_at: Option<u64>,
    /// How often another worker has taken over its address.
    pub renamed: u64,
    /// Its capacity before the newest change, and when the change counts for starts.
    pub former: (Size, u64),
    /// Tail latency of its serving tasks without best-effort ones, as a share of the bound; reports
    /// contain no measurements without it.
    pub quiet_tail: Option<f64>,
}

/// Time that a worker's process takes to start, in milliseconds; longer than an owner's pause
/// between two requests for reports.
const RESTART_TIME: u64 = 500;

/// All workers, and what happened to each task.
pub struct Fleet {
    pub workers: Vec<Worker>,
    /// Job and allowed attempts of each submitted task.
    pub specs: HashMap<TaskKey, (JobSpec, u64)>,
    /// Tasks with a successful end that an owner has acknowledged.
    pub acknowledged: HashSet<TaskKey>,
    pub done: HashSet<TaskKey>,
    successes: Successes,
    failures: Failures,
    pub lapses: Lapses,
    /// Failed runs of each task, also those that are lost with their worker before their
    /// acknowledgement.
    pub failed_runs: HashMap<TaskKey, u32>,
    /// Jobs whose tasks crash the workers that start them.
    pub crashing: HashSet<JobId>,
    /// Crashes of workers while they ran the task, for each task.
    pub crashes: HashMap<TaskKey, u32>,
    /// Starts of each task after `MAX_CRASHES` crashes.
    pub late_starts: HashMap<TaskKey, u32>,
    pub starts: u64,
    pub gangs: Gangs,
    /// Ends of members that have waited for the others of their gang in vain.
    pub alone: u64,
    pub violations: Vec<String>,
    /// Events of each task, for the messages of violations.
    history: HashMap<TaskKey, Vec<String>>,
}

impl Fleet {
    pub fn new(count: usize, processors: u32) -> Self {
        let workers = (0..count).map(|index| Worker {
            max_lease: 6_000,
            capacity: Size::new(processors, 100_000, 0),
            runs: BTreeMap::new(),
            stopping: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            last_lapse: 0,
            token: 0,
            until: 0,
            closed: HashMap::new(),
            offset: 1_000 * (index as u64 + 1),
            resets_clock: false,
            incarnation: 1,
            is_leaving: false,
            is_gone: false,
            is_unreachable: false,
            life_time: 10_000,
            is_refused: false,
            down_until: 0,
            crash_at: None,
            unlisted_at: None,
            returns_at: None,
            renamed: 0,
            former: (Size::ZERO, 0),
            quiet_tail: None,
        });
        Fleet {
            workers: workers.collect(),
            specs: HashMap::new(),
            acknowledged: HashSet::new(),
            done: HashSet::new(),
            successes: Successes::default(),
            failures: Failures::default(),
            lapses: Lapses::default(),
            failed_runs: HashMap::new(),
            crashing: HashSet::new(),
            crashes: HashMap::new(),
            late_starts: HashMap::new(),
            starts: 0,
            gangs: Gangs::new(),
            alone: 0,
            violations: Vec::new(),
            history: HashMap::new(),
        }
    }

    fn log_event(&mut self, task: TaskKey, text: String) {
        self.history.entry(task).or_default().push(text);
    }

    pub fn report_violation(&mut self, task: TaskKey, text: String) {
        let history = self.history.get(&task).cloned().unwrap_or_default();
        self.violations.push(format!("{text}; {history:?}"));
    }

    /// Restarts a worker: it loses its runs and all its state.
    pub fn restart(&mut self, now: u64, index: usize) {
        let running: Vec<TaskKey> = self.workers[index].runs.keys().copied().collect();
        for task in running {
            self.log_event(task, format!("{now}: worker {index} restarts"));
            *self.crashes.entry(task).or_default() += 1;
        }
        // A failure that was not acknowledged is lost with its worker and does not count.
        let worker = &mut self.workers[index];
        worker.runs.clear();
        worker.stopping.clear();
        worker.ended.clear();
        worker.next_end = 1;
        worker.last_lapse = 0;
        worker.token = 0;
        worker.until = 0;
        worker.closed.clear();
        worker.incarnation += 1;
        if worker.resets_clock {
            worker.offset = 1_000u64.wrapping_sub(now);
        }
        worker.down_until = now + RESTART_TIME;
    }

    /// Lets all runs of a job fail now.
    pub fn fail_job(&mut self, now: u64, job: JobId) {
        let workers = self.workers.iter_mut();
        let runs = workers.flat_map(|worker| worker.runs.iter_mut());
        for (_, run) in runs.filter(|(task, _)| task.step.job == job) {
            run.ends = now;
            run.fails = true;
        }
    }

    /// Lets all runs of a job end as done now.
    pub fn finish_job(&mut self, now: u64, job: JobId) {
        let workers = self.workers.iter_mut();
        let runs = workers.flat_map(|worker| worker.runs.iter_mut());
        for (_, run) in runs.filter(|(task, _)| task.step.job == job) {
            run.ends = now;
        }
    }

    /// Whether no worker has room for a task of a job; its tasks are of one size.
    pub fn lacks_room(&self, job: JobId) -> bool {
        let mut specs = self.specs.iter().filter(|(task, _)| task.step.job == job);
        let (_, (spec, _)) = specs.next().expect("a submitted job");
        let needed = spec.steps[0].reserved();
        assert!(spec.steps.iter().all(|step| step.reserved() == needed));
        !self
            .workers
            .iter()
            .any(|worker| needed.fits(&worker.free()))
    }

    /// Ends the runs that are over or whose lease has expired at `now`.
    pub fn advance(&mut self, now: u64) {
        let mut events = Vec::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            worker.finish_stops(now);
            let clock = now.wrapping_add(worker.offset);
            let has_expired = clock > worker.until;
            worker.runs.values_mut().for_each(|run| run.pace.advance());
            let over: Vec<TaskKey> = worker
                .runs
                .iter()
                .filter(|(_, run)| has_expired || run.is_over(now))
                .map(|(task, _)| *task)
                .collect();
            for task in over {
                let ending = match worker.runs.get(&task) {
                    Some(run) if run.is_over(now) && run.fails => Ending::Failed,
                    Some(run) if run.is_over(now) => Ending::Done,
                    _ => Ending::Lapsed,
                };
                match ending {
                    Ending::Done => {
                        self.done.insert(task);
                        let run = worker.runs.get(&task).map_or(0, |run| run.run);
                        self.successes.note_success(task, run);
                    }
                    Ending::Failed => {
                        let run = worker.runs.get(&task).map_or(0, |run| run.run);
                        self.failures.note_failure(task, run);
                        *self.failed_runs.entry(task).or_default() += 1;
                    }
                    _ => {}
                }
                events.push((task, format!("{now}: ends {ending:?} on {index}")));
                worker.end(task, ending);
            }
        }
        for (task, text) in events {
            self.log_event(task, text);
        }
        self.advance_gangs(now);
    }

    /// Carries out an order with fencing token `token`. A run that starts takes `runtime`
    /// milliseconds and then fails if `fails` is set.
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
        let clock = now.wrapping_add(worker.offset);
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
                    worker.begin_stop(now, *task);
                }
                self.log_event(*task, format!("{now}: run {run} stopped on {index}"));
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
                let last_lapse = worker.last_lapse;
                for end in forgotten {
                    if self.lapses.is_excused(end.number, last_lapse) {
                        continue;
                    }
                    if end.ending == Ending::Done {
                        self.acknowledged.insert(end.task);
                        self.check_success(&end, last_lapse);
                    }
                    if end.ending == Ending::Failed {
                        self.failures.acknowledge(end.task, end.run);
                        self.check_failures(end.task);
                    }
                    let text = format!(
                        "{now}: end acknowledged on {index} by epoch {}",
                        token >> 16
                    );
                    self.log_event(end.task, text);
                }
                return WorkerAnswer::Report(self.workers[index].report(now, clock));
            }
            Order::Throttle { task, percent, .. } => {
                if let Some(run) = worker.runs.get_mut(task) {
                    run.pace.limit = *percent;
                }
            }
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
        let clock = now.wrapping_add(self.workers[index].offset);
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
        self.log_event(task, format!("{now}: run {} starts on {index}", start.run));
        self.check_start(task);
        self.successes.note_start(task);
        let Some((spec, _)) = self.specs.get(&task) else {
            return refused(clock, Refusal::Malformed);
        };
        let step = spec.steps[usize::from(task.step.step)].clone();
        self.note_member(now, start, &step);
        let size = step.reserved();
        let ends = match step.lasts {
            true => u64::MAX,
            false => now + runtime,
        };
        let pace = Pace::new(&step, runtime);
        let worker = &mut self.workers[index];
        if self.crashing.contains(&task.step.job) {
            worker.crash_at.get_or_insert(now + CRASH_DELAY);
        }
        worker.runs.insert(
            task,
            Run {
                run: start.run,
                started: now,
                ends,
                fails,
                size,
                pace,
                saves: step.gang && step.saves,
                checkpoint: start.checkpoint.clone(),
            },
        );
        let running = worker.runs.values().map(|run| &run.size);
        let stopping = worker.stopping.iter().map(|run| &run.size);
        let used = running
            .chain(stopping)
            .fold(Size::ZERO, |sum, size| sum.saturating_add(size));
        if !used.fits(&worker.limit(now)) {
            let text = format!("worker {index} is overcommitted with {used:?} by {task} at {now}");
            self.violations.push(text);
        }
        WorkerAnswer::Accepted { clock }
    }

    /// Reports a violation if a success is acknowledged although its task was started again after it. A lease
    /// that has ended a run since then excuses it.
    fn check_success(&mut self, end: &EndReport, last_lapse: u64) {
        if last_lapse < end.number && self.successes.is_superseded(end.task, end.run) {
            let text = format!(
                "a success of {} is acknowledged after another start",
                end.task
            );
            self.report_violation(end.task, text);
        }
    }

    /// Reports a violation if the task has started after all its attempts had failed, as far as their ends are
    /// acknowledged.
    fn check_failures(&mut self, task: TaskKey) {
        let Some((spec, attempts)) = self.specs.get(&task) else {
            return;
        };
        let lasts = spec.steps[usize::from(task.step.step)].lasts;
        if !lasts && self.failures.is_exceeded(task, *attempts) {
            self.report_violation(task, format!("{task} starts after {attempts} failures"));
        }
    }

    /// Reports a violation if the task must not start now.
    fn check_start(&mut self, task: TaskKey) {
        let running_on = self.workers.iter().filter(|worker| worker.holds(&task));
        if running_on.count() > 0 {
            self.report_violation(task, format!("{task} runs twice at once"));
        }
        if self.acknowledged.contains(&task) {
            self.report_violation(
                task,
                format!("{task} starts after its end was acknowledged"),
            );
        }
        let Some((spec, attempts)) = self.specs.get(&task).cloned() else {
            self.report_violation(task, format!("{task} was never submitted"));
            return;
        };
        self.failures.note_start(task, attempts);
        self.check_failures(task);
        self.check_crashes(task);
        for after in &spec.steps[usize::from(task.step.step)].after {
            for index in 0..spec.steps[usize::from(*after)].count {
                let mut earlier = task;
                earlier.step.step = *after;
                earlier.index = index;
                if !self.done.contains(&earlier) {
                    self.report_violation(task, format!("{task} starts before {earlier} is done"));
                }
            }
        }
    }
}

impl Run {
    fn is_over(&self, now: u64) -> bool {
        self.ends.saturating_add(self.pace.added()) <= now
    }
}

impl Worker {
    /// Extends the lease, by at most `max_lease` from now.
    fn extend(&mut self, clock: u64, until: Option<u64>) {
        if let Some(until) = until {
            self.until = self.until.max(until.min(clock + self.max_lease));
        }
    }

    /// Begins to stop a run, which takes `STOP_TIME`.
    fn begin_stop(&mut self, now: u64, task: TaskKey) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let closed = self.closed.entry(task).or_default();
        *closed = (*closed).max(run.run);
        self.stopping.push(Stopping {
            task,
            run: run.run,
            size: run.size,
            checkpoint: run.checkpoint,
            until: now + STOP_TIME,
        });
    }

    /// Lists the stopped runs whose time is over as ended.
    fn finish_stops(&mut self, now: u64) {
        let (over, stopping): (Vec<_>, Vec<_>) = std::mem::take(&mut self.stopping)
            .into_iter()
            .partition(|stopping| stopping.until <= now);
        self.stopping = stopping;
        for stopped in over {
            self.ended.push(EndReport {
                number: self.next_end,
                task: stopped.task,
                run: stopped.run,
                ending: Ending::Stopped,
                checkpoint: stopped.checkpoint,
            });
            self.next_end += 1;
        }
    }

    fn free(&self) -> Size {
        let runs = self.runs.values();
        let used = runs.fold(Size::ZERO, |sum, run| sum.saturating_add(&run.size));
        self.capacity.saturating_sub(&used)
    }

    /// Whether a run of the task is here, also one that is being stopped.
    fn holds(&self, task: &TaskKey) -> bool {
        self.runs.contains_key(task) || self.stopping.iter().any(|run| run.task == *task)
    }

    pub fn end(&mut self, task: TaskKey, ending: Ending) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let closed = self.closed.entry(task).or_default();
        *closed = (*closed).max(run.run);
        if ending == Ending::Lapsed {
            self.last_lapse = self.next_end;
        }
        self.ended.push(EndReport {
            number: self.next_end,
            task,
            run: run.run,
            ending,
            checkpoint: run.checkpoint,
        });
        self.next_end += 1;
    }

    /// Start of its incarnation, in milliseconds.
    pub fn start_time(&self) -> u64 {
        self.incarnation * self.life_time
    }

    fn report(&self, now: u64, clock: u64) -> WorkerReport {
        let paces = || self.runs.values().map(|run| &run.pace);
        let processors = self.capacity.processors;
        let running = self.runs.iter().map(|(task, run)| RunReport {
            task: *task,
            run: run.run,
            checkpoint: run.checkpoint.clone(),
            percent: run.pace.percent(now - run.started),
            measurement: run
                .pace
                .measurement(self.quiet_tail, run.pace.interference(paces(), processors)),
        });
        WorkerReport {
            clock,
            start_time: self.start_time(),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_ENDS).cloned().collect(),
        }
    }
}

fn refused(clock: u64, reason: Refusal) -> WorkerAnswer {
    let clock = Some(clock);
    WorkerAnswer::Refused { clock, reason }
}
