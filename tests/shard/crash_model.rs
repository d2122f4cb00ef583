//! Model of tasks that crash the workers that start them.

use std::collections::HashMap;

use jayfork::base::Name;
use jayfork::process::shard::{RegistryChange, ShardEvent};
use jayfork::request::job::{JobId, TaskKey};

use super::fleet::{Fleet, Worker};
use super::world::World;

/// Time from the start of such a task to the end of its worker's process, in milliseconds.
pub const CRASH_DELAY: u64 = 10;
/// Time from the end of a worker's process to the removal of its registry entry, in milliseconds.
const UNLIST_TIME: u64 = 3_700;
/// Time from the end of a worker's process to its next start, in milliseconds.
const RETURN_TIME: u64 = 7_000;
/// Time after the start of a run in which it may crash its worker, in milliseconds, with the report that
/// shows that it has not.
const START_TIME: u64 = 2_500;
/// Crashes after which a task may start `MAX_LATE_STARTS` times at most.
const MAX_CRASHES: u32 = 3;
const MAX_LATE_STARTS: u32 = 2;

impl Worker {
    pub fn is_listed(&self) -> bool {
        !self.is_gone && (self.returns_at.is_none() || self.unlisted_at.is_some())
    }
}

impl Fleet {
    /// Reports a violation if the task has crashed too many workers to start now.
    pub fn check_crashes(&mut self, task: TaskKey) {
        let is_crashing = self.crashing.contains(&task.step.job);
        if !is_crashing || self.crashes.get(&task).copied().unwrap_or(0) < MAX_CRASHES {
            return;
        }
        let starts = self.late_starts.entry(task).or_default();
        *starts += 1;
        let starts = *starts;
        if starts > MAX_LATE_STARTS {
            let text = format!("{task} starts {starts} times after {MAX_CRASHES} crashes");
            self.report_violation(task, text);
        }
    }

    /// Whether a task of the job has failed as often as is allowed, or has crashed two workers.
    pub fn may_fail(&self, job: JobId) -> bool {
        let tasks = self.specs.iter().filter(|(task, _)| task.step.job == job);
        let count = |counts: &HashMap<TaskKey, u32>, task| counts.get(task).copied().unwrap_or(0);
        tasks.into_iter().any(|(task, (spec, attempts))| {
            let lasts = spec.steps[usize::from(task.step.step)].lasts;
            let failed_runs = u64::from(count(&self.failed_runs, task));
            (!lasts && failed_runs >= *attempts) || count(&self.crashes, task) >= 2
        })
    }

    /// Ends the process of a worker.
    fn crash(&mut self, now: u64, index: usize) {
        self.restart(now, index);
        let worker = &mut self.workers[index];
        worker.crash_at = None;
        worker.unlisted_at = Some(now + UNLIST_TIME);
        worker.returns_at = Some(now + RETURN_TIME);
        worker.down_until = now + RETURN_TIME;
    }
}

impl World {
    pub fn worker_name(&self, index: usize) -> Name {
        match self.fleet.workers[index].renamed {
            0 => format!("worker-{index}").into(),
            renamed => format!("worker-{renamed}-{index}").into(),
        }
    }

    /// Whether a run started on the worker within the last `START_TIME`.
    pub fn is_starting(&self, worker: usize) -> bool {
        let mut runs = self.fleet.workers[worker].runs.values();
        runs.any(|run| self.now < run.started + START_TIME)
    }

    /// Crashes a worker now.
    pub fn crash(&mut self, worker: usize) {
        self.fleet.crash(self.now, worker);
    }

    /// Applies the crashes, the removals from the registry and the returns that are due.
    pub fn advance_crashes(&mut self) {
        let is_due = |at: Option<u64>, now: u64| at.is_some_and(|at| at <= now);
        for index in 0..self.fleet.workers.len() {
            let now = self.now;
            if is_due(self.fleet.workers[index].crash_at, now) {
                self.fleet.crash(now, index);
            }
            let name = self.worker_name(index);
            let worker = &mut self.fleet.workers[index];
            if is_due(worker.unlisted_at, now) {
                worker.unlisted_at = None;
                self.registry_event(RegistryChange::Removed(name));
            }
            let worker = &mut self.fleet.workers[index];
            if is_due(worker.returns_at, now) {
                worker.returns_at = None;
                worker.renamed += u64::from(self.renames);
                let change = self.entry(index);
                self.registry_event(change);
            }
        }
    }

    /// Lets a worker announce that it leaves.
    pub fn drain(&mut self, worker: usize) {
        self.fleet.workers[worker].is_leaving = true;
        let change = self.entry(worker);
        if let Some(owner) = self.owner() {
            self.event(owner, ShardEvent::Registry(vec![change]));
        }
    }

    /// Ends a worker's process with its runs and removes it from the registry.
    pub fn leave(&mut self, worker: usize) {
        self.fleet.restart(self.now, worker);
        self.fleet.workers[worker].is_gone = true;
        self.unlist(worker);
    }

    /// Removes a worker's entry from the registry.
    pub fn unlist(&mut self, worker: usize) {
        let change = RegistryChange::Removed(self.worker_name(worker));
        self.registry_event(change);
    }

    /// Announces a worker in the registry again.
    pub fn refresh(&mut self, worker: usize) {
        let change = self.entry(worker);
        self.registry_event(change);
    }

    fn registry_event(&mut self, change: RegistryChange) {
        if let Some(owner) = self.owner() {
            self.event(owner, ShardEvent::Registry(vec![change]));
        }
    }
}
