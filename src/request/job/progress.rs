//! Progress of a job in the form that is recorded.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    pub next_turn: u32,
    /// Open turns only; turns below `next_turn` that are missing are finished.
    pub turns: Vec<TurnProgress>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnProgress {
    pub turn: u32,
    pub steps: Vec<StepProgress>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// One bit a task, lowest first; missing bytes are zero.
    done: Vec<u8>,
    /// Index and failed runs of tasks that have any.
    pub failures: Vec<(u16, Vec<u64>)>,
    /// Index and newest checkpoint of tasks that wait with one.
    pub checkpoints: Vec<(u16, Arc<str>)>,
}

impl StepProgress {
    pub fn mark_done(&mut self, index: usize) {
        if self.done.len() <= index / 8 {
            self.done.resize(index / 8 + 1, 0);
        }
        self.done[index / 8] |= 1 << (index % 8);
    }

    pub fn is_done(&self, index: usize) -> bool {
        self.done
            .get(index / 8)
            .is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }
}
