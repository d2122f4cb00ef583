//! Restatement: tasks whose first records a reader did not see.

use std::sync::Arc;

use super::ledger::{Ledger, Task, TaskChange};
use super::record::{Outcome, Phase, Record, Restated, TaskSpec};
use crate::base::{Name, Offset, TaskId};

/// A record of an unknown task.
#[derive(Debug)]
pub(super) struct Orphan {
    pub position: u64,
    pub offset: Offset,
    /// Log time of the record, in ms since the Unix epoch.
    pub time: u64,
    pub record: Record,
}

/// A worker that was declared lost.
#[derive(Debug)]
pub(super) struct Loss {
    pub position: u64,
    pub offset: Offset,
    /// Log time of the record, in ms since the Unix epoch.
    pub time: u64,
    pub worker: Name,
}

impl Ledger {
    /// The record that states a task again, if it is known and not done.
    pub fn restate(&self, id: &TaskId) -> Option<Restated> {
        let task = self.tasks.get(id).filter(|task| !task.is_done())?;
        Some(Restated {
            spec: (*task.spec).clone(),
            phase: task.phase.clone(),
            failures: task.failures,
            checkpoint: task.checkpoint.clone(),
            cancelled: task.cancelled,
            as_of: self.next,
            as_of_time: self.time,
        })
    }

    /// Whether records at log time `from` may depend on records that this reader did not see.
    ///
    /// A reader that missed the beginning of the stream can't tell a repeated `Accepted` from the
    /// first one, nor judge a claim or a loss that rests on earlier records. All of these reach
    /// back less than half of `dedupe`, so it ignores statements from that time; the tasks become
    /// known by their next restatement.
    fn is_ambiguous(&self, from: u64) -> bool {
        self.head
            .is_some_and(|head| from < head.saturating_add(self.timing.dedupe.0 / 2))
    }

    pub(super) fn accept(&mut self, spec: &TaskSpec, changes: &mut Vec<TaskChange>) {
        // A batch that its writer held back for long may name a task that ran and was forgotten.
        let is_stale = self.time.saturating_sub(spec.accepted) > self.timing.dedupe.0 / 2;
        if is_stale || self.tasks.contains_key(&spec.task) {
            return;
        }
        if self.is_ambiguous(spec.accepted) {
            self.ignored.insert(spec.task.clone(), self.time);
            return;
        }
        // A host accepts a task only if it did not find it on the log lately, so a repetition
        // follows the first acceptance within this time or after the task was forgotten.
        let lately = spec.accepted.saturating_sub(self.timing.dedupe.0 / 4);
        if self.ignored.get(&spec.task).is_some_and(|at| *at >= lately) {
            return;
        }
        self.orphans.remove(&spec.task);
        let phase = Phase::Pending {
            next: Default::default(),
        };
        self.insert(Task {
            spec: Arc::new(spec.clone()),
            phase,
            failures: 0,
            checkpoint: None,
            cancelled: false,
            stated: self.time,
            changed: self.time,
        });
        changes.push(TaskChange::Accepted {
            task: spec.task.clone(),
        });
    }

    pub(super) fn restated(&mut self, restated: &Restated, changes: &mut Vec<TaskChange>) {
        // A task that finished after `as_of` is still known as finished within this time.
        let is_stale = self.time.saturating_sub(restated.as_of_time) > self.timing.dedupe.0 / 2;
        if is_stale {
            return;
        }
        let id = &restated.spec.task;
        if let Some(task) = self.tasks.get_mut(id) {
            task.stated = self.time;
            return;
        }
        if self.is_ambiguous(restated.as_of_time) {
            return;
        }
        self.insert(Task {
            spec: Arc::new(restated.spec.clone()),
            phase: restated.phase.clone(),
            failures: restated.failures,
            checkpoint: restated.checkpoint.clone(),
            cancelled: restated.cancelled,
            stated: self.time,
            changed: restated.as_of_time,
        });
        changes.push(TaskChange::Accepted { task: id.clone() });
        self.replay(id, restated.as_of, changes);
    }

    /// Applies what happened to a restated task from `from` on, in log order.
    ///
    /// Records of the batch that holds the restatement count if they stand before it.
    fn replay(&mut self, id: &TaskId, from: Offset, changes: &mut Vec<TaskChange>) {
        let orphans = self.orphans.remove(id).unwrap_or_default();
        let mut losses: Vec<(u64, u64, Name)> = self
            .losses
            .iter()
            .filter(|loss| loss.offset >= from)
            .map(|loss| (loss.position, loss.time, loss.worker.clone()))
            .collect();
        losses.reverse();
        for orphan in orphans {
            while losses
                .last()
                .is_some_and(|(lost, ..)| *lost < orphan.position)
            {
                if let Some((_, time, worker)) = losses.pop() {
                    self.lose_claim(id, &worker, time, changes);
                }
            }
            if orphan.offset >= from {
                self.transition(id, &orphan.record, orphan.time, changes);
            }
        }
        while let Some((_, time, worker)) = losses.pop() {
            self.lose_claim(id, &worker, time, changes);
        }
    }

    /// Ends the task's attempt as lost if it is claimed on `worker`.
    pub(super) fn lose_claim(
        &mut self,
        id: &TaskId,
        worker: &Name,
        time: u64,
        changes: &mut Vec<TaskChange>,
    ) {
        let attempt = match self.tasks.get(id).map(|task| &task.phase) {
            Some(Phase::Claimed {
                attempt,
                worker: claimed,
                ..
            }) if claimed == worker => *attempt,
            _ => return,
        };
        let record = Record::Ended {
            task: id.clone(),
            attempt,
            outcome: Outcome::Lost,
        };
        self.transition(id, &record, time, changes);
    }
}
