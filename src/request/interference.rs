//! Relief of slow services and of workers whose tasks use more than they reserved.

use std::collections::{HashMap, VecDeque};

use crate::base::{Attempt, Millis, Name, Size, TaskId};
use crate::request::pairs::ClassKey;

/// Share of a worker that batch tasks may use before the urgent reserve is touched.
const BATCH_PERCENT: u32 = 80;
/// Use above 110% of the reservation counts as too much; below that it is within the error of the
/// measurement.
const EXCESS_PERCENT: u32 = 110;
/// A task is a candidate if it contributes this share of what the largest contributor does; acting
/// on the others costs their work and relieves next to nothing.
const MIN_PART: f32 = 0.1;
/// The same within the group that is acted on, so that a throttle of the main contributors is not
/// followed by a throttle of every task on the worker.
const MIN_GROUP_PART: f32 = 0.5;
/// Fresh reports with trouble before a throttle. One slow report may be a passing load shift.
const THROTTLE_AFTER: u32 = 2;
/// Fresh reports with trouble after an action before an eviction or a stop. A wait of 3
/// led to the same latency in `benches/policy.rs`, with more evictions.
const EVICT_AFTER: u32 = 10;
/// Work lost by any eviction: checkpoint, wait and restart.
const RESTART: Millis = Millis(30_000);
const HOUR: Millis = Millis(3_600_000);
/// Tasks of a class that may be interrupted within an hour, per hundred running ones.
const BUDGET_PERCENT: usize = 2;

/// A batch or urgent task on a worker, as of its report.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningTask {
    pub task: TaskId,
    pub attempt: Attempt,
    pub class: Name,
    pub reserved: Size,
    pub usage: Option<Size>,
    pub throttled: bool,
    /// Run time since the start or the last checkpoint; a stop loses it.
    pub unsaved: Millis,
    /// `Placer::penalty` of the class for the services on the worker.
    pub penalty: f32,
    pub kind: TaskKind,
}

/// How the policy may treat a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskKind {
    /// Never a candidate.
    Urgent,
    Restartable,
    /// A last candidate; may be stopped, because it is started again.
    Watcher,
    /// A last candidate and never stopped, because its work would be lost for good.
    AtMostOnce,
}

impl RunningTask {
    fn key(&self) -> ClassKey {
        ClassKey::new(self.task.customer.clone(), self.class.clone())
    }

    fn is(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.attempt == attempt && self.task.index == task.index && self.task == *task
    }

    fn relief(&self, action: Asked) -> Mitigation {
        let (task, attempt) = (self.task.clone(), self.attempt);
        match action {
            Asked::Throttle => Mitigation::Throttle { task, attempt },
            Asked::Evict => Mitigation::Evict { task, attempt },
            Asked::Stop => Mitigation::Stop { task, attempt },
        }
    }

    fn is_last(&self) -> bool {
        matches!(self.kind, TaskKind::Watcher | TaskKind::AtMostOnce)
    }

    fn used(&self) -> Size {
        self.usage.unwrap_or(self.reserved)
    }

    fn excess(&self) -> Size {
        let used = self.used();
        if used.fits(&Size {
            accelerators: u32::MAX,
            ..self.reserved.scale(EXCESS_PERCENT)
        }) {
            return Size::ZERO;
        }
        used.saturating_sub(&self.reserved)
    }
}

/// One action on one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mitigation {
    /// The task goes on with fewer processors until its attempt ends.
    Throttle { task: TaskId, attempt: Attempt },
    /// Checkpoint the task and end the attempt.
    Evict { task: TaskId, attempt: Attempt },
    /// End the attempt without a checkpoint.
    Stop { task: TaskId, attempt: Attempt },
}

impl Mitigation {
    pub fn task(&self) -> &TaskId {
        match self {
            Mitigation::Throttle { task, .. }
            | Mitigation::Evict { task, .. }
            | Mitigation::Stop { task, .. } => task,
        }
    }
}

/// Chooses at most one action per worker and report.
#[derive(Debug, Default)]
pub struct InterferencePolicy {
    workers: HashMap<Name, Watched>,
    /// Times of evictions and stops within the last hour.
    interrupted: HashMap<ClassKey, VecDeque<Millis>>,
    running: HashMap<ClassKey, usize>,
}

#[derive(Debug)]
struct Watched {
    /// Only reports measured after this may lead to an action.
    barrier: Millis,
    /// Time of the latest measurement.
    measured: Millis,
    /// Consecutive fresh reports with trouble since the last action.
    troubled: u32,
    /// The last action on each task that had one.
    asked: Vec<(TaskId, Attempt, Asked)>,
    classes: Vec<(ClassKey, usize)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    Throttle,
    Evict,
    Stop,
}

/// What is wrong on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// Batch tasks use the urgent reserve; the dimension that is short.
    Processors,
    Memory,
    Slow,
}

/// A task with its contribution to the trouble.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    task: &'a RunningTask,
    relief: f32,
    asked: Option<Asked>,
}

impl Candidate<'_> {
    /// Relief per lost work.
    fn value(&self) -> f32 {
        self.relief / (RESTART + self.task.unsaved).0 as f32
    }

    fn is_throttled(&self) -> bool {
        self.task.throttled || self.asked.is_some()
    }

    fn may_evict(&self) -> bool {
        matches!(self.asked, None | Some(Asked::Throttle))
    }
}

impl InterferencePolicy {
    pub fn new() -> Self {
        Self::default()
    }

    /// Considers a report of `worker` that was measured at `measured`.
    ///
    /// `slow` names the services that were slow on this worker's host. The first report of a worker
    /// leads to no action, because an earlier lease holder may just have acted.
    pub fn report(
        &mut self,
        now: Millis,
        worker: &Name,
        measured: Millis,
        capacity: Size,
        tasks: &[RunningTask],
        slow: &[Name],
    ) -> Option<Mitigation> {
        let measured = measured.min(now);
        if !self.workers.contains_key(worker) {
            self.workers.insert(worker.clone(), Watched::new(now));
        }
        self.count(worker, tasks);
        let watched = self.workers.get_mut(worker)?;
        watched.forget_ended(tasks);
        if measured <= watched.measured {
            return None;
        }
        watched.measured = measured;
        if measured <= watched.barrier {
            return None;
        }
        let Some(trouble) = find_trouble(capacity, tasks, slow) else {
            watched.troubled = 0;
            return None;
        };
        watched.troubled += 1;
        let troubled = watched.troubled;
        let candidates = watched.candidates(trouble, capacity, tasks);
        let relief = self.choose(now, trouble, troubled, &candidates)?;
        self.record(now, worker, &relief, tasks);
        Some(relief)
    }

    /// Notes when the worker answered the command of an action: until then it may not have been in
    /// effect, so reports measured before count as old.
    pub fn command_answered(&mut self, now: Millis, worker: &Name) {
        if let Some(watched) = self.workers.get_mut(worker) {
            watched.barrier = watched.barrier.max(now);
        }
    }

    /// Forgets a worker whose lease was given up or lost.
    pub fn forget(&mut self, worker: &Name) {
        self.count(worker, &[]);
        self.workers.remove(worker);
    }

    /// Interruptions of the class that the budget still allows.
    pub fn budget(&self, now: Millis, class: &ClassKey) -> usize {
        let running = self.running.get(class).copied().unwrap_or(0);
        let allowed = (running * BUDGET_PERCENT / 100).max(1);
        let interrupted = self.interrupted.get(class);
        let recent = interrupted.map_or(0, |times| {
            times.iter().filter(|t| now.since(**t) < HOUR).count()
        });
        allowed.saturating_sub(recent)
    }

    fn choose(
        &self,
        now: Millis,
        trouble: Trouble,
        troubled: u32,
        candidates: &[Candidate<'_>],
    ) -> Option<Mitigation> {
        let (last, ordinary): (Vec<_>, Vec<_>) =
            candidates.iter().copied().partition(|c| c.task.is_last());
        let mut group = if ordinary.is_empty() { last } else { ordinary };
        keep_main(&mut group, MIN_GROUP_PART);
        let (throttled, free): (Vec<_>, Vec<_>) =
            group.into_iter().partition(Candidate::is_throttled);

        let by_relief = |a: &Candidate<'_>, b: &Candidate<'_>| a.relief.total_cmp(&b.relief);
        if let Some(candidate) = free.iter().copied().max_by(by_relief) {
            // Use above the reservation is certain; slowness may pass.
            let wait = if trouble == Trouble::Slow {
                THROTTLE_AFTER
            } else {
                1
            };
            return (troubled >= wait).then(|| candidate.task.relief(Asked::Throttle));
        }
        // A throttle frees no memory, and a worker without memory ends tasks by itself.
        let wait = if trouble == Trouble::Memory {
            1
        } else {
            EVICT_AFTER
        };
        if troubled < wait {
            return None;
        }
        // The eviction was counted when it was asked for.
        let may_stop = |c: &&Candidate<'_>| {
            c.asked == Some(Asked::Evict) && c.task.kind != TaskKind::AtMostOnce
        };
        if let Some(candidate) = throttled.iter().find(may_stop) {
            return Some(candidate.task.relief(Asked::Stop));
        }
        let in_budget = |c: &&Candidate<'_>| self.budget(now, &c.task.key()) > 0;
        let by_value = |a: &&Candidate<'_>, b: &&Candidate<'_>| a.value().total_cmp(&b.value());
        let evictable = throttled.iter().filter(|c| c.may_evict());
        let candidate = evictable.filter(in_budget).max_by(by_value)?;
        Some(candidate.task.relief(Asked::Evict))
    }

    fn record(&mut self, now: Millis, worker: &Name, relief: &Mitigation, tasks: &[RunningTask]) {
        let (asked, task, attempt) = match relief {
            Mitigation::Throttle { task, attempt } => (Asked::Throttle, task, *attempt),
            Mitigation::Evict { task, attempt } => (Asked::Evict, task, *attempt),
            Mitigation::Stop { task, attempt } => (Asked::Stop, task, *attempt),
        };
        if let Some(watched) = self.workers.get_mut(worker) {
            watched.barrier = now;
            watched.troubled = 0;
            watched.ask(task, attempt, asked);
        }
        if asked != Asked::Evict {
            return;
        }
        let Some(running) = tasks.iter().find(|t| t.task == *task) else {
            return;
        };
        let times = self.interrupted.entry(running.key()).or_default();
        times.retain(|t| now.since(*t) < HOUR);
        times.push_back(now);
    }

    /// Keeps the number of running tasks of each class over all watched workers.
    fn count(&mut self, worker: &Name, tasks: &[RunningTask]) {
        let Some(watched) = self.workers.get_mut(worker) else {
            return;
        };
        let mut classes: Vec<(ClassKey, usize)> = Vec::new();
        for task in tasks {
            let same = |c: &ClassKey| c.class == task.class && c.customer == task.task.customer;
            match classes.iter_mut().find(|(c, _)| same(c)) {
                Some((_, count)) => *count += 1,
                None => classes.push((task.key(), 1)),
            }
        }
        if classes == watched.classes {
            return;
        }
        for (class, count) in &classes {
            *self.running.entry(class.clone()).or_default() += count;
        }
        for (class, count) in std::mem::replace(&mut watched.classes, classes) {
            if let Some(running) = self.running.get_mut(&class) {
                *running -= count;
            }
        }
    }
}

impl Watched {
    fn new(now: Millis) -> Self {
        Watched {
            barrier: now,
            measured: Millis(0),
            troubled: 0,
            asked: Vec::new(),
            classes: Vec::new(),
        }
    }

    fn forget_ended(&mut self, tasks: &[RunningTask]) {
        self.asked
            .retain(|(task, attempt, _)| tasks.iter().any(|t| t.is(task, *attempt)));
    }

    fn asked(&self, running: &RunningTask) -> Option<Asked> {
        let mut asked = self.asked.iter();
        let entry = asked.find(|(task, attempt, _)| running.is(task, *attempt));
        entry.map(|(_, _, action)| *action)
    }

    fn ask(&mut self, task: &TaskId, attempt: Attempt, action: Asked) {
        self.asked.retain(|(t, a, _)| t != task || *a != attempt);
        self.asked.push((task.clone(), attempt, action));
    }

    /// The tasks that contribute a material part of the trouble.
    fn candidates<'a>(
        &self,
        trouble: Trouble,
        capacity: Size,
        tasks: &'a [RunningTask],
    ) -> Vec<Candidate<'a>> {
        let excess = tasks.iter().any(|t| trouble.excess(t) > 0);
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        for task in tasks.iter().filter(|t| t.kind != TaskKind::Urgent) {
            let relief = match trouble {
                Trouble::Slow => slow_part(task, capacity),
                Trouble::Processors | Trouble::Memory if excess => trouble.excess(task) as f32,
                Trouble::Processors => task.used().processors as f32,
                Trouble::Memory => task.used().memory as f32,
            };
            let asked = self.asked(task);
            candidates.push(Candidate {
                task,
                relief,
                asked,
            });
        }
        keep_main(&mut candidates, MIN_PART);
        candidates
    }
}

impl Trouble {
    fn excess(self, task: &RunningTask) -> u32 {
        match self {
            Trouble::Processors | Trouble::Slow => task.excess().processors,
            Trouble::Memory => task.excess().memory,
        }
    }
}

/// Keeps the candidates that contribute at least `part` of what the largest one does.
fn keep_main(candidates: &mut Vec<Candidate<'_>>, part: f32) {
    let largest = candidates.iter().map(|c| c.relief).fold(0.0, f32::max);
    candidates.retain(|c| c.relief > 0.0 && c.relief >= largest * part);
}

/// Contribution of a task to slow services, in log odds. Use above the reservation counts twice, and
/// counts also for a class without a penalty.
fn slow_part(task: &RunningTask, capacity: Size) -> f32 {
    let used = task.used().processors as f32;
    let excess = task.excess().processors as f32;
    let whole = capacity.processors.max(1) as f32;
    (used * task.penalty + excess * (task.penalty + 1.0)) / whole
}

fn find_trouble(capacity: Size, tasks: &[RunningTask], slow: &[Name]) -> Option<Trouble> {
    let mut all = Size::ZERO;
    let mut batch = Size::ZERO;
    for task in tasks {
        all = all.saturating_add(&task.used());
        if task.kind != TaskKind::Urgent {
            batch = batch.saturating_add(&task.used());
        }
    }
    let share = capacity.scale(BATCH_PERCENT);
    let exceeds = |trouble: Trouble| tasks.iter().any(|t| trouble.excess(t) > 0);
    if all.memory > capacity.memory || batch.memory > share.memory && exceeds(Trouble::Memory) {
        return Some(Trouble::Memory);
    }
    if all.processors > capacity.processors
        || batch.processors > share.processors && exceeds(Trouble::Processors)
    {
        return Some(Trouble::Processors);
    }
    (!slow.is_empty()).then_some(Trouble::Slow)
}
