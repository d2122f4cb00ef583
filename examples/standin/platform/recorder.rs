//! What the workers saw of each task, to check promises that were made to callers.

use std::collections::HashMap;
use std::sync::Mutex;

use serde_json::{Value, json};

#[derive(Debug, Default)]
pub struct RunRecorder {
    tasks: Mutex<HashMap<String, TaskRecord>>,
}

#[derive(Debug, Default)]
struct TaskRecord {
    starts: u32,
    /// Runs in progress at all workers together.
    running: u32,
    /// Most runs that were in progress at the same time.
    most_running: u32,
    /// Ends as done.
    done: u32,
}

impl RunRecorder {
    pub fn started(&self, task: &str) {
        self.update(task, |record| {
            record.starts += 1;
            record.running += 1;
            record.most_running = record.most_running.max(record.running);
        });
    }

    pub fn ended(&self, task: &str, is_done: bool) {
        self.update(task, |record| {
            record.running -= 1;
            record.done += u32::from(is_done);
        });
    }

    /// Totals, and the tasks that were done more than once or ran twice at once.
    pub fn summary(&self) -> Value {
        let tasks = self.tasks.lock().expect("no thread panics with the lock");
        let sum = |part: fn(&TaskRecord) -> u32| -> u64 {
            tasks.values().map(|record| u64::from(part(record))).sum()
        };
        let named = |is_named: fn(&TaskRecord) -> bool| -> Vec<&String> {
            let named = tasks.iter().filter(|(_, record)| is_named(record));
            named.map(|(task, _)| task).collect()
        };
        json!({
            "tasks": tasks.len(),
            "starts": sum(|record| record.starts),
            "running": sum(|record| record.running),
            "done": sum(|record| record.done),
            "done_twice": named(|record| record.done > 1),
            "ran_twice_at_once": named(|record| record.most_running > 1),
        })
    }

    fn update(&self, task: &str, update: impl FnOnce(&mut TaskRecord)) {
        let mut tasks = self.tasks.lock().expect("no thread panics with the lock");
        update(tasks.entry(task.to_owned()).or_default());
    }
}
