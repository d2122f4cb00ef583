//! Transition of one task by one record.

use super::ledger::{RequeueReason, Task, TaskChange};
use super::record::{Outcome, Phase, Record, TaskResult};
use crate::base::Attempt;

/// Applies one record to a known task; `None` if the record is not valid in its phase.
pub(super) fn step(task: &mut Task, record: &Record) -> Option<TaskChange> {
    let id = task.spec.task.clone();
    match record {
        Record::Claimed {
            attempt,
            worker,
            incarnation,
            token,
            ..
        } => {
            if task.phase != (Phase::Pending { next: *attempt }) {
                return None;
            }
            let (attempt, worker) = (*attempt, worker.clone());
            task.phase = Phase::Claimed {
                attempt,
                worker: worker.clone(),
                incarnation: *incarnation,
                token: *token,
            };
            Some(TaskChange::Claimed {
                task: id,
                attempt,
                worker,
            })
        }
        Record::Adopted {
            attempt,
            worker,
            token,
            ..
        } => {
            let Phase::Claimed {
                attempt: claimed,
                worker: on,
                token: held,
                ..
            } = &mut task.phase
            else {
                return None;
            };
            if claimed != attempt || on != worker || *held >= *token {
                return None;
            }
            *held = *token;
            Some(TaskChange::Claimed {
                task: id,
                attempt: *attempt,
                worker: worker.clone(),
            })
        }
        Record::Released { attempt, token, .. } => {
            let attempt = current(task, *attempt)?;
            // A later holder may have started the attempt after the writer lost the worker's lease.
            if !matches!(task.phase, Phase::Claimed { token: held, .. } if held == *token) {
                return None;
            }
            if task.cancelled {
                return Some(finish(task, attempt, TaskResult::Cancelled));
            }
            Some(requeue(task, attempt, RequeueReason::Released))
        }
        Record::Checkpointed {
            attempt,
            checkpoint,
            ..
        } => {
            let attempt = current(task, *attempt)?;
            if task.cancelled {
                return Some(finish(task, attempt, TaskResult::Cancelled));
            }
            task.checkpoint = Some(checkpoint.clone());
            Some(requeue(task, attempt, RequeueReason::Checkpointed))
        }
        Record::Ended {
            attempt, outcome, ..
        } => {
            let attempt = current(task, *attempt)?;
            Some(end(task, attempt, *outcome))
        }
        Record::CancelRequested { .. } => cancel(task),
        _ => None,
    }
}

fn current(task: &Task, attempt: Attempt) -> Option<Attempt> {
    match task.phase {
        Phase::Claimed {
            attempt: claimed, ..
        } if claimed == attempt => Some(attempt),
        _ => None,
    }
}

fn end(task: &mut Task, attempt: Attempt, outcome: Outcome) -> TaskChange {
    let spec = task.spec.clone();
    match outcome {
        Outcome::Cancelled => finish(task, attempt, TaskResult::Cancelled),
        Outcome::Succeeded if spec.watcher && !task.cancelled => {
            requeue(task, attempt, RequeueReason::WatcherEnded)
        }
        Outcome::Succeeded => finish(task, attempt, TaskResult::Succeeded),
        Outcome::Failed => {
            task.failures += 1;
            let is_final = spec.at_most_once || task.failures >= spec.max_attempts;
            if task.cancelled || (is_final && !spec.watcher) {
                return finish(task, attempt, TaskResult::Failed);
            }
            requeue(task, attempt, RequeueReason::Failed)
        }
        Outcome::Lost if spec.at_most_once => finish(task, attempt, TaskResult::Unknown),
        Outcome::Lost if task.cancelled => finish(task, attempt, TaskResult::Cancelled),
        Outcome::Lost => requeue(task, attempt, RequeueReason::Lost),
    }
}

fn cancel(task: &mut Task) -> Option<TaskChange> {
    let id = task.spec.task.clone();
    match task.phase {
        Phase::Done { .. } => None,
        Phase::Pending { next } => Some(finish(task, next, TaskResult::Cancelled)),
        Phase::Claimed { .. } if task.cancelled => None,
        Phase::Claimed { .. } => {
            task.cancelled = true;
            Some(TaskChange::CancelRequested { task: id })
        }
    }
}

fn requeue(task: &mut Task, attempt: Attempt, reason: RequeueReason) -> TaskChange {
    task.phase = Phase::Pending {
        next: attempt.next(),
    };
    TaskChange::Pending {
        task: task.spec.task.clone(),
        reason,
    }
}

fn finish(task: &mut Task, attempt: Attempt, result: TaskResult) -> TaskChange {
    task.phase = Phase::Done { attempt, result };
    TaskChange::Done {
        task: task.spec.task.clone(),
        result,
    }
}
