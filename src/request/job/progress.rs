//! Progress of a job in the form that is recorded in the journal.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    pub next_turn: u32,
    /// Unfinished turns. A turn below `next_turn` that is missing here is finished.
    pub turns: Vec<TurnProgress>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnProgress {
    pub turn: u32,
    pub steps: Vec<StepProgress>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Bit set of the tasks that are done, lowest bit first; missing bytes are zero.
    done: Vec<u8>,
    /// Index and failed runs of each unfinished task that has failed.
    pub failures: Vec<(u16, Vec<u64>)>,
    /// Index and newest checkpoint of each unfinished task that has one.
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
