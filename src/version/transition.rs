//! State machine of a task: how a record changes its phase.

use super::ledger::{RequeueReason, Task, TaskChange};
use super::record::{Outcome, Phase, Record, TaskResult};
use crate::base::Attempt;

/// Applies one record to a task; `None` if the record is not valid in the task's phase.
pub(super) fn apply_to_task(task: &mut Task, record: &Record) -> Option<TaskChange> {
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
                attempt: claim_attempt,
                worker: claim_worker,
                token: claim_token,
                ..
            } = &mut task.phase
            else {
                return None;
            };
            if claim_attempt != attempt || claim_worker != worker || *claim_token >= *token {
                return None;
            }
            *claim_token = *token;
            Some(TaskChange::Claimed {
                task: id,
                attempt: *attempt,
                worker: worker.clone(),
            })
        }
        Record::Released { attempt, token, .. } => {
            let attempt = if_claimed(task, *attempt)?;
            // A later holder of the worker's lease may have started the attempt.
            if !matches!(task.phase, Phase::Claimed { token: claimed, .. } if claimed == *token) {
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
            let attempt = if_claimed(task, *attempt)?;
            if task.cancelled {
                return Some(finish(task, attempt, TaskResult::Cancelled));
            }
            task.checkpoint = Some(checkpoint.clone());
            Some(requeue(task, attempt, RequeueReason::Checkpointed))
        }
        Record::Ended {
            attempt, outcome, ..
        } => {
            let attempt = if_claimed(task, *attempt)?;
            Some(end_attempt(task, attempt, *outcome))
        }
        Record::CancelRequested { .. } => request_cancel(task),
        _ => None,
    }
}

/// Returns `attempt` if the task is claimed with it.
fn if_claimed(task: &Task, attempt: Attempt) -> Option<Attempt> {
    match task.phase {
        Phase::Claimed {
            attempt: claim_attempt,
            ..
        } if claim_attempt == attempt => Some(attempt),
        _ => None,
    }
}

fn end_attempt(task: &mut Task, attempt: Attempt, outcome: Outcome) -> TaskChange {
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

fn request_cancel(task: &mut Task) -> Option<TaskChange> {
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
