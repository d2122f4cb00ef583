//! Which successful runs were followed by another start of their task.

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
