//! Mitigation of interference: actions on tasks that make services slow or use more than they
//! reserved.

use std::collections::{HashMap, VecDeque};

use crate::base::{Attempt, Millis, Name, Size, TaskId};
use crate::request::pairs::ClassKey;

/// Percentage of a worker that batch tasks may use; the rest is reserved for urgent tasks.
const BATCH_PERCENT: u32 = 80;
/// Use above this percentage of a task's reservation counts as excess; less is within the error of
/// the measurement.
const EXCESS_PERCENT: u32 = 110;
/// Smallest contribution of a candidate, relative to the largest contributor. An action on a
/// smaller contributor would cost its work and change next to nothing.
const MIN_CONTRIBUTION: f32 = 0.1;
/// The same among the candidates that are considered together. It keeps the policy from throttling
/// every task on the worker after the main contributors.
const MIN_GROUP_CONTRIBUTION: f32 = 0.5;
/// Consecutive fresh reports of slow services before a throttle. A single one may come from a short
/// change of the load.
const THROTTLE_AFTER_REPORTS: u32 = 2;
/// Consecutive fresh reports of a problem after the last action before an eviction or a stop. With
/// 3, `benches/policy.rs` shows the same latency and more evictions.
const EVICT_AFTER_REPORTS: u32 = 10;
/// Run time lost by any eviction, in milliseconds: checkpoint, wait and restart.
const RESTART_COST: Millis = Millis(30_000);
/// Period of the interruption budget, in milliseconds.
const HOUR: Millis = Millis(3_600_000);
/// Percentage of the running tasks of a class that may be interrupted within an hour.
const INTERRUPTION_PERCENT: usize = 2;

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
    /// Interference of the class with the services on the worker; see `Placer::penalty`.
    pub penalty: f32,
    pub kind: TaskKind,
}

/// How the policy may act on a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskKind {
    /// The policy never acts on it.
    Urgent,
    /// A batch task without further restrictions.
    Restartable,
    /// A task that has no end. Acted on only if there is no other candidate. It may be stopped,
    /// because it is started again.
    Watcher,
    /// Acted on only if there is no other candidate. It is never stopped, because its work would be
    /// lost for good.
    AtMostOnce,
}

impl RunningTask {
    fn key(&self) -> ClassKey {
        ClassKey::new(self.task.customer.clone(), self.class.clone())
    }

    fn is_attempt(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.attempt == attempt && self.task.index == task.index && self.task == *task
    }

    fn mitigation(&self, action: Action) -> Mitigation {
        let (task, attempt) = (self.task.clone(), self.attempt);
        match action {
            Action::Throttle => Mitigation::Throttle { task, attempt },
            Action::Evict => Mitigation::Evict { task, attempt },
            Action::Stop => Mitigation::Stop { task, attempt },
        }
    }

    fn is_last_resort(&self) -> bool {
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

/// An action on a task that reduces interference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mitigation {
    /// Limit the task to fewer processors until its attempt ends.
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

/// Decides on each report of a worker whether to act on one of its tasks.
#[derive(Debug, Default)]
pub struct InterferencePolicy {
    workers: HashMap<Name, WatchedWorker>,
    /// Times of the evictions of each class within the last hour.
    interrupted: HashMap<ClassKey, VecDeque<Millis>>,
    /// Number of running tasks of each class.
    running: HashMap<ClassKey, usize>,
}

#[derive(Debug)]
struct WatchedWorker {
    /// Only reports that were measured after this time may lead to an action.
    barrier: Millis,
    /// Time of the latest measurement that was reported.
    measured: Millis,
    /// Consecutive fresh reports of a problem since the last action.
    problem_reports: u32,
    /// The last action on each running attempt that had one.
    last_actions: Vec<(TaskId, Attempt, Action)>,
    /// Number of tasks of each class on the worker.
    classes: Vec<(ClassKey, usize)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Throttle,
    Evict,
    Stop,
}

/// A problem on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Problem {
    /// The tasks use more processors than the worker has, or batch tasks exceed their share of
    /// them.
    Processors,
    /// The same for memory.
    Memory,
    /// A service on the host is slow.
    SlowService,
}

/// A task that contributes to the problem.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    task: &'a RunningTask,
    /// Comparable only among candidates for the same problem.
    contribution: f32,
    last_action: Option<Action>,
}

impl Candidate<'_> {
    /// Contribution per run time that an eviction loses.
    fn benefit(&self) -> f32 {
        self.contribution / (RESTART_COST + self.task.unsaved).0 as f32
    }

    fn is_throttled(&self) -> bool {
        self.task.throttled || self.last_action.is_some()
    }

    fn may_evict(&self) -> bool {
        matches!(self.last_action, None | Some(Action::Throttle))
    }
}

impl InterferencePolicy {
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles a report of `worker` that was measured at `measured`, and returns the action to
    /// take.
    ///
    /// `slow` names the services that were slow on the worker's host. The first report of a worker
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
            self.workers.insert(worker.clone(), WatchedWorker::new(now));
        }
        self.count_tasks(worker, tasks);
        let watched = self.workers.get_mut(worker)?;
        watched.forget_ended(tasks);
        if measured <= watched.measured {
            return None;
        }
        watched.measured = measured;
        if measured <= watched.barrier {
            return None;
        }
        let Some(problem) = find_problem(capacity, tasks, slow) else {
            watched.problem_reports = 0;
            return None;
        };
        watched.problem_reports += 1;
        let problem_reports = watched.problem_reports;
        let candidates = watched.candidates(problem, capacity, tasks);
        let mitigation = self.choose(now, problem, problem_reports, &candidates)?;
        self.record(now, worker, &mitigation, tasks);
        Some(mitigation)
    }

    /// Records that the worker answered the command for an action. Reports that were measured
    /// before are ignored, because the action may not have been in effect.
    pub fn command_answered(&mut self, now: Millis, worker: &Name) {
        if let Some(watched) = self.workers.get_mut(worker) {
            watched.barrier = watched.barrier.max(now);
        }
    }

    /// Forgets a worker whose lease was released or lost.
    pub fn forget(&mut self, worker: &Name) {
        self.count_tasks(worker, &[]);
        self.workers.remove(worker);
    }

    /// Number of interruptions of the class that the budget still allows.
    pub fn budget(&self, now: Millis, class: &ClassKey) -> usize {
        let running = self.running.get(class).copied().unwrap_or(0);
        let allowed = (running * INTERRUPTION_PERCENT / 100).max(1);
        let interrupted = self.interrupted.get(class);
        let recent = interrupted.map_or(0, |times| {
            times.iter().filter(|t| now.since(**t) < HOUR).count()
        });
        allowed.saturating_sub(recent)
    }

    fn choose(
        &self,
        now: Millis,
        problem: Problem,
        problem_reports: u32,
        candidates: &[Candidate<'_>],
    ) -> Option<Mitigation> {
        let (last_resort, ordinary): (Vec<_>, Vec<_>) = candidates
            .iter()
            .copied()
            .partition(|c| c.task.is_last_resort());
        let mut group = if ordinary.is_empty() {
            last_resort
        } else {
            ordinary
        };
        keep_main_contributors(&mut group, MIN_GROUP_CONTRIBUTION);
        let (throttled, unthrottled): (Vec<_>, Vec<_>) =
            group.into_iter().partition(Candidate::is_throttled);

        let by_contribution =
            |a: &Candidate<'_>, b: &Candidate<'_>| a.contribution.total_cmp(&b.contribution);
        if let Some(candidate) = unthrottled.iter().copied().max_by(by_contribution) {
            // Use above the reservation is certain, while a slow service may recover by itself.
            let wait = if problem == Problem::SlowService {
                THROTTLE_AFTER_REPORTS
            } else {
                1
            };
            return (problem_reports >= wait).then(|| candidate.task.mitigation(Action::Throttle));
        }
        // A throttle frees no memory, and a worker that runs out of memory kills tasks by itself.
        let wait = if problem == Problem::Memory {
            1
        } else {
            EVICT_AFTER_REPORTS
        };
        if problem_reports < wait {
            return None;
        }
        // The budget was charged for the eviction, so a stop of the same attempt is free.
        let may_stop = |c: &&Candidate<'_>| {
            c.last_action == Some(Action::Evict) && c.task.kind != TaskKind::AtMostOnce
        };
        if let Some(candidate) = throttled.iter().find(may_stop) {
            return Some(candidate.task.mitigation(Action::Stop));
        }
        let in_budget = |c: &&Candidate<'_>| self.budget(now, &c.task.key()) > 0;
        let by_benefit =
            |a: &&Candidate<'_>, b: &&Candidate<'_>| a.benefit().total_cmp(&b.benefit());
        let evictable = throttled.iter().filter(|c| c.may_evict());
        let candidate = evictable.filter(in_budget).max_by(by_benefit)?;
        Some(candidate.task.mitigation(Action::Evict))
    }

    fn record(
        &mut self,
        now: Millis,
        worker: &Name,
        mitigation: &Mitigation,
        tasks: &[RunningTask],
    ) {
        let (action, task, attempt) = match mitigation {
            Mitigation::Throttle { task, attempt } => (Action::Throttle, task, *attempt),
            Mitigation::Evict { task, attempt } => (Action::Evict, task, *attempt),
            Mitigation::Stop { task, attempt } => (Action::Stop, task, *attempt),
        };
        if let Some(watched) = self.workers.get_mut(worker) {
            watched.barrier = now;
            watched.problem_reports = 0;
            watched.set_last_action(task, attempt, action);
        }
        if action != Action::Evict {
            return;
        }
        let Some(running) = tasks.iter().find(|t| t.task == *task) else {
            return;
        };
        let times = self.interrupted.entry(running.key()).or_default();
        times.retain(|t| now.since(*t) < HOUR);
        times.push_back(now);
    }

    /// Updates the number of running tasks of each class with those on `worker`.
    fn count_tasks(&mut self, worker: &Name, tasks: &[RunningTask]) {
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

impl WatchedWorker {
    fn new(now: Millis) -> Self {
        WatchedWorker {
            barrier: now,
            measured: Millis(0),
            problem_reports: 0,
            last_actions: Vec::new(),
            classes: Vec::new(),
        }
    }

    fn forget_ended(&mut self, tasks: &[RunningTask]) {
        self.last_actions
            .retain(|(task, attempt, _)| tasks.iter().any(|t| t.is_attempt(task, *attempt)));
    }

    fn last_action(&self, running: &RunningTask) -> Option<Action> {
        let mut actions = self.last_actions.iter();
        let entry = actions.find(|(task, attempt, _)| running.is_attempt(task, *attempt));
        entry.map(|(_, _, action)| *action)
    }

    fn set_last_action(&mut self, task: &TaskId, attempt: Attempt, action: Action) {
        self.last_actions
            .retain(|(t, a, _)| t != task || *a != attempt);
        self.last_actions.push((task.clone(), attempt, action));
    }

    /// The tasks that contribute substantially to the problem.
    fn candidates<'a>(
        &self,
        problem: Problem,
        capacity: Size,
        tasks: &'a [RunningTask],
    ) -> Vec<Candidate<'a>> {
        let excess = tasks.iter().any(|t| problem.excess(t) > 0);
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        for task in tasks.iter().filter(|t| t.kind != TaskKind::Urgent) {
            let contribution = match problem {
                Problem::SlowService => slow_contribution(task, capacity),
                Problem::Processors | Problem::Memory if excess => problem.excess(task) as f32,
                Problem::Processors => task.used().processors as f32,
                Problem::Memory => task.used().memory as f32,
            };
            let last_action = self.last_action(task);
            candidates.push(Candidate {
                task,
                contribution,
                last_action,
            });
        }
        keep_main_contributors(&mut candidates, MIN_CONTRIBUTION);
        candidates
    }
}

impl Problem {
    fn excess(self, task: &RunningTask) -> u32 {
        match self {
            Problem::Processors | Problem::SlowService => task.excess().processors,
            Problem::Memory => task.excess().memory,
        }
    }
}

/// Keeps the candidates that contribute at least `min_share` of what the largest one does.
fn keep_main_contributors(candidates: &mut Vec<Candidate<'_>>, min_share: f32) {
    let largest = candidates
        .iter()
        .map(|c| c.contribution)
        .fold(0.0, f32::max);
    candidates.retain(|c| c.contribution > 0.0 && c.contribution >= largest * min_share);
}

/// Contribution of a task to the slowness of services, in log odds. Use above the reservation
/// counts twice, and also for a class without a penalty.
fn slow_contribution(task: &RunningTask, capacity: Size) -> f32 {
    let used = task.used().processors as f32;
    let excess = task.excess().processors as f32;
    let whole = capacity.processors.max(1) as f32;
    (used * task.penalty + excess * (task.penalty + 1.0)) / whole
}

fn find_problem(capacity: Size, tasks: &[RunningTask], slow: &[Name]) -> Option<Problem> {
    let mut all = Size::ZERO;
    let mut batch = Size::ZERO;
    for task in tasks {
        all = all.saturating_add(&task.used());
        if task.kind != TaskKind::Urgent {
            batch = batch.saturating_add(&task.used());
        }
    }
    let share = capacity.scale(BATCH_PERCENT);
    let exceeds = |problem: Problem| tasks.iter().any(|t| problem.excess(t) > 0);
    if all.memory > capacity.memory || batch.memory > share.memory && exceeds(Problem::Memory) {
        return Some(Problem::Memory);
    }
    if all.processors > capacity.processors
        || batch.processors > share.processors && exceeds(Problem::Processors)
    {
        return Some(Problem::Processors);
    }
    (!slow.is_empty()).then_some(Problem::SlowService)
}
