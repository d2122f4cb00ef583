//! Progress of a job in the form that is recorded in the journal.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{Job, Task, TaskState};
use super::spec::{StepId, TaskKey};

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

/// What is recorded of an unfinished task beside the state of its job, if that would become too large.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskDetail {
    pub turn: u32,
    pub step: u16,
    pub index: u16,
    pub failures: Vec<u64>,
    pub checkpoint: Option<Arc<str>>,
}

impl TaskDetail {
    /// Upper bound of its encoded size, in bytes.
    fn size(&self) -> usize {
        let checkpoint = self.checkpoint.as_ref().map_or(0, |saved| saved.len());
        DETAIL_BYTES + MAX_NUMBER * self.failures.len() + checkpoint
    }
}

/// Encoded bytes of a detail without its failures and the text of its checkpoint, at most.
const DETAIL_BYTES: usize = 32;
/// Encoded bytes of a number, at most.
const MAX_NUMBER: usize = 9;

/// The progress of a job in records of bounded size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitProgress {
    pub progress: JobProgress,
    /// What was taken out of it, in parts; none if it was small enough.
    pub parts: Vec<Vec<TaskDetail>>,
    /// Checkpoints that are larger than a part, and so in none.
    pub omitted: usize,
}

impl JobProgress {
    /// Takes the details of tasks out, in parts of up to `limit` bytes, if they need more than that together.
    pub fn split(mut self, limit: usize) -> SplitProgress {
        let total: usize = self.details().map(|detail| detail.size()).sum();
        let mut split = SplitProgress {
            progress: JobProgress::default(),
            parts: Vec::new(),
            omitted: 0,
        };
        if total > limit {
            let mut room = 0;
            for mut detail in self.details() {
                if detail.size() > limit {
                    detail.checkpoint = None;
                    split.omitted += 1;
                }
                match split.parts.last_mut().filter(|_| detail.size() <= room) {
                    Some(part) => {
                        room -= detail.size();
                        part.push(detail);
                    }
                    None => {
                        room = limit.saturating_sub(detail.size());
                        split.parts.push(vec![detail]);
                    }
                }
            }
            for step in self.turns.iter_mut().flat_map(|turn| &mut turn.steps) {
                step.failures.clear();
                step.checkpoints.clear();
            }
        }
        split.progress = self;
        split
    }

    /// The details of all tasks.
    fn details(&self) -> impl Iterator<Item = TaskDetail> {
        self.turns.iter().flat_map(|turn| {
            let steps = turn.steps.iter().enumerate();
            steps.flat_map(|(step, saved)| {
                let mut details: BTreeMap<u16, TaskDetail> = BTreeMap::new();
                let empty = |index| TaskDetail {
                    turn: turn.turn,
                    step: step as u16,
                    index,
                    failures: Vec::new(),
                    checkpoint: None,
                };
                for (index, runs) in &saved.failures {
                    let detail = details.entry(*index).or_insert_with(|| empty(*index));
                    detail.failures.clone_from(runs);
                }
                for (index, checkpoint) in &saved.checkpoints {
                    let detail = details.entry(*index).or_insert_with(|| empty(*index));
                    detail.checkpoint = Some(checkpoint.clone());
                }
                details.into_values()
            })
        })
    }
}

impl Job {
    /// Restores what an earlier owner recorded of a task beside the progress, unless newer details are known.
    pub fn restore_detail(&mut self, detail: &TaskDetail) {
        let key = TaskKey {
            step: StepId {
                job: self.id,
                turn: detail.turn,
                step: detail.step,
            },
            index: detail.index,
        };
        let lacks_details = |task: &&mut Task| {
            let has_any = task.checkpoint.is_some() || !task.failed_runs.is_empty();
            task.state != TaskState::Done && !has_any
        };
        if let Some(task) = self.task_mut(key).filter(lacks_details) {
            task.failed_runs.clone_from(&detail.failures);
            task.checkpoint.clone_from(&detail.checkpoint);
        }
    }
}
