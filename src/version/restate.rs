//! Restatement: makes a task known to readers that did not see its first records.

use std::sync::Arc;

use super::ledger::{Ledger, Task, TaskChange};
use super::record::{Outcome, Phase, Record, Restated, TaskSpec};
use crate::base::{Name, Offset, TaskId};

/// A record of a task that is not known, kept until the task is restated.
#[derive(Debug)]
pub(super) struct UnmatchedRecord {
    /// Number of records read up to this one.
    pub position: u64,
    pub offset: Offset,
    /// Log time of the record, in ms since the Unix epoch.
    pub time: u64,
    pub record: Record,
}

/// A worker that was declared lost.
#[derive(Debug)]
pub(super) struct WorkerLoss {
    /// Number of records read up to the one that declared it lost.
    pub position: u64,
    pub offset: Offset,
    /// Log time of the record, in ms since the Unix epoch.
    pub time: u64,
    pub worker: Name,
}

impl Ledger {
    /// A snapshot of the task to be appended before its earlier records expire.
    ///
    /// `None` if the task is unknown or done.
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

    /// Whether records at log time `from` may depend on records in the gap.
    ///
    /// A reader that missed part of the stream can't tell a repeated `Accepted` from the first one,
    /// nor whether a claim or a loss that refers to earlier records is valid. These references
    /// reach back less than half of `dedupe`. Within this time after the gap the reader ignores
    /// acceptances and restatements; the tasks become known by their next restatement.
    fn is_ambiguous(&self, from: u64) -> bool {
        self.gap_end
            .is_some_and(|gap_end| from < gap_end.saturating_add(self.timing.dedupe.0 / 2))
    }

    pub(super) fn apply_accepted(&mut self, spec: &TaskSpec, changes: &mut Vec<TaskChange>) {
        // A batch that was appended late may name a task that has already run and been removed.
        let is_stale = self.time.saturating_sub(spec.accepted) > self.timing.dedupe.0 / 2;
        if is_stale || self.tasks.contains_key(&spec.task) {
            return;
        }
        if self.is_ambiguous(spec.accepted) {
            self.ignored_accepts.insert(spec.task.clone(), self.time);
            return;
        }
        // A host accepts a task only if it is not in the records that the host has read, and these
        // are recent. So a repeated acceptance follows the first one within this time, or after the
        // task was removed.
        let earliest = spec.accepted.saturating_sub(self.timing.dedupe.0 / 4);
        if self
            .ignored_accepts
            .get(&spec.task)
            .is_some_and(|at| *at >= earliest)
        {
            return;
        }
        self.unmatched_records.remove(&spec.task);
        let phase = Phase::Pending {
            next: Default::default(),
        };
        self.insert(Task {
            spec: Arc::new(spec.clone()),
            phase,
            failures: 0,
            checkpoint: None,
            cancelled: false,
            snapshot_time: self.time,
            change_time: self.time,
        });
        changes.push(TaskChange::Accepted {
            task: spec.task.clone(),
        });
    }

    pub(super) fn apply_restated(&mut self, restated: &Restated, changes: &mut Vec<TaskChange>) {
        // Within this time, a task that finished after `as_of` is still known as finished.
        let is_stale = self.time.saturating_sub(restated.as_of_time) > self.timing.dedupe.0 / 2;
        if is_stale {
            return;
        }
        let id = &restated.spec.task;
        if let Some(task) = self.tasks.get_mut(id) {
            task.snapshot_time = self.time;
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
            snapshot_time: self.time,
            change_time: restated.as_of_time,
        });
        changes.push(TaskChange::Accepted { task: id.clone() });
        self.replay(id, restated.as_of, changes);
    }

    /// Applies the kept records and losses of a restated task, in log order.
    ///
    /// The restated state includes the effect of records below offset `from`. Of the batch that
    /// contains the restatement, only records before it are applied.
    fn replay(&mut self, id: &TaskId, from: Offset, changes: &mut Vec<TaskChange>) {
        let unmatched_records = self.unmatched_records.remove(id).unwrap_or_default();
        let mut losses: Vec<(u64, u64, Name)> = self
            .losses
            .iter()
            .filter(|loss| loss.offset >= from)
            .map(|loss| (loss.position, loss.time, loss.worker.clone()))
            .collect();
        losses.reverse();
        for unmatched in unmatched_records {
            while losses
                .last()
                .is_some_and(|(loss_position, ..)| *loss_position < unmatched.position)
            {
                if let Some((_, time, worker)) = losses.pop() {
                    self.mark_claim_lost(id, &worker, time, changes);
                }
            }
            if unmatched.offset >= from {
                self.transition(id, &unmatched.record, unmatched.time, changes);
            }
        }
        while let Some((_, time, worker)) = losses.pop() {
            self.mark_claim_lost(id, &worker, time, changes);
        }
    }

    /// Ends the task's attempt as lost if the task is claimed on `worker`.
    pub(super) fn mark_claim_lost(
        &mut self,
        id: &TaskId,
        worker: &Name,
        time: u64,
        changes: &mut Vec<TaskChange>,
    ) {
        let attempt = match self.tasks.get(id).map(|task| &task.phase) {
            Some(Phase::Claimed {
                attempt,
                worker: claim_worker,
                ..
            }) if claim_worker == worker => *attempt,
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
