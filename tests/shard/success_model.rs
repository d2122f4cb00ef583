//! Which ends of runs were followed by another start of their task.

use std::collections::{HashMap, HashSet};

use jayfork::request::job::TaskKey;

/// The successful runs of all tasks.
#[derive(Default)]
pub struct Successes {
    runs: HashMap<TaskKey, Vec<u64>>,
    /// Those after which their task was started again.
    superseded: HashSet<(TaskKey, u64)>,
}

impl Successes {
    /// Notes that a run has succeeded.
    pub fn note_success(&mut self, task: TaskKey, run: u64) {
        self.runs.entry(task).or_default().push(run);
    }

    /// Notes that a task starts.
    pub fn note_start(&mut self, task: TaskKey) {
        let runs = self.runs.get(&task).into_iter().flatten();
        self.superseded.extend(runs.map(|run| (task, *run)));
    }

    /// Whether the task of a successful run was started again after it.
    pub fn is_superseded(&self, task: TaskKey, run: u64) -> bool {
        self.superseded.contains(&(task, run))
    }
}

/// The failed runs of all tasks.
#[derive(Default)]
pub struct Failures {
    runs: HashMap<TaskKey, HashSet<u64>>,
    acknowledged: HashMap<TaskKey, HashSet<u64>>,
    /// For each start after as many failed runs as the task has attempts: these runs.
    spent: HashMap<TaskKey, Vec<HashSet<u64>>>,
}

impl Failures {
    /// Notes that a run has failed.
    pub fn note_failure(&mut self, task: TaskKey, run: u64) {
        self.runs.entry(task).or_default().insert(run);
    }

    /// Notes that the end of a failed run is acknowledged.
    pub fn acknowledge(&mut self, task: TaskKey, run: u64) {
        self.acknowledged.entry(task).or_default().insert(run);
    }

    /// Notes that a task with this many attempts starts.
    pub fn note_start(&mut self, task: TaskKey, attempts: u64) {
        let failed = self.runs.get(&task);
        if let Some(failed) = failed.filter(|failed| failed.len() as u64 >= attempts) {
            self.spent.entry(task).or_default().push(failed.clone());
        }
    }

    /// Whether a task has started after all its attempts had failed, going by the ends acknowledged by now.
    pub fn is_exceeded(&self, task: TaskKey, attempts: u64) -> bool {
        let Some(acknowledged) = self.acknowledged.get(&task) else {
            return false;
        };
        let mut spent = self.spent.get(&task).into_iter().flatten();
        spent.any(|failed| failed.intersection(acknowledged).count() as u64 >= attempts)
    }
}

/// Leases that expired between the end of a run and its acknowledgement.
#[derive(Default)]
pub struct Lapses {
    /// Whether an end does not count as acknowledged then, as the platform's rules say.
    pub excuse: bool,
}

impl Lapses {
    /// Whether an end with this number does not count, by the last end of a run with its lease.
    pub fn is_excused(&self, number: u64, last_lapse: u64) -> bool {
        self.excuse && last_lapse > number
    }
}
